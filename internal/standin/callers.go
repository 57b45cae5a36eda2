package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"
)

// CallerTime is how long a caller waits for an answer.
const CallerTime = 2 * time.Second

// callerPause is kept between two requests of one caller.
const callerPause = 10 * time.Millisecond

// An Attempt is one request of a caller, as the caller saw it.
type Attempt struct {
	ID, Path, Key string
	Router        int // as the caller's door names it
	Sent, Ended   time.Time
	Status        int // 0: no answer, or none that is whole
	Refused       bool
	Wrong         string // what no caller may see
}

// Callers stand in for the platform's: they send requests with IDs of their own, one
// after the other on kept connections, until they are told to stop. Set the exported
// fields, then call Run.
type Callers struct {
	// Paths are asked for by turns.
	Paths []string
	// Key is the key of a caller's account.
	Key func(caller int) string
	// Door is where the n-th request of a caller goes, and by what name.
	Door func(caller, n int) (router int, address string)
	// Alone, if set, tells of a caller's own address that its connection reached nobody.
	Alone func(router int, local string) bool

	mu       sync.Mutex
	attempts []Attempt
}

// Run has one caller send requests until ctx ends.
func (c *Callers) Run(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		router, address := c.Door(caller, n)
		a := Attempt{
			ID: fmt.Sprintf("c%d-%d", caller, n), Path: c.Paths[(caller+n)%len(c.Paths)], Key: c.Key(caller),
			Router: router, Sent: time.Now(),
		}
		c.send(client, address, &a)
		a.Ended = time.Now()
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// Taken returns the attempts so far.
func (c *Callers) Taken() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Attempt(nil), c.attempts...)
}

// send makes one attempt. It is a POST: the client would by itself send others again.
func (c *Callers) send(client *http.Client, address string, a *Attempt) {
	const slack = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), CallerTime+slack)
	defer cancel()
	local := ""
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { local = i.Conn.LocalAddr().String() }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+a.Path, strings.NewReader("body of "+a.ID))
	if err != nil {
		a.Wrong = err.Error()
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(CallerTime.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+a.Key)
	resp, err := client.Do(req)
	if err != nil {
		a.Refused = errors.Is(err, syscall.ECONNREFUSED) || c.Alone != nil && c.Alone(a.Router, local)
		return
	}
	defer func() { _ = resp.Body.Close() }() // it is read
	text, err := io.ReadAll(resp.Body)
	if err == nil {
		a.Status = resp.StatusCode
	}
	if resp.StatusCode == http.StatusOK {
		a.Wrong = wrongAnswer(a.ID, a.Path, resp.Header, text, err == nil)
	}
}

// wrongAnswer tells what is wrong with a success, which may have broken off.
func wrongAnswer(id, path string, h http.Header, text []byte, whole bool) string {
	if !strings.HasSuffix(h.Get("X-Server-Signature"), "."+id) {
		return "signed for another request: " + h.Get("X-Server-Signature")
	}
	want := []byte(fmt.Sprintf("ran %s body of %s", id, id))
	if strings.HasSuffix(path, "/stream") {
		want = nil
		for i := 1; i <= SiteEvents; i++ {
			want = fmt.Appendf(want, "id: %d\ndata: piece %d\n\n", i, i)
		}
	}
	if whole && !bytes.Equal(text, want) || !bytes.HasPrefix(want, text) {
		return fmt.Sprintf("body %q (whole: %t)", text, whole)
	}
	return ""
}
