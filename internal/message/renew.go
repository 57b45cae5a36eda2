package message

import (
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/warmup"
)

// A RenewRequest renews a router's lease. A router that serves routes sends it to the keepers a
// few times per second. It says which state the router has, so that the response needs to have
// only newer state.
type RenewRequest struct {
	Router      string     `json:"router"`
	Zone        fleet.Zone `json:"zone"`
	Incarnation uint64     `json:"inc"`
	// Number is the number of the configuration that the router uses.
	Number uint64 `json:"number"`
	// Term and ListRevision identify the list of targets that the router has.
	Term         uint64 `json:"term,omitempty"`
	ListRevision uint64 `json:"list,omitempty"`
	// AcceptsColumns says that the router accepts columnar loads and a packed list of targets.
	// Routers and keepers of two versions run together during a rollout.
	AcceptsColumns bool `json:"columns,omitempty"`
	// AccountsDigest is the Digest of the account list of Loads that the router has; 0 if it has
	// none.
	AccountsDigest uint32 `json:"names,omitempty"`
	// KeepersDigest is the Digest of the list of keepers that the router has; 0 if it has none.
	KeepersDigest uint32 `json:"members,omitempty"`
	// PeerAddress is where the router listens for other routers, or "" if it does not. PeersDigest is
	// the digest of the list of routers that it has; 0 if it has none.
	PeerAddress string `json:"peer,omitempty"`
	PeersDigest uint32 `json:"peers,omitempty"`
	// EvacuationRevision is the revision of the evacuated zones that the router has.
	EvacuationRevision uint64 `json:"evacuations,omitempty"`
	// WarmupLease is the router's lease on a part of the load that cold targets may get, if it
	// has not expired.
	WarmupLease warmup.Lease `json:"seat,omitzero"`
	// Demand is the load that accounts offer through this router.
	Demand []Demand `json:"demand,omitempty"`
	// Backlog is the unfinished work that this router has sent to targets.
	Backlog []Backlog `json:"backlog,omitempty"`
	// Paces are what targets have stated to this router since its last request, as far as other
	// routers do not know it.
	Paces []TargetPace `json:"paces,omitempty"`
	// Quarantine reports the requests during which targets terminated. It is nil from a router
	// of the previous version.
	Quarantine *quarantine.Report `json:"quarantine,omitempty"`
	// Kept are the changes of what targets keep of prompts, from routers that track it.
	Kept *KeptReport `json:"kept,omitempty"`
}

// A Demand is the load of one account in tokens per second. Rate is the load that it offers and
// Served is the part that is sent to targets.
type Demand struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Served  float64 `json:"served,omitempty"`
}

// A Backlog is the unfinished work of a target: Tokens is the number of prompt tokens whose
// prefill is not done, and Running is the number of requests without a complete response.
type Backlog struct {
	Target string `json:"target"`
	// StartMillis is the start time of the target, see [fleet.Incarnation]; 0 if it is unknown,
	// as it is to a sender of the previous version.
	StartMillis int64 `json:"born,omitempty"`
	Tokens      int   `json:"tokens,omitempty"`
	Running     int   `json:"running,omitempty"`
	// Held is the number of tokens of the running requests' own prompt parts and allowed outputs, and
	// Parts are their shared parts, each once. In a sum over routers, Held includes the shared parts,
	// and Parts is empty. Both are left out unless the target's memory is scarce.
	Held  int          `json:"held,omitempty"`
	Parts []SharedPart `json:"parts,omitempty"`
}

// NewBacklog returns the backlog of a target.
func NewBacklog(target fleet.Incarnation, tokens, running int) Backlog {
	return Backlog{Target: target.ID, StartMillis: target.StartMillis, Tokens: tokens, Running: running}
}

// Incarnation returns the target of the backlog.
func (b Backlog) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: b.Target, StartMillis: b.StartMillis}
}

// Add returns the sum of two backlogs of the same target, without shared parts.
func (b Backlog) Add(other Backlog) Backlog {
	b.Tokens += other.Tokens
	b.Running += other.Running
	b.Held += other.Held
	b.Parts = nil
	return b
}

// A SharedPart is a part of prompts that several requests may share: 20 bits of its ID, which differ
// among the parts at one target, and its size in units of partUnit tokens, 12 bits.
type SharedPart uint32

const (
	partUnit     = 16
	partSizeBits = 12
)

// NewSharedPart returns a part with an ID. Sizes of more than 65,520 tokens count as that many.
func NewSharedPart(id uint64, tokens int) SharedPart {
	const maxSize = 1<<partSizeBits - 1
	hash := id * 0x9e3779b97f4a7c15 >> (32 + partSizeBits) // the upper bits depend on all bits of the ID
	return SharedPart(hash<<partSizeBits) | SharedPart(min((max(tokens, 0)+partUnit-1)/partUnit, maxSize))
}

// Tokens returns the size of the part, rounded up to its unit.
func (s SharedPart) Tokens() int {
	return int(s&(1<<partSizeBits-1)) * partUnit
}

// WithPartsHeld returns the backlog with its shared parts added to Held, each once. It reorders the list
// of parts.
func (b Backlog) WithPartsHeld() Backlog {
	if len(b.Parts) == 0 {
		return b
	}
	slices.Sort(b.Parts)
	for _, part := range slices.Compact(b.Parts) {
		b.Held += part.Tokens()
	}
	b.Parts = nil
	return b
}

