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

// CallerTimeout is how long a caller waits for a response; callers send it as the deadline of
// each request.
const CallerTimeout = 2 * time.Second

// requestInterval is the pause between two requests of a caller.
const requestInterval = 10 * time.Millisecond

// An Attempt is a request of a caller, with the result that the caller saw.
type Attempt struct {
	ID, Path, Key string
	Router        int // as returned by ChooseRouter
	Sent, Ended   time.Time
	Status        int // 0 without a complete response
	Refused       bool
	Abandoned     bool   // the caller disconnected before the end of the response
	GaveUp        bool   // the caller got no complete response within its time
	Violation     string // what was wrong with the response, or ""
}

// A CallerBehavior says how a caller sends a request and reads its response.
type CallerBehavior int

// The behaviors of callers.
const (
	BehaviorNormal      CallerBehavior = iota
	BehaviorChunkedBody                // the body is sent in chunks, with pauses
	BehaviorSlowReader                 // the response is read in chunks, with pauses
	BehaviorAbandon                    // the caller disconnects during the response
)

// The timing of the behaviors.
const (
	chunkPause   = 80 * time.Millisecond
	abandonAfter = 90 * time.Millisecond
	// bodyChunks is the number of chunks of a body.
	bodyChunks = 4
)

// Callers stand in for the platform's callers. Each sends requests with unique IDs, one after the
// other on a keep-alive connection. Set the exported fields, then call Run for each caller.
type Callers struct {
	// Paths are requested in turn.
	Paths []string
	// Key returns the API key of a caller.
	Key func(caller int) string
	// ChooseRouter returns the router for a request, and the address to send it to.
	ChooseRouter func(caller, requestIndex int) (router int, address string)
	// DialFailed, if set, reports whether a proxy could not connect a caller to its router. The
	// caller is identified by the local address of its connection.
	DialFailed func(router int, localAddress string) bool
	// Behavior, if set, returns the behavior of a caller for a request.
	Behavior func(caller, requestIndex int) CallerBehavior
	// ExtraWait is how long a caller waits for a response after its deadline. It is at least 500
	// ms.
	ExtraWait time.Duration

	mu       sync.Mutex
	attempts []Attempt
}

// Run sends the requests of one caller until ctx ends.
func (c *Callers) Run(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for requestIndex := 0; ctx.Err() == nil; requestIndex++ {
		router, address := c.ChooseRouter(caller, requestIndex)
		attempt := Attempt{
			ID: fmt.Sprintf("c%d-%d", caller, requestIndex), Path: c.Paths[(caller+requestIndex)%len(c.Paths)], Key: c.Key(caller),
			Router: router, Sent: time.Now(),
		}
		behavior := BehaviorNormal
		if c.Behavior != nil {
			behavior = c.Behavior(caller, requestIndex)
		}
		c.send(client, address, behavior, &attempt)
		attempt.Ended = time.Now()
		c.mu.Lock()
		c.attempts = append(c.attempts, attempt)
		c.mu.Unlock()
		time.Sleep(requestInterval)
	}
}

// Attempts returns a copy of all attempts that have ended.
func (c *Callers) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Attempt(nil), c.attempts...)
}

// send makes one attempt. It sends a POST, since http.Client retries idempotent methods by
// itself.
func (c *Callers) send(client *http.Client, address string, behavior CallerBehavior, attempt *Attempt) {
	const defaultExtraWait = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), CallerTimeout+max(c.ExtraWait, defaultExtraWait))
	defer cancel()
	if behavior == BehaviorAbandon {
		time.AfterFunc(abandonAfter, cancel)
	}
	localAddress := ""
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { localAddress = info.Conn.LocalAddr().String() }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+attempt.Path, requestBody(behavior, "body of "+attempt.ID))
	if err != nil {
		attempt.Violation = err.Error()
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", attempt.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(CallerTimeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+attempt.Key)
	resp, err := client.Do(req)
	if err != nil {
		attempt.Refused = errors.Is(err, syscall.ECONNREFUSED) || c.DialFailed != nil && c.DialFailed(attempt.Router, localAddress)
		attempt.Abandoned = behavior == BehaviorAbandon && errors.Is(err, context.Canceled)
		attempt.GaveUp = errors.Is(err, context.DeadlineExceeded)
		return
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	bodyReader := io.Reader(resp.Body)
	if behavior == BehaviorSlowReader {
		bodyReader = &pausingReader{Reader: bodyReader}
	}
	responseBody, err := io.ReadAll(bodyReader)
	if err == nil {
		attempt.Status = resp.StatusCode
	}
	attempt.Abandoned = behavior == BehaviorAbandon && errors.Is(err, context.Canceled)
	attempt.GaveUp = errors.Is(err, context.DeadlineExceeded)
	if resp.StatusCode == http.StatusOK {
		attempt.Violation = findViolation(attempt.ID, attempt.Path, resp.Header, responseBody, err == nil)
	}
}

// requestBody returns the body of a request. A chunked body has no Content-Length.
func requestBody(behavior CallerBehavior, text string) io.Reader {
	if behavior != BehaviorChunkedBody {
		return strings.NewReader(text)
	}
	return &pausingReader{Reader: strings.NewReader(text), chunkSize: len(text)/bodyChunks + 1}
}

// pausingReader pauses before each read. If chunkSize is not 0, it limits the size of a read.
type pausingReader struct {
	io.Reader
	chunkSize int
}

func (p *pausingReader) Read(buf []byte) (int, error) {
	time.Sleep(chunkPause)
	if p.chunkSize > 0 {
		buf = buf[:min(p.chunkSize, len(buf))]
	}
	return p.Reader.Read(buf)
}

// findViolation returns what is wrong with a response of status 200, or "". The response may be
// incomplete.
func findViolation(attemptID, path string, header http.Header, body []byte, complete bool) string {
	if !strings.HasSuffix(header.Get("X-Server-Signature"), "."+attemptID) {
		return "signature of another request: " + header.Get("X-Server-Signature")
	}
	want := []byte(fmt.Sprintf("ran %s body of %s", attemptID, attemptID))
	if strings.HasSuffix(path, "/stream") {
		want = nil
		for i := 1; i <= StreamEvents; i++ {
			want = fmt.Appendf(want, "id: %d\ndata: piece %d\n\n", i, i)
		}
	}
	if complete && !bytes.Equal(body, want) || !bytes.HasPrefix(want, body) {
		return fmt.Sprintf("unexpected body %q (complete: %t)", body, complete)
	}
	return ""
}
