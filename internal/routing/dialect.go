package routing

import (
	"net/http"
	"strings"
	"time"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/gateway"
	"laburnumfall/internal/pace"
	"laburnumfall/internal/placement"
)

// The headers of the public interface.
const (
	headerRequest     = "Lf-Request"
	headerOutcome     = "Lf-Outcome"
	headerDeadline    = "Lf-Deadline"
	headerLastEventID = "Last-Event-Id"
	headerResumes     = "Lf-Resumes"
)

// routerHeaders are meant for the router and not passed on to targets.
var routerHeaders = []string{"Authorization", "Lf-Repeat", "Lf-Cost", headerDeadline, headerOutcome}

// DefaultDialect reads and writes the headers of the public interface. The targets of a
// configuration neither echo request IDs nor sign their responses.
type DefaultDialect struct{}

var _ gateway.Dialect = DefaultDialect{}

// RequestID implements gateway.Dialect. The router assigns the request IDs.
func (DefaultDialect) RequestID(http.Header) string {
	return ""
}

// RequestIDHeader implements gateway.Dialect.
func (DefaultDialect) RequestIDHeader() string {
	return ""
}

// SetRequestHeaders implements gateway.Dialect.
func (DefaultDialect) SetRequestHeaders(h http.Header, info gateway.AttemptInfo) {
	for _, name := range routerHeaders {
		h.Del(name)
	}
	h.Set(headerRequest, info.RequestID)
	if info.LastEventID != "" {
		h.Set(headerLastEventID, info.LastEventID)
	}
}

// Resumes implements gateway.Dialect.
func (DefaultDialect) Resumes(h http.Header) (requestID, lastEventID string) {
	return h.Get(headerResumes), h.Get(headerLastEventID)
}

// APIKey implements gateway.Dialect.
func (DefaultDialect) APIKey(h http.Header) string {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return key
}

// TimeLeft implements gateway.Dialect. It compares the caller's clock with the router's. A caller
// whose clock is wrong waits at most for the timeout of its route, which limits the time left.
func (DefaultDialect) TimeLeft(h http.Header) (time.Duration, bool) {
	deadline, err := time.Parse(time.RFC3339, h.Get(headerDeadline))
	if err != nil {
		return 0, false
	}
	return max(time.Until(deadline), 0), true
}

// SetResponseHeaders implements gateway.Dialect.
func (DefaultDialect) SetResponseHeaders(h http.Header, id string, outcome fleet.Outcome) {
	h.Set(headerRequest, id)
	h.Set(headerOutcome, string(outcome))
}

// AddressReused implements gateway.Dialect.
func (DefaultDialect) AddressReused(int) bool {
	return false
}

// Prompt implements gateway.Dialect. Callers send no information about their prompts.
func (DefaultDialect) Prompt(http.Header) (parts []placement.PromptPart, output int) {
	return nil, 0
}

// Signed implements gateway.Dialect.
func (DefaultDialect) Signed(http.Header) bool {
	return true
}

// NotRun implements gateway.Dialect. No response of a target guarantees that the request did not
// run.
func (DefaultDialect) NotRun(int, http.Header) bool {
	return false
}

// TargetLoad implements gateway.Dialect.
func (DefaultDialect) TargetLoad(http.Header) (pace.Report, bool) {
	return pace.Report{}, false
}

// Backpressure implements gateway.Dialect.
func (DefaultDialect) Backpressure(status int, h http.Header) backpressure.Signal {
	return backpressure.Signal{
		Backoff: backpressure.ParseBackoff(status, h.Get("Retry-After"), h.Get("Date")),
		Leaving: backpressure.ParseLeaving(h.Get(backpressure.HeaderLeaving)),
	}
}
