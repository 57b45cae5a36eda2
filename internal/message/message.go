// Package message defines the messages between the fleet's processes.
//
// A message that may be lost, duplicated or delayed has a field that makes this harmless: an
// incarnation, a term, a sequence number or a cumulative value. Times are by the clock of the
// process that the field names. A reader ignores unknown fields, so that processes of different
// versions can run together.
package message

import (
	"encoding/json"
	"strconv"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

// Version is the version of the protocol. It is part of the first message on a connection.
const Version = 1

// The methods of the calls and one-way notices between processes.
const (
	MethodHello      = "hello"  // opens a connection
	MethodProve      = "prove"  // proves knowledge of the fleet's secret
	MethodReport     = "report" // Report, from a router to the leader
	MethodGrant      = "grant"  // Grant, from the leader to a router
	MethodClaim      = "claim"  // ClaimRequest
	MethodSettle     = "settle" // SettleRequest
	MethodQuorum     = "quorum" // message of the consensus protocol between keepers
	MethodFoundGroup = "found"  // exchanges identities before a group of keepers is founded
	MethodJoinGroup  = "join"   // joins a keeper to an existing group
	MethodFormGroup  = "formed" // proposes a group without the peers that are missing
	MethodApply      = "apply"  // ApplyRequest
	MethodShow       = "show"   // returns a ShowResult
	MethodStatus     = "status" // returns a Status
	MethodRenew      = "renew"  // RenewRequest
	// MethodRenewPacked is MethodRenew with a PackedRenewRequest.
	MethodRenewPacked = "renewpacked"

	MethodPutRoutes      = "put"   // PutRequest
	MethodReadRoutes     = "read"  // returns a RoutesDocument
	MethodMembers        = "known" // returns a MembersResult
	MethodListQuarantine = "held"  // returns a QuarantineResult
	MethodLiftQuarantine = "lift"  // LiftRequest
	// MethodEvacuate starts or ends the evacuation of an availability zone.
	MethodEvacuate = "evacuate"
)

// A Report is the state that a router sends to the leader in each report period, and at once
// when it lacks slots or returns some.
type Report struct {
	Router string     `json:"router"`
	Zone   fleet.Zone `json:"zone"`
	// Incarnation identifies one run of the router, from its start to its end. Cumulative values
	// start at 0 with each incarnation.
	Incarnation uint64    `json:"inc"`
	Seq         uint64    `json:"seq"`
	SentAt      time.Time `json:"sent"` // router's clock
	// Term and AckSeq identify the newest grant that the router has applied.
	Term   uint64 `json:"term"`
	AckSeq uint64 `json:"ack"`
	// Number is the number of the configuration that the router uses.
	Number uint64        `json:"number"`
	Queues []QueueLength `json:"queues,omitempty"`
	// Full says that Usage has all accounts. Otherwise an omitted account has not changed since
	// the report that the newest grant acknowledges. A leader that has no state of the router
	// waits for a full report.
	Full  bool        `json:"full,omitempty"`
	Usage []Usage     `json:"usage,omitempty"`
	Slots []SlotUsage `json:"slots,omitempty"`
	// VirtualTimes are the accounts' virtual times that the router last received. A new leader
	// takes the highest value of each account.
	VirtualTimes     []VirtualTime `json:"levels,omitempty"`
	VirtualTimeFloor float64       `json:"floor,omitempty"`
	// Leaving says that the router is shutting down and needs no slots.
	Leaving bool `json:"leaving,omitempty"`
	// Quarantine reports the requests during which targets terminated.
	Quarantine *quarantine.Report `json:"quarantine,omitempty"`
}

// A QueueLength is the number of requests of one account for one event that wait in one router.
type QueueLength struct {
	Account string `json:"account"`
	Event   string `json:"event"`
	Waiting int    `json:"waiting"`
}

// A Usage is the service that one account received through one router.
type Usage struct {
	Account string `json:"account"`
	// Served is the cost of settled requests since the router's start. It never decreases.
	Served float64 `json:"served"`
	// ServedInVirtualTime is the part of Served that the last received virtual times include.
	ServedInVirtualTime float64 `json:"counted,omitempty"`
	// Settled is the number of requests settled since the router's start.
	Settled uint64 `json:"ended"`
	// EstimatedCost is the estimated cost of the Running requests.
	EstimatedCost float64 `json:"charged,omitempty"`
	Running       int     `json:"running,omitempty"`
}

// A SlotUsage is a router's use of the slots of one target: it may run up to Limit requests at
// a time, and runs InUse. InUse exceeds Limit while the router drains after a reduced grant.
type SlotUsage struct {
	Target string `json:"target"`
	Limit  int    `json:"cap"`
	InUse  int    `json:"use"`
}

// A VirtualTime is the virtual time of an account in weighted fair queueing: settled cost
// divided by share, raised to the floor when the account becomes active after being idle.
type VirtualTime struct {
	Account string  `json:"account"`
	Value   float64 `json:"value"`
	// RemoteCharge is the estimated cost of requests that run through other routers, divided by
	// the share.
	RemoteCharge float64 `json:"others,omitempty"`
	// FleetRatio is the account's work in the whole fleet divided by its work in this router.
	// While this router serves the account, the others probably serve it as well.
	FleetRatio float64 `json:"spread,omitempty"`
}

// A Grant renews a router's lease and has the state that the router uses under it.
type Grant struct {
	Term        uint64 `json:"term"`
	Seq         uint64 `json:"seq"`
	Incarnation uint64 `json:"inc"`
	// EchoSeq is the Seq of the newest report that the virtual times include.
	EchoSeq   uint64    `json:"echo"`
	ExpiresAt time.Time `json:"until"` // router's clock
	// Number is the number of the configuration in force. Config is that configuration, if the
	// router reported another number.
	Number uint64          `json:"number"`
	Config json.RawMessage `json:"config,omitempty"`
	// Slots are all slots of the router. An omitted target has none.
	Slots            []SlotGrant   `json:"slots,omitempty"`
	VirtualTimes     []VirtualTime `json:"levels,omitempty"`
	VirtualTimeFloor float64       `json:"floor"`
	// SlotsShort says that some router lacks slots. A slot that becomes free and is not needed
	// here should be reported at once.
	SlotsShort bool `json:"short,omitempty"`
	// LeavingTargets are targets on VMs that the platform's list shows as leaving.
	LeavingTargets []string `json:"gone,omitempty"`
	// Restrictions are the changes to the set of requests that are suspected or quarantined.
	Restrictions *quarantine.RestrictionUpdate `json:"rulings,omitempty"`
}

// A SlotGrant lets a router run up to Count requests at a time on Target.
type SlotGrant struct {
	Target string `json:"target"`
	Count  int    `json:"count"`
}

// A RunState says whether a claimed, at-most-once request has run.
type RunState string

// The run states. RunStateRunning is reported as RunStateUnknown once the lease of the claiming
// router has expired.
const (
	RunStateRunning RunState = "running"
	RunStateRan     RunState = "ran"
	RunStateNotRun  RunState = "unrun"
	RunStateUnknown RunState = "unknown"
)

// A Claim asks for the exclusive right to run, once, the request with the idempotency key Key.
// It is idempotent: the same Owner and Attempt get the same result again.
type Claim struct {
	Key     string `json:"key"`
	Owner   string `json:"owner"` // see ClaimOwner
	Attempt uint64 `json:"attempt"`
}

// ClaimOwner returns the owner of the claims of one incarnation of a router.
func ClaimOwner(router string, incarnation uint64) string {
	return router + "/" + strconv.FormatUint(incarnation, 36)
}

// A ClaimResult is the result of one Claim.
type ClaimResult struct {
	Granted bool     `json:"granted"`
	State   RunState `json:"fate,omitempty"`
	// Owner is the hash of the claim's owner. It is not sent.
	Owner uint64 `json:"-"`
	// ClaimsFull says that the table of claims is full, so that the claim was not recorded.
	ClaimsFull bool `json:"full,omitempty"`
}

// A Settlement records whether a claimed request ran.
type Settlement struct {
	Key     string   `json:"key"`
	Owner   string   `json:"owner"`
	Attempt uint64   `json:"attempt"`
	State   RunState `json:"fate"`
}

// A ClaimRequest is the parameter of MethodClaim.
type ClaimRequest struct {
	Claims []Claim `json:"claims"`
}

// A ClaimResponse is the result of MethodClaim, in the order of the claims.
type ClaimResponse struct {
	Results []ClaimResult `json:"verdicts"`
}

// A SettleRequest is the parameter of MethodSettle.
type SettleRequest struct {
	Settlements []Settlement `json:"settlements"`
}

// An ApplyRequest is the parameter of MethodApply: it puts a configuration in force. With Wait,
// the call returns when the routers use the configuration.
type ApplyRequest struct {
	Config   json.RawMessage `json:"config"`
	Operator string          `json:"operator"`
	Wait     bool            `json:"wait"`
}

// An ApplyResult is the result of MethodApply.
type ApplyResult struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// Conflict says that another configuration has the same or a higher number. Number is then
	// the one in force.
	Conflict bool `json:"conflict,omitempty"`
	// NewerNumber is the number in force if it is higher: the configuration was accepted before,
	// and sending it again changed nothing.
	NewerNumber uint64 `json:"replaced,omitempty"`
	// Routers is how many routers with a lease use the configuration.
	Routers int `json:"routers"`
}

