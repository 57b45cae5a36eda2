// Package message holds the messages between the fleet's processes.
//
// Every message that may be lost, doubled or late carries what makes it
// harmless: an incarnation, a term, a sequence or a cumulative value. Times
// are in the clock of the process that the field names. A reader ignores
// fields that it does not know, so that old and new processes run together.
package message

import (
	"encoding/json"
	"strconv"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

// Version is the version of the messages that this program speaks. It stands
// in the first message of a link.
const Version = 1

// The methods of the calls and notices between processes.
const (
	MethodHello      = "hello"
	MethodProve      = "prove"
	MethodReport     = "report"
	MethodGrant      = "grant"
	MethodClaim      = "claim"
	MethodSettle     = "settle"
	MethodQuorum     = "quorum"
	MethodFoundGroup = "found"
	MethodJoinGroup  = "join"
	MethodFormGroup  = "formed"
	MethodApply      = "apply"
	MethodShow       = "show"
	MethodStatus     = "status"
	MethodRenew      = "renew"
	// MethodRenewPacked is the same with a PackedRenew.
	MethodRenewPacked = "renewpacked"

	MethodPutRoutes      = "put"
	MethodReadRoutes     = "read"
	MethodMembers        = "known"
	MethodListQuarantine = "held"
	MethodLiftQuarantine = "lift"
	// MethodEvacuate begins or ends the evacuation of an availability zone.
	MethodEvacuate = "evacuate"
)

// A Report is what a router tells the leader, every report period and at once
// when it lacks slots or gives some back.
type Report struct {
	Router string     `json:"router"`
	Zone   fleet.Zone `json:"zone"`
	// Inc is drawn anew at each start of the router: cumulative values count
	// within it.
	Incarnation uint64    `json:"inc"`
	Seq         uint64    `json:"seq"`
	SentAt      time.Time `json:"sent"` // router's clock
	// Term and Ack name the newest grant that the router has put in force.
	Term   uint64        `json:"term"`
	AckSeq uint64        `json:"ack"`
	Number uint64        `json:"number"`
	Queues []QueueLength `json:"queues,omitempty"`
	// Full says that Usage holds every account. Otherwise one left out has not
	// changed since the report that the newest grant echoes. A leader that does
	// not know the router waits for a full one.
	Full  bool        `json:"full,omitempty"`
	Usage []Usage     `json:"usage,omitempty"`
	Slots []SlotUsage `json:"slots,omitempty"`
	// Levels are the fleet's service levels as the router last heard them. A
	// new leader takes the highest of each account.
	VirtualTimes     []VirtualTime `json:"levels,omitempty"`
	VirtualTimeFloor float64       `json:"floor,omitempty"`
	// Leaving says that the router is stopping and wants no slots.
	Leaving bool `json:"leaving,omitempty"`
	// Quarantine is which requests targets have ended under.
	Quarantine *quarantine.Report `json:"quarantine,omitempty"`
}

// A Queue is the waiting work of one account for one event in one router.
type QueueLength struct {
	Account string `json:"account"`
	Event   string `json:"event"`
	Waiting int    `json:"waiting"`
}

// A Usage is the service that one account had through one router.
type Usage struct {
	Account string `json:"account"`
	// Served is the settled cost since the router's start. It never falls.
	Served float64 `json:"served"`
	// Counted is the part of Served that the levels last heard include.
	ServedInVirtualTime float64 `json:"counted,omitempty"`
	// Ended is the number of requests settled since the router's start.
	Settled uint64 `json:"ended"`
	// Charged is the estimated cost of the Running requests.
	EstimatedCost float64 `json:"charged,omitempty"`
	Running       int     `json:"running,omitempty"`
}

// A Holding is the slots of one target that a router holds: it may run up to
// Cap requests and runs Use. Use is above Cap while a reduced lease drains.
type SlotUsage struct {
	Target string `json:"target"`
	Limit  int    `json:"cap"`
	InUse  int    `json:"use"`
}

// A Level is the virtual service of an account: settled cost over share,
// lifted to the floor when the account returned from idle.
type VirtualTime struct {
	Account string  `json:"account"`
	Value   float64 `json:"value"`
	// Others is the charge of requests that run through other routers, over
	// the share.
	RemoteCharge float64 `json:"others,omitempty"`
	// Spread is how many times its own work the account has in the whole
	// fleet. What the router serves, others are likely serving too.
	FleetRatio float64 `json:"spread,omitempty"`
}

// A Grant renews a router's lease and says what holds under it.
type Grant struct {
	Term        uint64 `json:"term"`
	Seq         uint64 `json:"seq"`
	Incarnation uint64 `json:"inc"`
	// Echo is the Seq of the newest report that the levels include.
	EchoSeq   uint64    `json:"echo"`
	ExpiresAt time.Time `json:"until"` // router's clock
	// Number is the configuration in force. Config holds it when the router
	// reported another one.
	Number uint64          `json:"number"`
	Config json.RawMessage `json:"config,omitempty"`
	// Slots are all the router's slots; a target left out has none.
	Slots            []SlotGrant   `json:"slots,omitempty"`
	VirtualTimes     []VirtualTime `json:"levels,omitempty"`
	VirtualTimeFloor float64       `json:"floor"`
	// Short says that some router lacks slots: one that comes free and is not
	// needed here should be reported at once.
	SlotsShort bool `json:"short,omitempty"`
	// Gone are targets that the platform's list of VMs shows as leaving.
	LeavingTargets []string `json:"gone,omitempty"`
	// Rulings are which requests are held back.
	Restrictions *quarantine.RestrictionUpdate `json:"rulings,omitempty"`
}

// A Slot lets a router run up to Count requests at a time on Target.
type SlotGrant struct {
	Target string `json:"target"`
	Count  int    `json:"count"`
}

// A Fate is what the fleet knows of a non-repeatable request.
type RunState string

// The fates. FateRunning becomes FateUnknown for askers once the claiming
// router's lease has lapsed.
const (
	RunStateRunning RunState = "running"
	RunStateRan     RunState = "ran"
	RunStateNotRun  RunState = "unrun"
	RunStateUnknown RunState = "unknown"
)

// A Claim asks for the right to run the request named by Key once. The same
// Owner and Attempt may be sent again: the answer is the same.
type Claim struct {
	Key     string `json:"key"`
	Owner   string `json:"owner"` // router name and incarnation
	Attempt uint64 `json:"attempt"`
}

// Owner returns the name under which an incarnation of a router claims.
func ClaimOwner(router string, inc uint64) string {
	return router + "/" + strconv.FormatUint(inc, 36)
}

// A Verdict answers a Claim.
type ClaimResult struct {
	Granted bool     `json:"granted"`
	State   RunState `json:"fate,omitempty"`
	// Owner is the hash of the claim's owner. It stays within the keeper.
	Owner uint64 `json:"-"`
	// Full says that no room is left for claims, so nothing was recorded.
	ClaimsFull bool `json:"full,omitempty"`
}

// A Settlement records the fate of a claimed request.
type Settlement struct {
	Key     string   `json:"key"`
	Owner   string   `json:"owner"`
	Attempt uint64   `json:"attempt"`
	State   RunState `json:"fate"`
}

// Claims is the parameter of MethodClaim.
type ClaimRequest struct {
	Claims []Claim `json:"claims"`
}

// Verdicts is the result of MethodClaim, in the order of the claims.
type ClaimResponse struct {
	Results []ClaimResult `json:"verdicts"`
}

// Settlements is the parameter of MethodSettle.
type SettleRequest struct {
	Settlements []Settlement `json:"settlements"`
}

// An Apply asks to put a configuration in force.
type ApplyRequest struct {
	Config   json.RawMessage `json:"config"`
	Operator string          `json:"operator"`
	Wait     bool            `json:"wait"`
}

// An Applied answers an Apply.
type ApplyResult struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// Conflict says that another configuration has this or a later number;
	// Number then is the one in force.
	Conflict bool `json:"conflict,omitempty"`
	// Replaced is the number in force where that is a later one: the
	// configuration was accepted before, and sending it again changed nothing.
	NewerNumber uint64 `json:"replaced,omitempty"`
	// Routers is how many routers with a lease have it in force.
	Routers int `json:"routers"`
}

