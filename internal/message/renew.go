package message

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/warmup"
)

// A Renew is what a router that serves routes asks the keepers, a few times a
// second: what it holds, so that the answer need only bring what is newer.
type Renew struct {
	Router string     `json:"router"`
	Zone   fleet.Zone `json:"zone"`
	Inc    uint64     `json:"inc"`
	// Number is the configuration that the router has in force.
	Number uint64 `json:"number"`
	// Term and List name the list of targets that the router holds.
	Term uint64 `json:"term,omitempty"`
	List uint64 `json:"list,omitempty"`
	// Columns says that the router takes columns and a packed list of targets.
	// Routers and keepers of two versions run together while either are replaced.
	Columns bool `json:"columns,omitempty"`
	// Names names the accounts of Loads that the router holds, by Digest; 0 is none.
	Names uint32 `json:"names,omitempty"`
	// Members names the list of keepers that the router holds, by Digest; 0 is none.
	Members uint32 `json:"members,omitempty"`
	// Evacuations is the revision of the evacuated zones that the router holds.
	Evacuations uint64 `json:"evacuations,omitempty"`
	// Seat is the router's lease on a part of what cold targets may get, if it has not lapsed.
	Seat warmup.Seat `json:"seat,omitzero"`
	// Demand is what the accounts ask for through this router.
	Demand []Demand `json:"demand,omitempty"`
	// Backlog is what this router has sent to targets.
	Backlog []Backlog `json:"backlog,omitempty"`
	// Quarantine is which requests targets have ended under; nil from a router of the
	// version before.
	Quarantine *quarantine.Report `json:"quarantine,omitempty"`
	// Absent are targets that this router has found to be gone, and Absences is the revision
	// of those that it holds.
	Absent   []fleet.Incarnation `json:"absent,omitempty"`
	Absences uint64              `json:"absences,omitempty"`
}

// A Demand is the tokens a second that an account asks for, and what of these is
// sent to targets.
type Demand struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Served  float64 `json:"served,omitempty"`
}

// A Backlog is what a target has been sent: the prompt tokens that it has not
// read, and the requests whose answers are not whole.
type Backlog struct {
	Target string `json:"target"`
	// Born is the start of the target; 0 if the writer knows none, as one of the
	// version before.
	Born    int64 `json:"born,omitempty"`
	Tokens  int   `json:"tokens,omitempty"`
	Running int   `json:"running,omitempty"`
}

// BacklogOf returns the backlog of a target.
func BacklogOf(target fleet.Incarnation, tokens, running int) Backlog {
	return Backlog{Target: target.ID, Born: target.Born, Tokens: tokens, Running: running}
}

// Of returns whose backlog it is.
func (b Backlog) Of() fleet.Incarnation {
	return fleet.Incarnation{ID: b.Target, Born: b.Born}
}

// Plus returns the sum of two backlogs of one target.
func (b Backlog) Plus(other Backlog) Backlog {
	b.Tokens += other.Tokens
	b.Running += other.Running
	return b
}

// A Renewal answers a Renew. Only that of a keeper that leads renews anything.
type Renewal struct {
	// Leads says that the answering keeper leads and that a quorum's promises
	// to it held when it answered.
	Leads bool `json:"leads,omitempty"`
	// Leader is the address of the leader, if another keeper leads.
	Leader string `json:"leader,omitempty"`
	Term   uint64 `json:"term"`
	Number uint64 `json:"number"`
	// Text is the configuration, packed, if the router does not hold it yet.
	Text []byte `json:"text,omitempty"`
	// List counts the changes of the list of targets within the term. Targets
	// holds the list if the router does not hold it yet.
	List    uint64           `json:"list,omitempty"`
	Targets []fleet.Instance `json:"targets,omitempty"`
	// Roll is the same, packed, for routers that take columns.
	Roll []byte `json:"roll,omitempty"`
	// Damaged are the IDs that damaged entries of the list name. They come with Targets
	// or Roll.
	Damaged []string `json:"damaged,omitempty"`
	// Warming are the targets that the list shows as cold. They come with Targets or Roll.
	Warming []Warming `json:"warming,omitempty"`
	// Evacuations are the evacuated zones, if the router does not hold them yet.
	Evacuations *fleet.Evacuations `json:"evacuations,omitempty"`
	// Seat is leased to the router from when it asked.
	Seat warmup.Seat `json:"seat,omitzero"`
	// Age is how long before this answer the list was read.
	Age time.Duration `json:"age,omitempty"`
	// Routers is how many routers have renewed lately.
	Routers int `json:"routers"`
	// Loads is what all routers report, packed Loads; Demand and Backlog are the
	// same for routers that do not take columns.
	Loads   []byte    `json:"loads,omitempty"`
	Demand  []Demand  `json:"demand,omitempty"`
	Backlog []Backlog `json:"backlog,omitempty"`
	// Keepers are the addresses of all members, if the router does not hold them yet.
	Keepers []string `json:"keepers,omitempty"`
	// Packs says that the next question over this link may be packed.
	Packs bool `json:"packs,omitempty"`
	// Absences are the listed targets that routers have found to be gone, if the router does
	// not hold them yet.
	Absences *Absences `json:"absences,omitempty"`
	// Rulings are which requests are held back; nil from a keeper of the version before.
	Rulings *quarantine.Rulings `json:"rulings,omitempty"`
}

// Absences are listed targets that are gone.
type Absences struct {
	Revision uint64              `json:"revision"`
	Targets  []fleet.Incarnation `json:"targets,omitempty"`
}

// A Warming is a target that is cold for a time after its answer.
type Warming struct {
	Target string        `json:"target"`
	Born   int64         `json:"born,omitempty"`
	Left   time.Duration `json:"left"`
}

// Of returns which target it is.
func (w Warming) Of() fleet.Incarnation {
	return fleet.Incarnation{ID: w.Target, Born: w.Born}
}

// Loads are the sums of what all routers report, by column: every router gets them
// a few times a second.
type Loads struct {
	// Accounts have the demands of the same places. They are left out where the router holds
	// them. Names is their Digest, 0 from a keeper of the version before.
	Accounts []string `json:"accounts,omitempty"`
	Names    uint32   `json:"names,omitempty"`
	Rates    []int    `json:"rates"`
	Served   []int    `json:"served"`
	// Tokens and Running are the backlogs of the targets, in the order of the list
	// that the answer names.
	Tokens  []int `json:"tokens"`
	Running []int `json:"running"`
}

// A Put asks to put a configuration of routes in force. Text is packed.
type Put struct {
	Number uint64 `json:"number"`
	Text   []byte `json:"text"`
}

// A Document is the result of MethodRead: the newest configuration of routes,
// packed.
type Document struct {
	Number uint64 `json:"number"`
	Text   []byte `json:"text"`
}

// A Known is the result of MethodKnown: the members' addresses as a keeper
// knows them, and the leader's if it has one.
type Known struct {
	Keepers []string `json:"keepers"`
	Leader  string   `json:"leader,omitempty"`
}
