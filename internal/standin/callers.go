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
const CallerTimeout = 2 * time.Second

// callerPause is kept between two requests of one caller.
const callerPause = 10 * time.Millisecond

// An Attempt is one request of a caller, as the caller saw it.
type Attempt struct {
	ID, Path, Key string
	Router        int // as the caller's door names it
	Sent, Ended   time.Time
	Status        int // 0: no answer, or none that is whole
	Refused       bool
	Abandoned     bool   // the caller left before the end
	Violation     string // what no caller may see
}

// A Manner is how a caller sends a request and takes its answer.
type CallerBehavior int

// The manners.
const (
	BehaviorNormal      CallerBehavior = iota
	BehaviorChunkedBody                // the body comes in pieces, with pauses
	BehaviorSlowReader                 // the answer is read in pieces, with pauses
	BehaviorAbandon                    // the caller leaves while the answer is on its way
)

// The pauses of manners.
const (
	piecePause = 80 * time.Millisecond
	leaveAfter = 90 * time.Millisecond
	// bodyPieces is in how many pieces a body or an answer is taken.
	bodyPieces = 4
)

// Callers stand in for the platform's: they send requests with IDs of their own, one
// after the other on kept connections, until they are told to stop. Set the exported
// fields, then call Run.
type Callers struct {
	// Paths are asked for by turns.
	Paths []string
	// Key is the key of a caller's account.
	Key func(caller int) string
	// Door is where the n-th request of a caller goes, and by what name.
	ChooseRouter func(caller, n int) (router int, address string)
	// Alone, if set, tells of a caller's own address that its connection reached nobody.
	DialFailed func(router int, local string) bool
	// Manner, if set, is the manner of a caller's n-th request.
	Behavior func(caller, n int) CallerBehavior
	// Patience is how long after its deadline a caller goes on waiting; half a second
	// if it isn't set.
	ExtraWait time.Duration

	mu       sync.Mutex
	attempts []Attempt
}

// Run has one caller send requests until ctx ends.
func (c *Callers) Run(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		router, address := c.ChooseRouter(caller, n)
		a := Attempt{
			ID: fmt.Sprintf("c%d-%d", caller, n), Path: c.Paths[(caller+n)%len(c.Paths)], Key: c.Key(caller),
			Router: router, Sent: time.Now(),
		}
		manner := BehaviorNormal
		if c.Behavior != nil {
			manner = c.Behavior(caller, n)
		}
		c.send(client, address, manner, &a)
		a.Ended = time.Now()
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// Taken returns the attempts so far.
func (c *Callers) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Attempt(nil), c.attempts...)
}

// send makes one attempt. It is a POST: the client would by itself send others again.
func (c *Callers) send(client *http.Client, address string, manner CallerBehavior, a *Attempt) {
	const slack = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), CallerTimeout+max(c.ExtraWait, slack))
	defer cancel()
	if manner == BehaviorAbandon {
		time.AfterFunc(leaveAfter, cancel)
	}
	local := ""
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { local = i.Conn.LocalAddr().String() }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+a.Path, body(manner, "body of "+a.ID))
	if err != nil {
		a.Violation = err.Error()
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(CallerTimeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+a.Key)
	resp, err := client.Do(req)
	if err != nil {
		a.Refused = errors.Is(err, syscall.ECONNREFUSED) || c.DialFailed != nil && c.DialFailed(a.Router, local)
		a.Abandoned = manner == BehaviorAbandon && errors.Is(err, context.Canceled)
		return
	}
	defer func() { _ = resp.Body.Close() }() // it is read
	answer := io.Reader(resp.Body)
	if manner == BehaviorSlowReader {
		answer = &pausing{Reader: answer}
	}
	text, err := io.ReadAll(answer)
	if err == nil {
		a.Status = resp.StatusCode
	}
	a.Abandoned = manner == BehaviorAbandon && errors.Is(err, context.Canceled)
	if resp.StatusCode == http.StatusOK {
		a.Violation = wrongAnswer(a.ID, a.Path, resp.Header, text, err == nil)
	}
}

// body returns a request's body. One in pieces has no length that is known before.
func body(manner CallerBehavior, text string) io.Reader {
	if manner != BehaviorChunkedBody {
		return strings.NewReader(text)
	}
	return &pausing{Reader: strings.NewReader(text), most: len(text)/bodyPieces + 1}
}

// pausing reads with a pause before each piece, of a size at most if one is set.
type pausing struct {
	io.Reader
	most int
}

func (p *pausing) Read(b []byte) (int, error) {
	time.Sleep(piecePause)
	if p.most > 0 {
		b = b[:min(p.most, len(b))]
	}
	return p.Reader.Read(b)
}

// wrongAnswer tells what is wrong with a success, which may have broken off.
func wrongAnswer(id, path string, h http.Header, text []byte, whole bool) string {
	if !strings.HasSuffix(h.Get("X-Server-Signature"), "."+id) {
		return "signed for another request: " + h.Get("X-Server-Signature")
	}
	want := []byte(fmt.Sprintf("ran %s body of %s", id, id))
	if strings.HasSuffix(path, "/stream") {
		want = nil
		for i := 1; i <= StreamEvents; i++ {
			want = fmt.Appendf(want, "id: %d\ndata: piece %d\n\n", i, i)
		}
	}
	if whole && !bytes.Equal(text, want) || !bytes.HasPrefix(want, text) {
		return fmt.Sprintf("body %q (whole: %t)", text, whole)
	}
	return ""
}
