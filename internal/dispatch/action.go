package dispatch

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// An Action is an operation that the router must carry out for the Scheduler.
type Action interface{ action() }

// A Send starts an attempt of a request on a target.
type Send struct {
	ID        uint64
	Target    fleet.Target
	Reason    Reason
	Attempt   int
	QueueTime time.Duration
	// Deadline is the deadline of the request, or zero.
	Deadline time.Time
	// StartBy is the end of the lease on the slot. From then on, the attempt must not be started.
	StartBy time.Time
}

// A Reason says why a target was chosen. It appears in logs.
type Reason string

// The reasons for choosing a target.
const (
	ReasonPrefix      Reason = "prefix" // the target last served the same prompt prefix
	ReasonLeastLoaded Reason = "free"   // the target has the largest fraction of its slots free
	ReasonProbe       Reason = "probe"  // the target is on probation after failures
)

// A Refuse is the final answer to a request that the router gives up.
type Refuse struct {
	ID      uint64
	Err     *fleet.Error
	Outcome fleet.Outcome
	// RetryAt is when a retry may succeed; zero means never.
	RetryAt time.Time
	// RunState is the run state of the claimed key, set if the request was refused because of its
	// claim.
	RunState message.RunState
}

// An AcquireClaim asks the keepers for the exclusive right to run a request.
type AcquireClaim struct {
	ID    uint64
	Claim message.Claim
}

// A SettleClaim reports the run state of a claimed request to the keepers.
type SettleClaim struct {
	Settlement message.Settlement
}

// A Cancel stops a running request whose client has disconnected.
type Cancel struct {
	ID uint64
}

// A Probe checks whether a target that closed a connection has terminated. The result goes to
// HandleProbeResult.
type Probe struct {
	Target fleet.Target
}

// A SendReport sends a report to the keepers.
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
