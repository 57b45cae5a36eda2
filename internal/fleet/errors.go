package fleet

import "fmt"

// A Kind names one way in which a request, a configuration or an order is
// refused. Its text is the "kind" of the JSON body that callers receive.
type Kind string

// The kinds of refusal. The router maps each to one HTTP status.
const (
	KindMalformed Kind = "malformed"
	KindKey       Kind = "key"
	KindAccount   Kind = "account"
	KindEvent     Kind = "event"
	KindClaimed   Kind = "claimed"
	KindTooLarge  Kind = "toolarge"
	KindQueueFull Kind = "queuefull"
	KindNoTarget  Kind = "notarget"
	KindNoLease   Kind = "nolease"
	KindStopping  Kind = "stopping"
	KindDeadline  Kind = "deadline"
	KindTarget    Kind = "target"
	KindGone      Kind = "gone"
	KindConfig    Kind = "config"
	KindConflict  Kind = "conflict"
	KindPolicy    Kind = "policy"
	KindNotLeader Kind = "notleader"
	KindNoQuorum  Kind = "noquorum"
	KindFull      Kind = "full"
	KindProof     Kind = "proof"
	KindHeld      Kind = "held"
)

// An Error is a refusal with its kind and the remedy for whoever meets it.
type Error struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// NewError returns an Error of the given kind.
func NewError(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Error returns the message followed by its remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Kind, e.Message, e.Remedy)
}

// An Outcome says what became of a request, as told in the Lf-Outcome header.
type Outcome string

// The outcomes. OutcomeUnrun is a promise: no target ran the request and none
// will.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeUnrun   Outcome = "unrun"
	OutcomeUnknown Outcome = "unknown"
)
