package dispatch

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// An Action is something that the program must do.
type Action interface{ action() }

// A Send starts a request on a target.
type Send struct {
	ID        uint64
	Target    fleet.Target
	Reason    Reason
	Attempt   int
	QueueTime time.Duration
	// Deadline is the request's, or zero.
	Deadline time.Time
}

// A Reason says why a target was chosen.
type Reason string

// The reasons of a choice.
const (
	ReasonPrefix      Reason = "prefix" // it served the same prompt prefix before
	ReasonLeastLoaded Reason = "free"   // the largest part of its slots is free
	ReasonProbe       Reason = "probe"  // it is tried again after failures
)

// A Refuse is the final answer to a request that is given up.
type Refuse struct {
	ID      uint64
	Err     *fleet.Error
	Outcome fleet.Outcome
	// RetryAt is when the request may succeed; zero is never.
	RetryAt time.Time
	// Fate is what is known of the key of a request refused for its claim.
	Fate message.RunState
}

// An AcquireClaim asks the keepers for the right to run a request.
type AcquireClaim struct {
	ID    uint64
	Claim message.Claim
}

// A SettleClaim tells the keepers what became of a claimed request.
type SettleClaim struct {
	Settlement message.Settlement
}

// A Cancel stops a running request whose caller has gone.
type Cancel struct {
	ID uint64
}

// A Probe asks whether a target that cut an exchange has ended. Looked takes the answer.
type Probe struct {
	Target fleet.Target
}

// A SendReport reports to the keepers.
type SendReport struct {
	Report message.Report
}

func (Send) action()         {}
func (Refuse) action()       {}
func (AcquireClaim) action() {}
func (SettleClaim) action()  {}
func (Cancel) action()       {}
func (Probe) action()        {}
func (SendReport) action()   {}
