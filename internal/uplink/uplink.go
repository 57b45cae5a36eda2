// Package uplink is a router's side of its talk with the keepers: it renews the
// lease on accounts' keys and learns the configuration, the targets and the
// keepers themselves. While no keeper leads it goes on with what it has.
package uplink

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/link"
	"laburnumfall/internal/message"
	"laburnumfall/internal/packed"
	"laburnumfall/internal/roster"
)

const (
	// period is how often a router renews. A configuration is in force within a
	// period and a call, several times within the two seconds that it has.
	period = 250 * time.Millisecond
	// callTimeout bounds one question to one keeper; a link that went silent
	// shows by nothing else. It doubles up to longestCall while no keeper
	// answers as leader in time, and falls back slowly: a large configuration may
	// take longer, or this router be behind, and a question that is given up each
	// time would never be answered.
	callTimeout = 400 * time.Millisecond
	longestCall = 2 * time.Second
	// othersAsked is how many keepers a round asks beside the one thought to lead,
	// before that one is asked again.
	othersAsked = 1
	// silentMisses is how many questions a link leaves without an answer before
	// it is closed.
	silentMisses = 2
	// searchPause is kept between two rounds while no leader is known.
	searchPause = 100 * time.Millisecond
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
}

// A TargetList is the platform's list of targets.
type TargetList interface {
	Instances(ctx context.Context) ([]fleet.Instance, error)
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

	count   link.Counter
	seeds   atomic.Pointer[[]string]
	state   atomic.Pointer[State]
	roster  roster.Roster
	links   map[string]*link.Conn
	misses  map[string]int // questions in a row without an answer, by address
	turn    int            // counts the keepers asked beside the leader
	keepers []string
	leader  string // "" while none is known
	last    string // the keeper that is thought to lead, "" if none
	renewed time.Time
	// patience is how long the next question may take.
	patience time.Duration
	term     uint64
	list     uint64
	readOwn  time.Time // when this router last read the list itself
}

// State returns what is known now.
func (u *Uplink) State() State {
	if s := u.state.Load(); s != nil {
		return *s
	}
	return State{}
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
	u.misses = make(map[string]int)
	defer func() {
		for _, c := range u.links {
			c.Close()
		}
	}()
	for ctx.Err() == nil {
		started := u.Clock.Now()
		u.ask(ctx)
		u.readList(ctx)
		pause := period
		if u.leader == "" {
			pause = searchPause
		}
		rest := pause - u.Clock.Now().Sub(started)
		sleep(ctx, max(rest, askPause))
	}
	return nil
}

// ask puts the question to the leader last heard of, and to some others if that
// does not answer as leader. It does not walk through all of them: a router that
// is behind gets no answer from anybody in time, and must come back to the leader
// soon.
func (u *Uplink) ask(ctx context.Context) {
	if u.last != "" && u.askLeader(ctx, u.last) {
		return
	}
	for range othersAsked {
		address := u.nextOther()
		if address == "" || ctx.Err() != nil {
			break
		}
		r, ok := u.askOne(ctx, address, callTimeout)
		switch {
		case ok && r.Leads:
			return
		case ok && r.Leader == "":
			u.last = "" // the one before no longer leads
		case ok && r.Leader != u.last:
			u.last = r.Leader
			if u.askLeader(ctx, r.Leader) {
				return
			}
		}
	}
	u.lost()
}

// askLeader asks the keeper that is thought to lead, with patience: its answer
// may be long, or this router behind.
func (u *Uplink) askLeader(ctx context.Context, address string) bool {
	patience := max(u.patience, callTimeout)
	r, ok := u.askOne(ctx, address, patience)
	switch {
	case ok && r.Leads:
		u.patience = max(patience*9/10, callTimeout)
		return true
	case ok:
		u.last = r.Leader
	default:
		u.patience = min(2*patience, longestCall)
	}
	return false
}

// nextOther returns the keepers beside the one thought to lead, in turn.
func (u *Uplink) nextOther() string {
	list := u.others()
	for range list {
		u.turn++
		if address := list[u.turn%len(list)]; address != u.last {
			return address
		}
	}
	return ""
}

// others returns every keeper that was ever heard of.
func (u *Uplink) others() []string {
	seen := make(map[string]bool)
	var list []string
	for _, a := range append(append([]string(nil), u.keepers...), u.seedList()...) {
		if !seen[a] {
			seen[a] = true
			list = append(list, a)
		}
	}
	return list
}

func (u *Uplink) lost() {
	if u.leader == "" {
		return
	}
	u.Log.Warn("keepers: no leader found; going on with what is known", "last", u.leader,
		"silent", u.Clock.Now().Sub(u.renewed).Round(time.Millisecond), "number", u.number())
	u.leader = ""
}

// askOne asks one keeper.
func (u *Uplink) askOne(ctx context.Context, address string, patience time.Duration) (message.Renewal, bool) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	conn, err := u.link(ctx, address)
	if err != nil {
		return message.Renewal{}, false
	}
	ask := message.Renew{Router: u.Name, Zone: u.Zone, Inc: u.Inc, Number: u.number(), Term: u.term, List: u.list}
	asked := u.Clock.Now()
	ask.Demand, ask.Backlog = u.Load(asked)
	var r message.Renewal
	if err := conn.Call(ctx, message.MethodRenew, ask, &r); err != nil {
		u.missed(address, conn, ctx.Err() != nil)
		return message.Renewal{}, false
	}
	u.misses[address] = 0
	if r.Leads {
		u.take(asked, address, r)
	}
	return r, true
}

