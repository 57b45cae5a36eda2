package quarantine

import (
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// suspectThreshold is the number of terminations from which on copies of a request run one
	// at a time in the whole fleet. One termination is weak evidence, since a target that
	// terminates runs dozens of requests.
	suspectThreshold = 2
	// quarantineThreshold is the number of terminations from which on a request is quarantined.
	// Operators allow this many.
	quarantineThreshold = 3
	// isolatedThreshold is how many of quarantineThreshold terminations must be during runs under a
	// permit to quarantine a part of prompts. From partQuarantineThreshold on, any are enough.
	isolatedThreshold       = 2
	partQuarantineThreshold = 5
	// maxTrials is how many runs are permitted after that, so that a request that only happened
	// to run during three terminations gets a response. Operators allow three; the third is
	// reserved for a termination that is never reported, such as one whose router terminated as
	// well.
	maxTrials = 2
)

// A Termination reports that a target terminated while it ran a request.
type Termination struct {
	Fingerprint Fingerprint `json:"print"`
	// Account and Destination describe the request to operators.
	Account     string `json:"account,omitempty"`
	Destination string `json:"place,omitempty"`
	Pool        string `json:"pool,omitempty"`
	// Target is the incarnation that terminated. IDReused says that the target keeps its ID over
	// restarts and that its start time is unknown, so that only the times of two terminations
	// distinguish them.
	Target   fleet.Incarnation `json:"target"`
	IDReused bool              `json:"named,omitempty"`
	// PermitID identifies the permit under which the request ran; 0 if it had none.
	PermitID uint64 `json:"grant,omitempty"`
	// Age is the time since the termination.
	Age time.Duration `json:"age"`
}

// A Completion reports a complete response to a request, which shows that the request does not
// terminate targets. For a part of prompts, it is enough that a target has written an answer for some
// time.
type Completion struct {
	Fingerprint Fingerprint   `json:"print"`
	Age         time.Duration `json:"age"`
}

// A PermitReturn ends a permit whose run led to neither a termination nor a completion.
type PermitReturn struct {
	Fingerprint Fingerprint `json:"print"`
	PermitID    uint64      `json:"grant"`
	// NotSent says that the request was sent to no target. Unreachable says that the target of
	// the permit could not be reached.
	NotSent     bool `json:"unsent,omitempty"`
	Unreachable bool `json:"unreached,omitempty"`
}

// A Report is a router's report to the leader; it is part of a larger message. It may be lost,
// duplicated or delayed. Terminations and completions are repeated until they are acknowledged,
// and are reported again to a new leader.
type Report struct {
	// KnownRevision is the revision of the EntryStore whose restrictions the router has.
	KnownRevision uint64        `json:"held,omitempty"`
	Terminations  []Termination `json:"ends,omitempty"`
	// PartTerminations are the terminations during requests whose prompts have a part.
	PartTerminations []Termination  `json:"parts,omitempty"`
	Completions      []Completion   `json:"clears,omitempty"`
	PermitReturns    []PermitReturn `json:"returns,omitempty"`
	// PermitRequests are the requests that wait for a permit in this router.
	PermitRequests []Fingerprint `json:"asks,omitempty"`
	// Unreachable are the IDs of targets that this router could not reach lately, if it requests
	// permits.
	Unreachable []string `json:"unreachable,omitempty"`
}

// A Restriction says how routers must treat one request.
type Restriction struct {
	Fingerprint Fingerprint `json:"print"`
	// TerminationCount is the number of terminations that count against the request. Below
	// suspectThreshold, the request is not restricted.
	TerminationCount int `json:"ends"`
	// NoTrialsLeft says that no more trial runs will be permitted.
	NoTrialsLeft bool `json:"final,omitempty"`
	// NextRunIn is the time until the next run may be permitted or the restriction expires.
	NextRunIn time.Duration `json:"next,omitempty"`
	// PermitHolder is the router with the permit PermitID for the request. It may run the request
	// at PermitTarget, or anywhere if that is "", until PermitExpiresIn has passed.
	PermitHolder    string        `json:"holder,omitempty"`
	PermitExpiresIn time.Duration `json:"until,omitempty"`
	PermitTarget    string        `json:"target,omitempty"`
	PermitID        uint64        `json:"grant,omitempty"`
	// PoolDown says that all targets of the request's pool terminated recently.
	PoolDown bool `json:"absent,omitempty"`
}

// quarantined reports whether the requests are quarantined. A part of prompts may have as many
// terminations and only be suspected.
func (r Restriction) quarantined() bool {
	return r.TerminationCount >= quarantineThreshold && (!r.Fingerprint.IsPart() || r.NoTrialsLeft || r.NextRunIn > 0)
}

// A RestrictionUpdate is the leader's response to a Report.
type RestrictionUpdate struct {
	Revision uint64 `json:"revision,omitempty"`
	// Complete says that Restrictions has all restrictions. Otherwise it has those that have
	// changed since the router's KnownRevision.
	Complete     bool          `json:"whole,omitempty"`
	Restrictions []Restriction `json:"list,omitempty"`
}
