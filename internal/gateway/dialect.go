package gateway

import (
	"net/http"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
)

// A Dialect knows the headers in which callers and targets speak. It reads and
// writes them and decides nothing.
type Dialect interface {
	// RequestID returns the request's ID where callers name one; else the router does.
	RequestID(h http.Header) string
	// RequestIDHeader is the header by which targets' answers bear the ID of their
	// request, or "" where they bear none. Connections to such targets are not
	// used again, since nothing tells whose answer comes.
	RequestIDHeader() string
	// SetResponseHeaders tells a caller in an answer's headers whose it is, and what became
	// of the request.
	SetResponseHeaders(h http.Header, id string, o fleet.Outcome)
	// TimeLeft returns how long the caller will wait, if it says so.
	TimeLeft(h http.Header) (time.Duration, bool)
	// APIKey returns the key of the caller's account.
	APIKey(h http.Header) string
	// Prompt returns the parts of a request's prompt and the most tokens that
	// may be generated.
	Prompt(h http.Header) (parts []placement.PromptPart, output int)
	// SetRequestHeaders turns a caller's headers into those for a target.
	SetRequestHeaders(h http.Header, i AttemptInfo)
	// NotRun reports whether a target's answer says that it did not run the
	// request and will not.
	NotRun(status int, h http.Header) bool
	// AddressReused reports whether another target has the address by now.
	AddressReused(status int) bool
	// Signed reports whether an answer bears its target's signature.
	Signed(h http.Header) bool
	// QueueLength returns how many requests wait at a target, if its answer says so.
	QueueLength(h http.Header) (int, bool)
}

// An AttemptInfo is what a target is told beside the caller's request.
type AttemptInfo struct {
	// Target is the ID of the only target that may run the request.
	Target string
	// RequestID is the request's.
	RequestID string
	// Account is the client account, or "" for a route without keys.
	Account string
	// TimeLeft is how long the caller will still wait.
	TimeLeft time.Duration
	// CopyFrom is the address of the engine from which this one may copy the parts
	// of the prompt that it lacks, or "".
	CopyFrom string
	// LastEventID is the ID of the last event that the caller has, or "".
	LastEventID string
}
