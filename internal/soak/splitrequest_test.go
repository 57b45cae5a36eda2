package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

const (
	// splitRequestsPerCut is the number of requests for each cut and kind of connection.
	splitRequestsPerCut = 3
	// splitReadDelay is how long a router may read the first parts before it is paused, and
	// pauseDelay how long its threads may still run after SIGSTOP.
	splitReadDelay = 300 * time.Millisecond
	pauseDelay     = 100 * time.Millisecond
)

// errNotKept reports that a connection cannot be used for a second request.
var errNotKept = errors.New("the connection is not kept")

// A splitRequest is a request of a caller that sends a part of it before its router is paused, and the
// rest during the pause.
type splitRequest struct {
	*standin.PartialCaller
	attempt  standin.Attempt
	body     string
	before   string // the part before the cut
	rest     string
	response chan standin.PartialResponse
}

// startSplitRequests sends the first parts of requests to a router, on new connections and on some
// that have served a request.
func (d *driver) startSplitRequests(ev event, router *process) []*splitRequest {
	var mu sync.Mutex
	var requests []*splitRequest
	var starting sync.WaitGroup
	for cut := standin.CutBeforeRequest; cut <= standin.CutInBody; cut++ {
		for i := range 2 * splitRequestsPerCut {
			starting.Go(func() {
				request, err := d.connectSplitRequest(ev.Victim, router, cut, i%2 == 1)
				if err != nil {
					return // the router is down or refuses requests
				}
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, request)
			})
		}
	}
	starting.Wait()
	// The first parts are sent together, since serving the first requests may have taken longer than
	// the time that a router waits for a body.
	for _, request := range requests {
		request.attempt.Sent = time.Now()
		_ = request.Send(request.before) // the response shows whether the router read it
	}
	time.Sleep(splitReadDelay)
	return requests
}

// connectSplitRequest prepares a request on a new connection or on one that has served a request.
func (d *driver) connectSplitRequest(router int, proc *process, cut standin.RequestCut, kept bool) (*splitRequest, error) {
	caller, err := standin.DialPartialCaller(proc.settings.Address(standin.CallerPort))
	if err != nil {
		return nil, err
	}
	request := &splitRequest{PartialCaller: caller, response: make(chan standin.PartialResponse, 1)}
	request.attempt = standin.Attempt{ID: fmt.Sprintf(probeIDFormat, router, d.splitCount.Add(1)), Path: "/once/x", Key: memberKey, Router: router}
	if kept {
		err = caller.Send(splitRequestText(request.attempt.ID+"-first", "x"))
		if first := caller.ReadResponse(standin.CallerTimeout); err == nil && (first.Err != nil || first.Last) {
			err = errNotKept
		}
	}
	request.body = "body of " + request.attempt.ID
	if err != nil {
		caller.Close()
		return nil, err
	}
	request.before, request.rest = cut.Split(splitRequestText(request.attempt.ID, request.body))
	return request, nil
}

func splitRequestText(id, body string) string {
	return fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", id, memberKey, len(body), body)
}

// sendRest sends the rest of requests to a paused router, and reads the responses.
func (d *driver) sendRest(requests []*splitRequest) {
	if len(requests) > 0 {
		time.Sleep(pauseDelay)
	}
	for _, request := range requests {
		go func() {
			_ = request.Send(request.rest) // the response shows whether the router read it
			request.response <- request.ReadResponse(waitTimeout)
		}()
	}
}

// endSplitRequests waits for the responses and records them.
func (d *driver) endSplitRequests(requests []*splitRequest) {
	for _, request := range requests {
		response := <-request.response
		request.Close()
		request.attempt.Ended, request.attempt.Status = response.Ended, response.Status
		request.attempt.Violation = request.violation(response)
		d.history.recordSplitAttempt(request.attempt)
	}
}

func (h *history) recordSplitAttempt(attempt standin.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.splitAttempts = append(h.splitAttempts, attempt)
}

// violation returns what is wrong with the response to a request that arrived, whole, during a pause of
// its router, or "".
func (r *splitRequest) violation(response standin.PartialResponse) string {
	refused := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}
	switch {
	case response.Status == 0:
		return fmt.Sprintf("no response after a pause: %v", response.Err)
	case response.Status == http.StatusOK && (response.Err != nil || string(response.Body) != "ran "+r.attempt.ID+" "+r.body):
		return fmt.Sprintf("unexpected body %q after a pause: %v", response.Body, response.Err)
	case response.Status == http.StatusRequestTimeout:
		return "refused as incomplete, although it arrived during a pause"
	case slices.Contains(refused, response.Status) && response.Header.Get("Retry-After") == "":
		return "refused after a pause without Retry-After"
	}
	return ""
}

// TestDetectsLostSplitRequests guards against a checker that accepts a lost or falsely refused request
// that arrived during a pause.
func TestDetectsLostSplitRequests(t *testing.T) {
	request := splitRequest{attempt: standin.Attempt{ID: "ask-0-1"}, body: "b"}
	retry := http.Header{"Retry-After": {"1"}}
	for _, tt := range []struct {
		name      string
		response  standin.PartialResponse
		violation string
	}{
		{name: "served", response: standin.PartialResponse{Status: 200, Body: []byte("ran ask-0-1 b")}},
		{name: "time up", response: standin.PartialResponse{Status: 503, Header: retry}},
		{name: "over its share", response: standin.PartialResponse{Status: 429, Header: retry}},
		{name: "target failed", response: standin.PartialResponse{Status: 502}},
		{name: "reset", response: standin.PartialResponse{}, violation: "no response"},
		{name: "cut response", response: standin.PartialResponse{Status: 200, Body: []byte("ran")}, violation: "unexpected body"},
		{name: "body not read", response: standin.PartialResponse{Status: 408, Header: retry}, violation: "refused as incomplete"},
		{name: "no Retry-After", response: standin.PartialResponse{Status: 503}, violation: "without Retry-After"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			violation := request.violation(tt.response)
			require.Contains(t, violation, tt.violation)
			require.Equal(t, tt.violation == "", violation == "", violation)
		})
	}
}