// A ShowResult is the result of MethodShow: the configuration in force and earlier ones.
type ShowResult struct {
	Config  json.RawMessage `json:"config"`
	History []ConfigChange  `json:"history,omitempty"`
}

// A ConfigChange is one accepted configuration in the history.
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
	// Quarantined is how many requests are suspected or quarantined because targets terminated
	// while they ran.
	Quarantined int `json:"held,omitempty"`
	// Evacuated are the availability zones whose targets get no new work.
	Evacuated []fleet.Zone `json:"evacuated,omitempty"`
	// Unconfirmed are the evacuated zones that are not known to exist.
	Unconfirmed []fleet.Zone `json:"unconfirmed,omitempty"`
	// Changing says that a membership change of the keepers is not yet committed.
	Changing bool           `json:"changing,omitempty"`
	Keepers  []KeeperStatus `json:"keepers"`
	Routers  []RouterStatus `json:"routers"`
	// ServiceGap is the largest difference of virtual time between accounts with waiting
	// requests.
	ServiceGap float64 `json:"gap"`
	SlotsBusy  int     `json:"busy"`
	Slots      int     `json:"slots"`
}

// A KeeperStatus is the state of one keeper in a Status.
type KeeperStatus struct {
	Name       string `json:"name"`
	ID         string `json:"id"`
	Address    string `json:"address"`
	Voter      bool   `json:"voter"`
	MatchIndex uint64 `json:"match"`
}

// A RouterStatus is the state of one router in a Status.
type RouterStatus struct {
	Name      string     `json:"name"`
	Zone      fleet.Zone `json:"zone"`
	Number    uint64     `json:"number"`
	ConfigLag uint64     `json:"lag"` // number in force minus Number
	Waiting   int        `json:"waiting"`
	Running   int        `json:"running"`
	HasLease  bool       `json:"lease"`
}

// A QuarantineResult is the result of MethodListQuarantine: the requests during which targets
// terminated.
type QuarantineResult struct {
	Entries []quarantine.Entry `json:"entries"`
	// Now is the time of the leader's clock, to which the times of the entries refer.
	Now time.Time `json:"now"`
}

// A LiftRequest is the parameter of MethodLiftQuarantine: it ends the quarantine of one request.
type LiftRequest struct {
	Fingerprint quarantine.Fingerprint `json:"print"`
	Operator    string                 `json:"operator"`
}
