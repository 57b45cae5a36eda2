package quarantine

import "time"

// An Action is how a router treats a request.
type Action uint8

// The actions.
const (
	// Allow means that the request may be sent to a target.
	Allow Action = iota
	// AwaitPermit means that the request needs a permit, which may arrive with the response to
	// the next report.
	AwaitPermit
	// Reject means that the request is refused for now.
	Reject
)

// A Decision is an action for a request, with its details.
type Decision struct {
	Action Action
	// Suspect is the fingerprint that the decision and its permit are about.
	Suspect Fingerprint
	// TerminationCount is the number of terminations that count against the request.
	TerminationCount int
	// PermitID identifies the permit under which the request may run; 0 if it needs none.
	// PermitTarget is the target at which it may run; "" if it may run anywhere.
	PermitID     uint64
	PermitTarget string
	// RetryAfter is how long the caller should wait before a retry, if the request is rejected.
	RetryAfter time.Duration
}

// overrides reports whether a decision about one suspect of a request takes precedence over the one
// about another suspect.
func (d Decision) overrides(other Decision) bool {
	switch {
	case d.precedence() != other.precedence():
		return d.precedence() > other.precedence()
	case d.Action == Reject:
		return d.RetryAfter > other.RetryAfter
	case d.TerminationCount != other.TerminationCount:
		return d.TerminationCount > other.TerminationCount
	case d.Suspect.IsPart() != other.Suspect.IsPart():
		// The runs that are permitted for a part are those of all requests with it.
		return d.Suspect.IsPart()
	default:
		return d.Suspect < other.Suspect // so that all routers request the same permit
	}
}

// precedence orders decisions: a rejection, then a permit, then a request for one.
func (d Decision) precedence() int {
	const reject, permit, await, allow = 3, 2, 1, 0
	switch {
	case d.Action == Reject:
		return reject
	case d.Action == AwaitPermit:
		return await
	case d.PermitID != 0:
		return permit
	default:
		return allow
	}
}
