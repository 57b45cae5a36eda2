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
type End struct {
	Print Print `json:"print"`
	// Account and Place are whose request it is and where it goes, for operators.
	Account string `json:"account,omitempty"`
	Place   string `json:"place,omitempty"`
	Pool    string `json:"pool,omitempty"`
	// Target is the incarnation that ended. Named says that its ID is a name, which it keeps
	// over its starts, and that nobody tells these: ends apart in time are two then.
	Target fleet.Incarnation `json:"target"`
	Named  bool              `json:"named,omitempty"`
	// Grant is the permit under which the request ran there, 0 if it had none.
	Grant uint64 `json:"grant,omitempty"`
	// Age is how long ago it ended.
	Age time.Duration `json:"age"`
}

// A Clear is a whole answer to a request: it does not end targets.
type Clear struct {
	Print Print         `json:"print"`
	Age   time.Duration `json:"age"`
}

// A Return gives a permit back whose run showed neither.
type Return struct {
	Print Print  `json:"print"`
	Grant uint64 `json:"grant"`
	// Unsent says that no target was sent the request, and Unreached that the permit's target
	// could not be reached.
	Unsent    bool `json:"unsent,omitempty"`
	Unreached bool `json:"unreached,omitempty"`
}

// A Report is what a router tells the leader, with whatever else it reports. It may be lost,
// doubled or late: ends and clears are told for a while, and again to the next leader.
type Report struct {
	// Held is the revision of the book whose rulings the router holds.
	Held    uint64   `json:"held,omitempty"`
	Ends    []End    `json:"ends,omitempty"`
	Clears  []Clear  `json:"clears,omitempty"`
	Returns []Return `json:"returns,omitempty"`
	// Asks are requests that wait here for a permit.
	Asks []Print `json:"asks,omitempty"`
}

// A Ruling is what the fleet holds of one request.
type Ruling struct {
	Print Print `json:"print"`
	// Ends is under how many ends it stands; below two it is free.
	Ends int `json:"ends"`
	// Final says that no trial is left.
	Final bool `json:"final,omitempty"`
	// Next is when a run is granted next, or the ruling lapses.
	Next time.Duration `json:"next,omitempty"`
	// Holder is the router that may run it, or runs it, under a permit; Until is for how
	// long, Target where, and Grant names the permit.
	Holder string        `json:"holder,omitempty"`
	Until  time.Duration `json:"until,omitempty"`
	Target string        `json:"target,omitempty"`
	Grant  uint64        `json:"grant,omitempty"`
	// Absent says that all targets of its pool have just ended.
	Absent bool `json:"absent,omitempty"`
}

// Rulings are the leader's answer to a Report.
type Rulings struct {
	Revision uint64 `json:"revision,omitempty"`
	// Whole says that the list holds all rulings there are; else what has changed.
	Whole bool     `json:"whole,omitempty"`
	List  []Ruling `json:"list,omitempty"`
}
