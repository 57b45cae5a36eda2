package routing

import (
	"net/http"
	"strings"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/gateway"
	"laburnumfall/internal/placement"
)

// The headers of the outside interface.
const (
	headerRequest  = "Lf-Request"
	headerOutcome  = "Lf-Outcome"
	headerDeadline = "Lf-Deadline"
	headerLast     = "Last-Event-Id"
)

// kept are headers for the router that are not passed on to targets.
var kept = []string{"Authorization", "Lf-Repeat", "Lf-Cost", headerDeadline, headerOutcome}

// Headers are the outside interface's own headers. Targets that a configuration
// lists echo no ID and sign nothing.
type Headers struct{}

var _ gateway.Dialect = Headers{}

// RequestID implements gateway.Dialect: the router names requests.
func (Headers) RequestID(http.Header) string {
	return ""
}

// RequestIDHeader implements gateway.Dialect.
func (Headers) RequestIDHeader() string {
	return ""
}

// SetRequestHeaders implements gateway.Dialect.
func (Headers) SetRequestHeaders(h http.Header, i gateway.AttemptInfo) {
	for _, name := range kept {
		h.Del(name)
	}
	h.Set(headerRequest, i.RequestID)
	if i.LastEventID != "" {
		h.Set(headerLast, i.LastEventID)
	}
}

// APIKey implements gateway.Dialect.
func (Headers) APIKey(h http.Header) string {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return key
}

// TimeLeft implements gateway.Dialect. The caller's clock and the router's are
// compared, so a caller whose clock is off waits as long as its route says.
func (Headers) TimeLeft(h http.Header) (time.Duration, bool) {
	at, err := time.Parse(time.RFC3339, h.Get(headerDeadline))
	if err != nil {
		return 0, false
	}
	return max(time.Until(at), 0), true
}

// SetResponseHeaders implements gateway.Dialect.
func (Headers) SetResponseHeaders(h http.Header, id string, o fleet.Outcome) {
	h.Set(headerRequest, id)
	h.Set(headerOutcome, string(o))
}

// AddressReused implements gateway.Dialect.
func (Headers) AddressReused(int) bool {
	return false
}

// Prompt implements gateway.Dialect: callers tell nothing of their prompts.
func (Headers) Prompt(http.Header) (parts []placement.PromptPart, output int) {
	return nil, 0
}

// Signed implements gateway.Dialect.
func (Headers) Signed(http.Header) bool {
	return true
}

// NotRun implements gateway.Dialect: no answer of a target promises anything.
func (Headers) NotRun(int, http.Header) bool {
	return false
}

// QueueLength implements gateway.Dialect.
func (Headers) QueueLength(http.Header) (int, bool) {
	return 0, false
}
