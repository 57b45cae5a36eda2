package fleet

import "fmt"

// A Kind names one way in which a request, a configuration or an order is
// refused. Its text is the "kind" of the JSON body that callers receive.
type ErrorKind string

// The kinds of refusal. The router maps each to one HTTP status.
const (
	KindMalformed          ErrorKind = "malformed"
	KindUnknownKey         ErrorKind = "key"
	KindAccountNotAdmitted ErrorKind = "account"
	KindEventUnavailable   ErrorKind = "event"
	KindClaimed            ErrorKind = "claimed"
	KindTooLarge           ErrorKind = "toolarge"
	KindQueueFull          ErrorKind = "queuefull"
	KindNoTarget           ErrorKind = "notarget"
	KindNoLease            ErrorKind = "nolease"
	KindStopping           ErrorKind = "stopping"
	KindDeadline           ErrorKind = "deadline"
	KindTargetFailed       ErrorKind = "target"
	KindCallerLeft         ErrorKind = "gone"
	KindInvalidConfig      ErrorKind = "config"
	KindConflict           ErrorKind = "conflict"
	KindPrecondition       ErrorKind = "policy"
	KindNotLeader          ErrorKind = "notleader"
	KindNoQuorum           ErrorKind = "noquorum"
	KindCapacityExhausted  ErrorKind = "full"
	KindBadProof           ErrorKind = "proof"
	KindQuarantined        ErrorKind = "held"
)

// An Error is a refusal with its kind and the remedy for whoever meets it.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
}

// NewError returns an Error of the given kind.
func NewError(kind ErrorKind, remedy, format string, args ...any) *Error {
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
	OutcomeNotRun  Outcome = "unrun"
	OutcomeUnknown Outcome = "unknown"
)
