package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumfall/internal/standin"
)

const (
	// lettersPath is the path of streams that callers resume.
	lettersPath = "/letters/stream"
	// resumingCallers is how many callers send such streams. They come on top of a scenario's callers.
	resumingCallers = 4
	// resumerPause is the pause between two streams of one caller.
	resumerPause = 10 * time.Millisecond
	// maxResumes is how often a caller resumes one stream.
	maxResumes = 3
)

// versionOf returns the software version of the target that was added i-th: two are in service at any
// time, and targets that replace others bring new ones.
func versionOf(i int) string { return []string{"v1", "v2"}[i%2] }

// resumers are callers that resume a stream through the next router if it breaks.
type resumers struct {
	*driver

	mu       sync.Mutex
	attempts []standin.Attempt
	begun    int // new streams that a router has answered
	served   int // of these, those that began
	resumed  int // streams that callers have resumed, answered by a router
	wentOn   int // of these, those that got an event more
}

// A stream is what a caller has of one stream.
type stream struct {
	first   string // ID of the request that began it
	events  int
	version string // that all events must name
}

// add adds the data of the next event, and returns what is wrong with it, or "".
func (s *stream) add(id, data string) string {
	s.events++
	if s.version == "" {
		s.version = data
	}
	if id != strconv.Itoa(s.events) || data != s.version {
		return fmt.Sprintf("event %s of %s instead of %d of %s", id, data, s.events, s.version)
	}
	return ""
}

// run sends streams of one caller until ctx ends.
func (c *resumers) run(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		deadline := time.Now().Add(standin.CallerTimeout)
		received := stream{first: fmt.Sprintf("l%d-%d-0", caller, number)}
		for try := range maxResumes + 1 {
			router := (caller + number/8 + try) % len(c.routerProxies)
			attempt := standin.Attempt{ID: fmt.Sprintf("l%d-%d-%d", caller, number, try), Path: lettersPath, Key: memberKey, Router: router, Sent: time.Now()}
			before := received.events
			whole := c.send(client, &attempt, &received)
			c.record(attempt, before > 0, received.events > before)
			if whole || received.events == 0 || ctx.Err() != nil || time.Now().After(deadline) {
				break
			}
			time.Sleep(streamEventInterval)
		}
		time.Sleep(resumerPause)
	}
}

func (c *resumers) record(attempt standin.Attempt, resumes, gotMore bool) {
	attempt.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, attempt)
	answered, all, good := gotMore || attempt.Status != 0, &c.begun, &c.served
	if resumes {
		all, good = &c.resumed, &c.wentOn
	}
	if answered {
		*all++
	}
	if gotMore || attempt.Status == http.StatusOK {
		*good++
	}
}

// send makes one attempt at a stream of which the caller has some events. It reports whether the stream
// is whole.
func (c *resumers) send(client *http.Client, attempt *standin.Attempt, received *stream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), standin.CallerTimeout+overdueMargin+time.Second)
	defer cancel()
	localAddress := ""
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { localAddress = info.Conn.LocalAddr().String() }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.routerProxies[attempt.Router].Address()+lettersPath, strings.NewReader("body of "+received.first))
	if err != nil {
		attempt.Violation = err.Error()
		return false
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", attempt.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(standin.CallerTimeout.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+attempt.Key)
	if received.events > 0 {
		req.Header.Set("Resumes", received.first)
		req.Header.Set("Last-Event-Id", strconv.Itoa(received.events))
	}
	resp, err := client.Do(req)
	if err != nil {
		attempt.Refused = errors.Is(err, syscall.ECONNREFUSED) || c.routerProxies[attempt.Router].DialFailed(localAddress)
		attempt.GaveUp = errors.Is(err, context.DeadlineExceeded)
		return false
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	if resp.StatusCode != http.StatusOK {
		attempt.Status = resp.StatusCode
		return false
	}
	lines, id := bufio.NewScanner(resp.Body), ""
	for lines.Scan() {
		if next, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id = next
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && attempt.Violation == "" {
			attempt.Violation = received.add(id, data)
		}
	}
	if err := lines.Err(); err != nil {
		attempt.GaveUp = errors.Is(err, context.DeadlineExceeded)
		return false
	}
	attempt.Status = http.StatusOK
	if received.events != standin.StreamEvents {
		attempt.Violation = fmt.Sprintf("complete after event %d", received.events)
	}
	return true
}

// serveLetters serves a stream whose events name the target's software version.
func (d *driver) serveLetters(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // without the header, the stream begins at event 1
	if after == 0 && d.breakOff(target, w, r) {
		return
	}
	target.RecordRun(r)
	target.WriteHeaders(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= standin.StreamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, target.Version()) // the router may have closed the connection
		_ = http.NewResponseController(w).Flush()
		time.Sleep(streamEventInterval)
	}
}