// A RenewResponse is the response to a RenewRequest. It renews the lease only if it comes from
// the leader.
type RenewResponse struct {
	// Leads says that the responding keeper is the leader and had a valid leader lease from a
	// quorum when it responded.
	Leads bool `json:"leads,omitempty"`
	// Leader is the address of the leader, if another keeper leads.
	Leader string `json:"leader,omitempty"`
	Term   uint64 `json:"term"`
	Number uint64 `json:"number"`
	// PackedConfig is the packed configuration, if the router does not have it yet.
	PackedConfig []byte `json:"text,omitempty"`
	// ListRevision counts the changes of the list of targets within the term. Targets is the
	// list, if the router does not have it yet.
	ListRevision uint64           `json:"list,omitempty"`
	Targets      []fleet.Instance `json:"targets,omitempty"`
	// PackedTargets is the packed form of Targets, for routers that accept columns.
	PackedTargets []byte `json:"roll,omitempty"`
	// HasVersions says that the list has the versions of targets as far as they are stated. A keeper
	// of the previous version leaves them out.
	HasVersions bool `json:"versions,omitempty"`
	// Damaged are the target IDs in damaged entries of the list. They are sent with Targets or
	// PackedTargets.
	Damaged []string `json:"damaged,omitempty"`
	// Warming are the targets that the list shows as cold. They are sent with Targets or
	// PackedTargets.
	Warming []WarmingTarget `json:"warming,omitempty"`
	// EvacuatedZones are the evacuated zones, if the router does not have them yet.
	EvacuatedZones *fleet.EvacuatedZones `json:"evacuations,omitempty"`
	// WarmupLease is leased to the router from the time at which it sent its request.
	WarmupLease warmup.Lease `json:"seat,omitzero"`
	// ListAge is the time between the reading of the list and this response.
	ListAge time.Duration `json:"age,omitempty"`
	// Routers is how many routers have renewed recently.
	Routers int `json:"routers"`
	// PackedLoads are the packed Loads of all routers. Demand and Backlog are the same data for
	// routers that do not accept columns.
	PackedLoads []byte    `json:"loads,omitempty"`
	Demand      []Demand  `json:"demand,omitempty"`
	Backlog     []Backlog `json:"backlog,omitempty"`
	// Keepers are the addresses of all keepers, if the router does not have them yet.
	Keepers []string `json:"keepers,omitempty"`
	// PackedPeers are the packed addresses of the routers by availability zone, if the router does not
	// have them yet. PeersDigest is their digest.
	PackedPeers []byte `json:"roster,omitempty"`
	PeersDigest uint32 `json:"peers,omitempty"`
	// AcceptsPacked says that the next request on this connection may be packed.
	AcceptsPacked bool `json:"packs,omitempty"`
	// Restrictions are the changes to the set of requests that are suspected or quarantined. It
	// is nil from a keeper of the previous version.
	Restrictions *quarantine.RestrictionUpdate `json:"rulings,omitempty"`
	// Kept is the response to the request's Kept. It is nil from a keeper of the previous version.
	Kept *KeptUpdate `json:"kept,omitempty"`
}

// A WarmingTarget is a target that stays cold for the time Left after the response was sent.
type WarmingTarget struct {
	Target      string        `json:"target"`
	StartMillis int64         `json:"born,omitempty"`
	Left        time.Duration `json:"left"`
}

// Incarnation returns the target.
func (w WarmingTarget) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: w.Target, StartMillis: w.StartMillis}
}

// Loads are the sums of the loads that all routers report, in columns to keep them short: every
// router gets them a few times per second.
type Loads struct {
	// Accounts are the accounts to which Rates and Served belong, in the same order. They are
	// omitted if the router has them. AccountsDigest is their Digest; it is 0 from a keeper of
	// the previous version.
	Accounts       []string `json:"accounts,omitempty"`
	AccountsDigest uint32   `json:"names,omitempty"`
	Rates          []int    `json:"rates"`
	Served         []int    `json:"served"`
	// Tokens and Running are the backlogs of the targets, in the order of the list that the
	// response identifies by Term and ListRevision.
	Tokens  []int `json:"tokens"`
	Running []int `json:"running"`
	// Held is the memory that the requests hold, in units of HeldUnit tokens, rounded up. It is left out
	// if all are 0.
	Held []int `json:"held,omitempty"`
	// Paces are the newest statements of the targets on their pace, in the same order, one
	// character each; see [laburnumfall/internal/pace.Statement.Encode]. They are omitted if there are none.
	Paces string `json:"paces,omitempty"`
}

// HeldUnit is the unit of [Loads.Held] in tokens: a few thousandths of an engine's memory.
const HeldUnit = 1024

// A PutRequest is the parameter of MethodPutRoutes: it puts a configuration of routes in force.
type PutRequest struct {
	Number       uint64 `json:"number"`
	PackedConfig []byte `json:"text"`
}

// A RoutesDocument is the result of MethodReadRoutes: the newest configuration of routes.
type RoutesDocument struct {
	Number       uint64 `json:"number"`
	PackedConfig []byte `json:"text"`
}

// A MembersResult is the result of MethodMembers: the addresses of all keepers that the
// responding keeper has, and that of the leader if there is one.
type MembersResult struct {
	Keepers []string `json:"keepers"`
	Leader  string   `json:"leader,omitempty"`
}
