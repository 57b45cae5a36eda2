package message

import "laburnumfall/internal/fleet"

// An EvacuateRequest starts the evacuation of an availability zone, whose targets then get no
// new work, or ends it.
type EvacuateRequest struct {
	Zone     fleet.Zone `json:"zone"`
	End      bool       `json:"end,omitempty"`
	Operator string     `json:"operator,omitempty"`
	// Ask says that the request is not carried out yet, and that the result is to have a Ticket for it.
	Ask bool `json:"ask,omitempty"`
	// Ticket is the one that the leader gave for the request, or nil if the sender asked for none.
	Ticket *Ticket `json:"ticket,omitempty"`
}

// A Ticket says when a leader was asked for it. A request with a ticket that is not recent is late: nothing in
// the requests of one operator tells a late one from a new one.
type Ticket struct {
	Term uint64 `json:"term"`
	// At is the leader's time in Unix nanoseconds.
	At int64 `json:"at"`
}

// An EvacuateResult is the result of MethodEvacuate.
type EvacuateResult struct {
	Zones []fleet.Zone `json:"zones"` // all evacuated zones
	// Unconfirmed says that the zone of the request is not known to exist: no setting or
	// configuration names it, nor does the list of targets as far as it can be read.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Ticket is the answer to a request with Ask, which was not carried out.
	Ticket *Ticket `json:"ticket,omitempty"`
}
