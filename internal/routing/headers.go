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

// DefaultDialect reads and writes the outside interface's own headers. Targets that a configuration
// lists echo no ID and sign nothing.
type DefaultDialect struct{}

var _ gateway.Dialect = DefaultDialect{}

// RequestID implements gateway.Dialect: the router names requests.
func (DefaultDialect) RequestID(http.Header) string {
	return ""
}

// RequestIDHeader implements gateway.Dialect.
func (DefaultDialect) RequestIDHeader() string {
	return ""
}

// SetRequestHeaders implements gateway.Dialect.
func (DefaultDialect) SetRequestHeaders(h http.Header, i gateway.AttemptInfo) {
	for _, name := range kept {
		h.Del(name)
	}
	h.Set(headerRequest, i.RequestID)
	if i.LastEventID != "" {
		h.Set(headerLast, i.LastEventID)
	}
}

// APIKey implements gateway.Dialect.
func (DefaultDialect) APIKey(h http.Header) string {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return key
}

// TimeLeft implements gateway.Dialect. The caller's clock and the router's are
// compared, so a caller whose clock is off waits as long as its route says.
func (DefaultDialect) TimeLeft(h http.Header) (time.Duration, bool) {
	at, err := time.Parse(time.RFC3339, h.Get(headerDeadline))
	if err != nil {
		return 0, false
	}
	return max(time.Until(at), 0), true
}

// SetResponseHeaders implements gateway.Dialect.
func (DefaultDialect) SetResponseHeaders(h http.Header, id string, o fleet.Outcome) {
	h.Set(headerRequest, id)
	h.Set(headerOutcome, string(o))
}

// AddressReused implements gateway.Dialect.
func (DefaultDialect) AddressReused(int) bool {
	return false
}

// Prompt implements gateway.Dialect: callers tell nothing of their prompts.
func (DefaultDialect) Prompt(http.Header) (parts []placement.PromptPart, output int) {
	return nil, 0
}

// Signed implements gateway.Dialect.
func (DefaultDialect) Signed(http.Header) bool {
	return true
}

// NotRun implements gateway.Dialect: no answer of a target promises anything.
func (DefaultDialect) NotRun(int, http.Header) bool {
	return false
}

// QueueLength implements gateway.Dialect.
func (DefaultDialect) QueueLength(http.Header) (int, bool) {
	return 0, false
}
