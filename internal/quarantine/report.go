package quarantine

import (
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// suspectEnds is from how many ends on copies of a request run one at a time in the whole
	// fleet. One end says little: dozens of requests run at a target that ends.
	suspectEnds = 2
	// convictEnds is from how many ends on a request is held back: what operators allow.
	convictEnds = 3
	// mostTrials is how many runs are granted after that, lest a request that was only there
	// at three ends never gets an answer. Operators allow three; the third is for an end that
	// nobody could tell of, such as one whose router ended with it.
	mostTrials = 2
)

// An End is a target's end while it ran a request: what a router tells the leader.
type Termination struct {
	Fingerprint Fingerprint `json:"print"`
	// Account and Place are whose request it is and where it goes, for operators.
	Account     string `json:"account,omitempty"`
	Destination string `json:"place,omitempty"`
	Pool        string `json:"pool,omitempty"`
	// Target is the incarnation that ended. Named says that its ID is a name, which it keeps
	// over its starts, and that nobody tells these: ends apart in time are two then.
	Target   fleet.Incarnation `json:"target"`
	IDReused bool              `json:"named,omitempty"`
	// Grant is the permit under which the request ran there, 0 if it had none.
	PermitID uint64 `json:"grant,omitempty"`
	// Age is how long ago it ended.
	Age time.Duration `json:"age"`
}

// A Clear is a whole answer to a request: it does not end targets.
type Completion struct {
	Fingerprint Fingerprint   `json:"print"`
	Age         time.Duration `json:"age"`
}

// A Return gives a permit back whose run showed neither.
type PermitReturn struct {
	Fingerprint Fingerprint `json:"print"`
	PermitID    uint64      `json:"grant"`
	// Unsent says that no target was sent the request, and Unreached that the permit's target
	// could not be reached.
	NotSent     bool `json:"unsent,omitempty"`
	Unreachable bool `json:"unreached,omitempty"`
}

// A Report is what a router tells the leader, with whatever else it reports. It may be lost,
// doubled or late: ends and clears are told for a while, and again to the next leader.
type Report struct {
	// Held is the revision of the book whose rulings the router holds.
	KnownRevision uint64         `json:"held,omitempty"`
	Terminations  []Termination  `json:"ends,omitempty"`
	Completions   []Completion   `json:"clears,omitempty"`
	PermitReturns []PermitReturn `json:"returns,omitempty"`
	// Asks are requests that wait here for a permit.
	PermitRequests []Fingerprint `json:"asks,omitempty"`
}

// A Ruling is what the fleet holds of one request.
type Restriction struct {
	Fingerprint Fingerprint `json:"print"`
	// Ends is under how many ends it stands; below two it is free.
	TerminationCount int `json:"ends"`
	// Final says that no trial is left.
	NoTrialsLeft bool `json:"final,omitempty"`
	// Next is when a run is granted next, or the ruling lapses.
	NextRunIn time.Duration `json:"next,omitempty"`
	// Holder is the router that may run it, or runs it, under a permit; Until is for how
	// long, Target where, and Grant names the permit.
	PermitHolder    string        `json:"holder,omitempty"`
	PermitExpiresIn time.Duration `json:"until,omitempty"`
	PermitTarget    string        `json:"target,omitempty"`
	PermitID        uint64        `json:"grant,omitempty"`
	// Absent says that all targets of its pool have just ended.
	PoolDown bool `json:"absent,omitempty"`
}

// Rulings are the leader's answer to a Report.
type RestrictionUpdate struct {
	Revision uint64 `json:"revision,omitempty"`
	// Whole says that the list holds all rulings there are; else what has changed.
	Complete     bool          `json:"whole,omitempty"`
	Restrictions []Restriction `json:"list,omitempty"`
}