// missed notes a question without an answer. A link that answers nothing twice
// has gone silent, or its keeper has; to open one anew each time would cost a
// router that is behind more than it has.
func (u *Uplink) missed(address string, conn *link.Conn, late bool) {
	u.misses[address]++
	if late && u.misses[address] < silentMisses {
		return
	}
	u.misses[address] = 0
	conn.Close()
	delete(u.links, address)
}

func (u *Uplink) link(ctx context.Context, address string) (*link.Conn, error) {
	if conn := u.links[address]; conn != nil {
		return conn, nil
	}
	conn, err := link.Dial(ctx, address, u.Name, u.Secret, deaf{}, &u.count)
	if err != nil {
		return nil, err
	}
	u.links[address] = conn
	return conn, nil
}

func (u *Uplink) number() uint64 {
	if s := u.state.Load(); s != nil && s.Table != nil {
		return s.Table.Number
	}
	return 0
}

// take puts a leader's answer in force. The lease counts from when the question
// was sent: the leader led after that moment, so a key that it still counted
// was not yet withdrawn then, however late the answer is read.
func (u *Uplink) take(asked time.Time, address string, r message.Renewal) {
	if u.leader != address {
		u.Log.Info("keepers: leader found", "leader", address, "term", r.Term, "number", r.Number)
		u.leader, u.last = address, address
	}
	u.renewed = asked
	u.keepers = r.Keepers
	s := u.State()
	s.Routers = r.Routers
	changed := u.takeTable(&s, r)
	if s.Table != nil && s.Table.Number == r.Number {
		s.KeysUntil = asked.Add(u.Lease)
	}
	u.state.Store(&s)
	u.Heard(u.Clock.Now(), r.Demand, r.Backlog)
	if u.takeList(asked, r) || changed {
		u.Changed(s, u.roster.Targets())
	}
}

// takeTable never goes back to a lower number: a leader always has the highest,
// so a lower one comes from an answer that was overtaken.
func (u *Uplink) takeTable(s *State, r message.Renewal) bool {
	if len(r.Text) == 0 || r.Number <= u.number() {
		return false
	}
	text, err := packed.Unpack(r.Text)
	if err != nil {
		u.Log.Error("configuration cannot be unpacked: going on with the one before", "number", r.Number, "error", err)
		return false
	}
	table, err := u.Decode(text)
	if err != nil {
		u.Log.Error("configuration cannot be read: going on with the one before", "number", r.Number, "error", err)
		return false
	}
	u.Log.Info("configuration in force", "number", table.Number, "before", u.number(), "bytes", len(r.Text))
	s.Table = table
	return true
}

func (u *Uplink) takeList(asked time.Time, r message.Renewal) bool {
	if r.List == 0 {
		return false
	}
	readAt := asked.Add(-r.Age)
	if readAt.Before(u.roster.ReadAt()) {
		return false // this router has read the list since
	}
	targets := r.Targets
	if r.Term == u.term && r.List == u.list {
		targets = u.roster.Targets()
	}
	u.term, u.list = r.Term, r.List
	return u.takeTargets("keepers", readAt, targets)
}

func (u *Uplink) takeTargets(source string, readAt time.Time, targets []fleet.Instance) bool {
	if !u.roster.Take(readAt, targets) {
		return false
	}
	leaving := 0
	for _, in := range u.roster.Targets() {
		if in.Leaving {
			leaving++
		}
	}
	u.Log.Info("targets changed", "source", source, "age", u.Clock.Now().Sub(readAt).Round(time.Millisecond),
		"targets", len(targets), "leaving", leaving)
	return true
}

// readList reads the platform's list when the keepers bring no fresh one: a
// target that leaves must get no new work even then.
func (u *Uplink) readList(ctx context.Context) {
	now := u.Clock.Now()
	if u.List == nil || now.Sub(u.roster.ReadAt()) < listPatience || now.Sub(u.readOwn) < u.ownPeriod() {
		return
	}
	u.readOwn = now
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	targets, err := u.List.Instances(ctx)
	if err != nil {
		u.Log.Warn("the list of targets cannot be read: going on with what is known", "error", err,
			"age", now.Sub(u.roster.ReadAt()).Round(time.Millisecond))
		return
	}
	// What the keepers brought is not what this router holds any more.
	u.list = 0
	if u.takeTargets("own reading", now, targets) {
		u.Changed(u.State(), u.roster.Targets())
	}
}

// ownPeriod spreads the reads of all routers over what the platform takes.
func (u *Uplink) ownPeriod() time.Duration {
	routers := float64(max(u.State().Routers, 1))
	spread := time.Duration(routers / (ownReads * max(u.Reads, 1)) * float64(time.Second))
	return max(spread, leastOwnPeriod)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// deaf is the handler of a link over which the keepers ask nothing.
type deaf struct{}

var errDeaf = errors.New("a router serves no calls (ask a keeper)")

// Call implements link.Handler.
func (deaf) Call(context.Context, *link.Conn, string, json.RawMessage) (any, error) {
	return nil, errDeaf
}

// Notice implements link.Handler.
func (deaf) Notice(*link.Conn, string, json.RawMessage) {}