// A Show is the result of MethodShow.
type ShowResult struct {
	Config  json.RawMessage `json:"config"`
	History []ConfigChange  `json:"history,omitempty"`
}

// A Change is one accepted configuration in the history.
type ConfigChange struct {
	Number   uint64    `json:"number"`
	Digest   string    `json:"digest"`
	Operator string    `json:"operator"`
	Accepted time.Time `json:"accepted"` // leader's clock
}

// A Status is the result of MethodStatus.
type Status struct {
	Leader      string `json:"leader"`
	Term        uint64 `json:"term"`
	Number      uint64 `json:"number"`
	Digest      string `json:"digest"`
	CommitIndex uint64 `json:"commit"`
	Claims      int    `json:"claims"`
	// Held is how many requests are suspected, or held back, because targets end under them.
	Quarantined int `json:"held,omitempty"`
	// Evacuated are the availability zones whose targets get no new work.
	Evacuated []fleet.Zone `json:"evacuated,omitempty"`
	// Changing says that a change of the keepers is not yet committed.
	Changing   bool           `json:"changing,omitempty"`
	Keepers    []KeeperStatus `json:"keepers"`
	Routers    []RouterStatus `json:"routers"`
	ServiceGap float64        `json:"gap"`
	SlotsBusy  int            `json:"busy"`
	Slots      int            `json:"slots"`
}

// A KeeperStatus is one keeper as its leader sees it.
type KeeperStatus struct {
	Name       string `json:"name"`
	ID         string `json:"id"`
	Address    string `json:"address"`
	Voter      bool   `json:"voter"`
	MatchIndex uint64 `json:"match"`
}

// A RouterStatus is one router as the leader sees it.
type RouterStatus struct {
	Name      string     `json:"name"`
	Zone      fleet.Zone `json:"zone"`
	Number    uint64     `json:"number"`
	ConfigLag uint64     `json:"lag"` // configurations behind
	Waiting   int        `json:"waiting"`
	Running   int        `json:"running"`
	HasLease  bool       `json:"lease"`
}

// A Held is the result of MethodHeld: the requests under which targets have ended.
type QuarantineResult struct {
	Entries []quarantine.Entry `json:"entries"`
	// Now is the leader's time, by which the entries' times count.
	Now time.Time `json:"now"`
}

// A Lift asks to free a request.
type LiftRequest struct {
	Fingerprint quarantine.Fingerprint `json:"print"`
	Operator    string                 `json:"operator"`
}
