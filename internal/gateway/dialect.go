package gateway

import (
	"net/http"
	"time"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/pace"
	"laburnumfall/internal/placement"
)

// A Dialect reads and writes the headers that callers and targets use. It makes no decisions.
type Dialect interface {
	// RequestID returns the ID that the caller gave to its request, or "" to have the router
	// generate one.
	RequestID(header http.Header) string
	// RequestIDHeader returns the name of the header in which a target's response repeats the ID of
	// its request, or "" if responses have none. Without the ID a late response could be taken for
	// that of the next request, so connections to such targets are not reused.
	RequestIDHeader() string
	// SetResponseHeaders sets the headers that identify the request and report its outcome to the
	// caller.
	SetResponseHeaders(header http.Header, requestID string, outcome fleet.Outcome)
	// TimeLeft returns how long the caller will wait. It returns false if the caller did not say
	// so.
	TimeLeft(header http.Header) (time.Duration, bool)
	// Resumes returns the ID of the last event that the caller has of a stream that it resumes, and
	// the ID of the request that brought the stream's first event. Both are "" for a new stream.
	Resumes(header http.Header) (requestID, lastEventID string)
	// APIKey returns the caller's API key.
	APIKey(header http.Header) string
	// Prompt returns the parts of a request's prompt and the maximum number of generated tokens.
	Prompt(header http.Header) (parts []placement.PromptPart, maxOutput int)
	// SetRequestHeaders changes a caller's headers into those for a target.
	SetRequestHeaders(header http.Header, attempt AttemptInfo)
	// NotRun reports whether a target confirms in its response that it did not and will not run the
	// request.
	NotRun(status int, header http.Header) bool
	// AddressReused reports whether a response comes from another target that now has the address.
	AddressReused(status int) bool
	// Signed reports whether a response has its target's signature.
	Signed(header http.Header) bool
	// TargetLoad returns what a response says of its target's load. It returns false if the response
	// does not report it.
	TargetLoad(header http.Header) (pace.Report, bool)
	// Backpressure returns what a response says about further requests to its target.
	Backpressure(status int, header http.Header) backpressure.Signal
}

// An AttemptInfo is what a router adds to a caller's request when it sends it to a target.
type AttemptInfo struct {
	// Target is the ID of the only target that may run the request.
	Target string
	// RequestID is the ID of the request.
	RequestID string
	// Account is the client account, or "" if the route requires no API key.
	Account string
	// TimeLeft is how long the caller will still wait.
	TimeLeft time.Duration
	// CopyFrom is the address of an engine from which the target may copy the parts of the prompt
	// that it has not cached, or "".
	CopyFrom string
	// LastEventID is the ID of the last event that the caller received, or "".
	LastEventID string
}
