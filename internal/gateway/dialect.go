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
	// ID returns the request's ID where callers name one; else the router does.
	ID(h http.Header) string
	// IDHeader is the header by which targets' answers bear the ID of their
	// request, or "" where they bear none. Connections to such targets are not
	// used again, since nothing tells whose answer comes.
	IDHeader() string
	// Mark tells a caller in an answer's headers whose it is, and what became
	// of the request.
	Mark(h http.Header, id string, o fleet.Outcome)
	// Left returns how long the caller will wait, if it says so.
	Left(h http.Header) (time.Duration, bool)
	// Key returns the key of the caller's account.
	Key(h http.Header) string
	// Prompt returns the parts of a request's prompt and the most tokens that
	// may be generated.
	Prompt(h http.Header) (parts []placement.PromptPart, output int)
	// Instruct turns a caller's headers into those for a target.
	Instruct(h http.Header, i Instruction)
	// Unrun reports whether a target's answer says that it did not run the
	// request and will not.
	Unrun(status int, h http.Header) bool
	// Moved reports whether another target has the address by now.
	Moved(status int) bool
	// Signed reports whether an answer bears its target's signature.
	Signed(h http.Header) bool
	// Waiting returns how many requests wait at a target, if its answer says so.
	Waiting(h http.Header) (int, bool)
}

// An Instruction is what a target is told beside the caller's request.
type Instruction struct {
	// Target is the ID of the only target that may run the request.
	Target string
	// ID is the request's.
	ID string
	// Account is the client account, or "" for a route without keys.
	Account string
	// Left is how long the caller will still wait.
	Left time.Duration
	// CopyFrom is the address of the engine from which this one may copy the parts
	// of the prompt that it lacks, or "".
	CopyFrom string
	// After is the ID of the last event that the caller has, or "".
	After string
}
