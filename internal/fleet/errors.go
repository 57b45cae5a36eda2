package fleet

import "fmt"

// An ErrorKind classifies why a request, a configuration or an operator's command is refused.
// Its text is the "kind" of the JSON body that callers receive.
type ErrorKind string

// The kinds of errors. The router maps each to one HTTP status.
const (
	// KindMalformed is a request that cannot be parsed or has an invalid value.
	KindMalformed ErrorKind = "malformed"
	// KindIncomplete is a request that has not arrived completely in time.
	KindIncomplete ErrorKind = "incomplete"
	// KindUnknownKey is a key that belongs to no account.
	KindUnknownKey ErrorKind = "key"
	// KindAccountNotAdmitted is an account that may not use the event.
	KindAccountNotAdmitted ErrorKind = "account"
	// KindEventUnavailable is an event that does not exist or is not open, or a path that
	// names no event or route.
	KindEventUnavailable ErrorKind = "event"
	// KindClaimed is a request whose idempotency key was used before.
	KindClaimed ErrorKind = "claimed"
	// KindTooLarge is a request over a size limit.
	KindTooLarge ErrorKind = "toolarge"
	// KindQueueFull is an account whose queue in this router is full.
	KindQueueFull ErrorKind = "queuefull"
	// KindNoTarget is a lack of targets that accept the request.
	KindNoTarget ErrorKind = "notarget"
	// KindNoLease is a router without a configuration or without a valid lease.
	KindNoLease ErrorKind = "nolease"
	// KindStopping is a process that is shutting down.
	KindStopping ErrorKind = "stopping"
	// KindDeadline is a deadline that has passed, or that the predicted wait exceeds.
	KindDeadline ErrorKind = "deadline"
	// KindTargetFailed is a target that failed while it may have run the request.
	KindTargetFailed ErrorKind = "target"
	// KindCallerLeft is a caller that disconnected.
	KindCallerLeft ErrorKind = "gone"
	// KindInvalidConfig is a configuration with a fault.
	KindInvalidConfig ErrorKind = "config"
	// KindConflict is a configuration whose number is already in use or outdated.
	KindConflict ErrorKind = "conflict"
	// KindPrecondition is a command that is not allowed in the present state.
	KindPrecondition ErrorKind = "policy"
	// KindNotLeader is a command that only the leader can serve, sent to another keeper or
	// while no leader can serve it yet.
	KindNotLeader ErrorKind = "notleader"
	// KindNoQuorum is a command that was not confirmed by a leader with a quorum.
	KindNoQuorum ErrorKind = "noquorum"
	// KindCapacityExhausted is a lack of memory for request bodies or for claims.
	KindCapacityExhausted ErrorKind = "full"
	// KindBadProof is a peer that cannot prove that it has the fleet's secret.
	KindBadProof ErrorKind = "proof"
	// KindQuarantined is a request that is suspected to terminate targets.
	KindQuarantined ErrorKind = "held"
)

// An Error is a refusal, with its kind and a remedy for the caller or operator who gets it.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
}

// NewError returns an Error of the given kind, with a formatted message.
func NewError(kind ErrorKind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Error returns "kind: message (remedy)".
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Kind, e.Message, e.Remedy)
}

// An Outcome says whether a target ran a request. It is the value of the Lf-Outcome header.
type Outcome string

// The outcomes. OutcomeNotRun guarantees that no target ran the request and that none
// will.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "unrun"
	OutcomeUnknown Outcome = "unknown"
)
