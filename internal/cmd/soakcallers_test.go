package cmd

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

	"laburnumfall/internal/standin"
)

// The keys of a soak's two accounts; the guest's is withdrawn on the way.
const (
	memberKey = "member-key"
	guestKey  = "guest-key"
)

// attemptTime is how long a caller waits for an answer.
const attemptTime = 2 * time.Second

// An attempt is one request of a caller, as the caller saw it.
type attempt struct {
	id, path, key string
	router        int
	sent, ended   time.Time
	status        int // 0: no answer, or none that is whole
	refused       bool
	wrong         string // what no caller may see
}

// callers send requests to routers until they are told to stop.
type callers struct {
	ground *ground
	doors  []*standin.Proxy // to routers

	mu       sync.Mutex
	attempts []attempt
}

// run has one caller send requests, one after the other, on kept connections.
func (c *callers) run(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	paths := []string{"/once/x", "/keyed/x", "/flow/stream"}
	for n := 0; ctx.Err() == nil; n++ {
		a := attempt{
			id: fmt.Sprintf("c%d-%d", caller, n), path: paths[(caller+n)%len(paths)], key: memberKey,
			router: (caller + n/20) % soakRouters, sent: time.Now(),
		}
		if caller%4 == 0 {
			a.key = guestKey
		}
		c.send(client, &a)
		a.ended = time.Now()
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// send makes one attempt. It is a POST: the client would by itself send others again.
func (c *callers) send(client *http.Client, a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTime+500*time.Millisecond)
	defer cancel()
	door := c.doors[a.router]
	local := ""
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { local = i.Conn.LocalAddr().String() }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+door.Address()+a.path, strings.NewReader("body of "+a.id))
	if err != nil {
		a.wrong = err.Error()
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(attemptTime.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+a.key)
	resp, err := client.Do(req)
	if err != nil {
		a.refused = errors.Is(err, syscall.ECONNREFUSED) || door.Alone(local)
		return
	}
	defer func() { _ = resp.Body.Close() }() // it is read
	text, err := io.ReadAll(resp.Body)
	if err == nil {
		a.status = resp.StatusCode
	}
	if resp.StatusCode == http.StatusOK {
		a.wrong = wrongAnswer(a.id, a.path, resp.Header, text, err == nil)
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
		for i := 1; i <= standin.SiteEvents; i++ {
			want = fmt.Appendf(want, "id: %d\ndata: piece %d\n\n", i, i)
		}
	}
	if whole && !bytes.Equal(text, want) || !bytes.HasPrefix(want, text) {
		return fmt.Sprintf("body %q (whole: %t)", text, whole)
	}
	return ""
}

// taken returns the attempts so far.
func (c *callers) taken() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}

// A span is a stretch of time.
type span struct {
	from, to time.Time
}

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && from.Before(s.to)
}

// A history is what a soak did, for what follows from it.
type history struct {
	faults  []span               // that may cut answers
	stops   map[int][]span       // of routers, from the signal to the exit
	drained map[string]time.Time // targets, since when the list shows them leaving
	revoked time.Time            // when the withdrawal of the guest's key was accepted
}

// promised lists what callers and targets saw against the promises.
func (h *history) promised(attempts []attempt, site *standin.Site) []string {
	var broken []string
	runs := make(map[string]int)
	for _, t := range site.All() {
		left, drains := h.drained[t.ID]
		for _, run := range t.Runs() {
			runs[run.ID]++
			if drains && run.At.Sub(left) > 4*time.Second {
				broken = append(broken, fmt.Sprintf("%s ran at %s, %s after it was shown as leaving", run.ID, t.ID, run.At.Sub(left)))
			}
		}
	}
	for _, a := range attempts {
		for _, what := range h.judge(a, runs[a.id]) {
			broken = append(broken, fmt.Sprintf("%s %s by router %d at %s, status %d, ran %d times: %s",
				a.id, a.path, a.router, a.sent.Format("05.000"), a.status, runs[a.id], what))
		}
	}
	return broken
}

// judge tells what an attempt shows against the promises.
func (h *history) judge(a attempt, ran int) []string {
	var broken []string
	check := func(ok bool, what string) {
		if !ok {
			broken = append(broken, what)
		}
	}
	check(a.wrong == "", a.wrong)
	check(ran <= 1 || a.path == "/keyed/x", "it may run only once")
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		check(ran == 0, "told that it did not run")
	case http.StatusUnauthorized:
		check(a.key == guestKey && !h.revoked.IsZero(), "its key counts")
	case http.StatusForbidden, http.StatusNotFound:
		check(false, "its route is there")
	default:
	}
	if a.key == guestKey && !h.revoked.IsZero() && a.sent.Sub(h.revoked) > 5*time.Second {
		check(ran == 0, "its key was withdrawn")
	}
	for _, stop := range h.stops[a.router] {
		asked := a.sent.After(stop.from.Add(-time.Second)) && a.sent.Before(stop.from.Add(2*time.Second))
		check(!asked || a.status != 0 || a.refused || h.faulty(a), "cut by a graceful stop")
	}
	return broken
}

// faulty reports whether a fault may have cut an attempt.
func (h *history) faulty(a attempt) bool {
	for _, f := range h.faults {
		if f.overlaps(a.sent, a.ended) {
			return true
		}
	}
	return false
}
