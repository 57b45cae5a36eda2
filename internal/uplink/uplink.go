// Package uplink is a router's side of its talk with the keepers: it renews the
// lease on accounts' keys and learns the configuration, the targets and the
// keepers themselves. While no keeper leads it goes on with what it has.
package uplink

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/link"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/quota"
	"laburnumfall/internal/roster"
	"laburnumfall/internal/warmup"
)

const (
	// callTimeout is how long a keeper may take to answer before another one is asked
	// too. It may still answer until the round ends after longestCall: a large
	// configuration takes longer, or this router may be behind.
	callTimeout = 400 * time.Millisecond
	longestCall = 2 * time.Second
	// mostAsked bounds the questions of a round.
	mostAsked = 12
	// searchPause is kept between two rounds, and between the questions of a round,
	// while no leader is known. searchCall ends such a round: a keeper that left a
	// question may be back.
	searchPause = 100 * time.Millisecond
	searchCall  = 2 * callTimeout
	// askPause is kept at least between two rounds.
	askPause = 30 * time.Millisecond
	// listPatience is how old the list of targets may grow before a router reads
	// the platform's list itself. The leader reads it every 600 ms.
	listPatience = 1800 * time.Millisecond
	// ownReads is the part of the platform's reads that routers without a
	// leader may use together; the leader, and other users, have the rest.
	ownReads = 0.5
	// leastOwnPeriod bounds how often one router reads the list itself.
	leastOwnPeriod = 800 * time.Millisecond
	listTimeout    = time.Second
)

// A State is what a router knows from the keepers. It is never changed.
type State struct {
	Table *fleet.Table
	// KeysUntil is when accounts' keys stop counting, unless renewed.
	KeysUntil time.Time
	Routers   int
	// Evacuated are the availability zones whose targets get no new work.
	Evacuated fleet.Evacuations
}

// A TargetList is the platform's list of targets.
type TargetList interface {
	Read(ctx context.Context) (fleet.Listing, error)
	// Address is where it is read, for those who look for the cause of damage.
	Address() string
}

// An Uplink asks the keepers. Set the exported fields, then call Run.
type Uplink struct {
	Name  string
	Zone  fleet.Zone
	Inc   uint64
	Clock clock.Clock
	Log   hclog.Logger
	// Secret proves to the keepers that this router belongs to the fleet.
	Secret link.Secret
	// Lease is how long after a question, answered by a leader, keys count.
	Lease time.Duration
	// Decode reads a configuration.
	Decode func(text []byte) (*fleet.Table, error)
	// List is the platform's list, read while no keeper leads; Reads is how
	// many reads a second it takes from all nodes.
	List  TargetList
	Reads float64
	// Changed is told of each change of the configuration and of the targets.
	Changed func(s State, targets []fleet.Instance)
	// Load returns what this router reports to the leader, and Heard is told
	// what the leader answers of all others.
	Load  func(now time.Time) ([]message.Demand, []message.Backlog)
	Heard func(now time.Time, demand []message.Demand, others []message.Backlog)
	// Warming is told until when targets are cold, before Changed is told of them, and
	// Seat of the part of what cold targets get that is leased to this router from a moment.
	// Held returns that lease while it holds.
	Warming func(until map[fleet.Incarnation]time.Time)
	Seat    func(asked time.Time, s warmup.Seat)
	Held    func(now time.Time) warmup.Seat
	// Found returns the targets that this router has found to be gone, and Absent is told of
	// all that routers have.
	Found  func(now time.Time) []fleet.Incarnation
	Absent func(targets []fleet.Incarnation)
	// Quarantine returns which requests targets have ended under, and Ruled is told which are
	// held back, by the leader of a term in answer to a question of a time. Wake asks for a
	// question at once.
	Quarantine func(now time.Time) quarantine.Report
	Ruled      func(now, asked time.Time, term uint64, r quarantine.Rulings)
	Wake       <-chan struct{}

	count   link.Counter
	seeds   atomic.Pointer[[]string]
	state   atomic.Pointer[State]
	damaged atomic.Uint64
	roster  roster.Roster
	links   map[string]*link.Conn
	turn    int // counts the keepers asked beside the leader
	keepers []string
	// accounts are those of the loads, as a leader named them last.
	accounts []string
	members  uint32     // digest of keepers as a leader sent them; 0 if others were added
	names    uint32     // digest of accounts; 0 is none
	packs    *link.Conn // over which questions may be packed
	leader   string     // "" while none is known
	last     string     // the keeper that is thought to lead, "" if none
	renewed  time.Time
	term     uint64
	list     uint64
	absences uint64 // revision of the targets that are gone
	sent     sentList
	notes    roster.DamageNotes
	readOwn  time.Time // when this router last read the list itself
	pulse    pulse
}

// State returns what is known now.
func (u *Uplink) State() State {
	if s := u.state.Load(); s != nil {
		return *s
	}
	return State{}
}

// routed reports whether the configuration in force has a pool.
func (u *Uplink) routed(pool string) bool {
	t := u.State().Table
	if t == nil {
		return true
	}
	_, ok := t.Pools[pool]
	return ok
}

// Damaged returns how many damaged entries this router's own readings of the list have
// held.
func (u *Uplink) Damaged() uint64 {
	return u.damaged.Load()
}

// SetSeeds names the keepers that the settings tell of. It may be called at any
// time; keepers learned from others stay known.
func (u *Uplink) SetSeeds(addresses []string) {
	u.seeds.Store(&addresses)
}

func (u *Uplink) seedList() []string {
	if s := u.seeds.Load(); s != nil {
		return *s
	}
	return nil
}

// Run asks until ctx ends.
func (u *Uplink) Run(ctx context.Context) error {
	u.links = make(map[string]*link.Conn)
	if u.List != nil {
		u.notes.List = u.List.Address()
	}
	u.notes.Log, u.notes.Count = u.Log, &u.damaged
	u.roster.Routed = u.routed
	defer func() {
		for _, c := range u.links {
			c.Close()
		}
	}()
	for ctx.Err() == nil {
		started := u.Clock.Now()
		u.ask(ctx)
		u.readList(ctx)
		pause := quota.Period(u.State().Routers)
		if u.leader == "" {
			pause = searchPause
		}
		if !u.Informed(u.Clock.Now()) {
			pause = 0
		}
		u.rest(ctx, started, pause)
	}
	return nil
}

// rest waits until a pause after a moment, or until something is to be told at once, but
// for askPause at least.
func (u *Uplink) rest(ctx context.Context, started time.Time, pause time.Duration) {
	end := started.Add(pause)
	u.beat(max(pause, askPause))
	sleep(ctx, askPause)
	timer := time.NewTimer(max(end.Sub(u.Clock.Now()), 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-u.Wake:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
