package keeper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/statestore"
)

// tended is a group of keepers that tend their membership themselves, with
// routers that renew their lease on keys, on fake disks, fake links and one
// clock. The keepers' decisions are the real code; a router follows the same
// rules as keeperclient does.
type tended struct {
	t      require.TestingT
	random *rand.Rand
	clock  clock.MockClock
	vms    []*keeperVM
	ids    int
	wire   []letter
	lossy  bool

	routers []*leaseRouter
	asks    []question

	sent  uint64 // highest number sent
	acked uint64 // highest number acknowledged
	ackAt time.Time
}

// A keeperVM is a keeper's place: it outlives its processes and disks.
type keeperVM struct {
	name    string
	core    *core // nil while it is down
	disk    *journal.MockDisk
	frozen  time.Time // until when
	cut     int       // VMs of another value cannot be reached
	gone    bool      // for good
	joined  bool
	askedAt time.Time
}

// A letter is a message on its way.
type letter struct {
	at time.Time
	m  quorum.Message
}

// A leaseRouter is a router as far as the lease on keys goes.
type leaseRouter struct {
	name   string
	number uint64
	until  time.Time
	next   time.Time
	cut    bool
}

// A question is a router's, on its way to a keeper, or its answer on its way
// back.
type question struct {
	router *leaseRouter
	vm     *keeperVM
	asked  time.Time
	at     time.Time // when it arrives
	answer *message.RenewResponse
}

const (
	tendedStep  = 10 * time.Millisecond
	tendedLease = 4500 * time.Millisecond
	tendedAsk   = 250 * time.Millisecond
)

type tendedCarrier struct{ g *tended }

func (c *tendedCarrier) send(m quorum.Message) {
	if c.g.lossy && c.g.random.IntN(6) == 0 {
		return
	}
	c.g.wire = append(c.g.wire, letter{c.g.clock.Time.Add(time.Duration(c.g.random.IntN(3)) * tendedStep), m})
}

func (c *tendedCarrier) sendGrant(*rpc.Conn, message.Grant) {}

func (c *tendedCarrier) setMembers(string, []quorum.Member) {}

func newTended(t require.TestingT, seed uint64, size int) *tended {
	g := &tended{t: t, random: rand.New(rand.NewPCG(seed, 11)), clock: clock.MockClock{Time: time.Unix(1e9, 0)}}
	var members []quorum.Member
	for i := range size {
		vm := g.newVM()
		members = append(members, quorum.Member{ID: vm.name + "-0", Name: vm.name, Address: vm.name, Voter: i < 3})
	}
	for i, vm := range g.vms {
		g.boot(vm, &journal.Identity{Name: vm.name, ID: vm.name + "-0", Founded: true, FoundingMembers: members})
		vm.joined = i < 3
	}
	for i := range 3 {
		g.routers = append(g.routers, &leaseRouter{name: fmt.Sprint("r", i)})
	}
	return g
}

func (g *tended) newVM() *keeperVM {
	vm := &keeperVM{name: fmt.Sprint("k", len(g.vms)), disk: &journal.MockDisk{Seed: uint64(len(g.vms))}}
	g.vms = append(g.vms, vm)
	return vm
}

func (g *tended) boot(vm *keeperVM, id *journal.Identity) {
	j := &journal.Journal{Disk: vm.disk}
	_, err := j.Open()
	require.NoError(g.t, err)
	if id != nil {
		require.NoError(g.t, j.SetIdentity(*id))
	}
	c := newCore(&g.clock, hclog.NewNullLogger(), j, &tendedCarrier{g})
	c.autoMembers = true
	require.NoError(g.t, c.start(j.Identity()))
	vm.core, vm.frozen = c, time.Time{}
}

func (g *tended) run(span time.Duration) {
	for end := g.clock.Time.Add(span); g.clock.Time.Before(end); g.clock.Time = g.clock.Time.Add(tendedStep) {
		for _, vm := range g.vms {
			g.turn(vm)
		}
		g.deliver()
		g.askKeepers()
		g.check()
	}
}

func (vm *keeperVM) awake(now time.Time) bool {
	return vm.core != nil && !now.Before(vm.frozen)
}

func (g *tended) turn(vm *keeperVM) {
	now := g.clock.Time
	if !vm.awake(now) {
		return
	}
	if vm.core.runOnce() != nil {
		vm.core = nil // a keeper whose disk fails stops
		return
	}
	if now.Sub(vm.askedAt) >= rejoinInterval && (!vm.joined || vm.core.needsRejoin(now)) {
		vm.askedAt = now
		g.rejoin(vm)
	}
}

// rejoin asks whoever leads to take a keeper in.
func (g *tended) rejoin(vm *keeperVM) {
	for _, other := range g.vms {
		if other == vm || !other.awake(g.clock.Time) || other.cut != vm.cut {
			continue
		}
		if other.core.admitMember(g.clock.Time, joinParams{Name: vm.name, ID: vm.core.node.ID, Address: vm.name}) == nil {
			vm.joined = true
			return
		}
	}
}

func (g *tended) byID(id string) *keeperVM {
	for _, vm := range g.vms {
		if vm.core != nil && vm.core.node.ID == id {
			return vm
		}
	}
	return nil
}

func (g *tended) deliver() {
	var later []letter
	wire := g.wire
	g.wire = nil
	for _, l := range wire {
		to, from := g.byID(l.m.To), g.byID(l.m.From)
		switch {
		case to == nil || from == nil || to.cut != from.cut:
			// lost
		case l.at.After(g.clock.Time) || !to.awake(g.clock.Time):
			later = append(later, l)
		default:
			to.core.node.Step(g.clock.Time, l.m)
		}
	}
	g.wire = append(later, g.wire...)
}

// askKeepers carries the routers' questions and answers.
func (g *tended) askKeepers() {
	now := g.clock.Time
	for _, r := range g.routers {
		if now.Before(r.next) || r.cut {
			continue
		}
		r.next = now.Add(tendedAsk)
		for _, vm := range g.vms {
			delay := time.Duration(g.random.IntN(80)) * tendedStep
			g.asks = append(g.asks, question{router: r, vm: vm, asked: now, at: now.Add(delay)})
		}
	}
	var later []question
	for _, q := range g.asks {
		switch {
		case q.at.After(now):
			later = append(later, q)
		case q.answer != nil:
			q.router.take(q.asked, *q.answer)
		case q.vm.awake(now):
			a := q.vm.core.renew(now, message.RenewRequest{Router: q.router.name, Number: q.router.number})
			q.answer, q.at = &a, now.Add(time.Duration(g.random.IntN(80))*tendedStep)
			later = append(later, q)
		case q.vm.core != nil:
			later = append(later, q) // it wakes and answers then
		}
	}
	g.asks = later
}

// take follows the rules of keeperclient.
func (r *leaseRouter) take(asked time.Time, a message.RenewResponse) {
	if !a.Leads {
		return
	}
	if a.Number > r.number && a.PackedConfig != nil {
		r.number = a.Number
	}
	if until := asked.Add(tendedLease); r.number == a.Number && until.After(r.until) {
		r.until = until
	}
}

// put sends a configuration to every keeper; at most one leads.
func (g *tended) put() {
	g.sent++
	number := g.sent
	for _, vm := range g.vms {
		if !vm.awake(g.clock.Time) || !vm.core.isReadyLeader(g.clock.Time) {
			continue
		}
		c := vm.core
		cmd := statestore.Command{Document: &statestore.Document{Number: number, Text: fmt.Append(nil, number)}}
		c.submit(g.clock.Time, cmd, func(_ statestore.Result, err error) {
			if err == nil && number > g.acked {
				g.acked, g.ackAt = number, g.clock.Time
			}
		})
		g.turn(vm)
	}
}

// check holds what always holds.
func (g *tended) check() {
	now := g.clock.Time
	leaders := 0
	for _, vm := range g.vms {
		if !vm.awake(now) || !vm.core.isReadyLeader(now) {
			continue
		}
		leaders++
		require.GreaterOrEqual(g.t, vm.core.store.Document().Number, g.acked, "a reader at %s would see an older configuration", vm.name)
	}
	require.LessOrEqual(g.t, leaders, 1)
	for _, r := range g.routers {
		if r.number < g.acked {
			require.LessOrEqual(g.t, r.until, g.ackAt.Add(tendedLease), "keys of an older configuration count too long at %s", r.name)
		}
	}
}

func (g *tended) leader() *keeperVM {
	for _, vm := range g.vms {
		if vm.awake(g.clock.Time) && vm.core.isReadyLeader(g.clock.Time) {
			return vm
		}
	}
	return nil
}

// whole reports whether all VMs that are there are voters that hold everything.
func (g *tended) whole() bool {
	l := g.leader()
	if l == nil || l.core.node.MembershipChangePending() {
		return false
	}
	want := 0
	for _, vm := range g.vms {
		if vm.gone {
			continue
		}
		want++
		if vm.core == nil {
			return false
		}
		ok := slices.ContainsFunc(l.core.node.Members(), func(m quorum.Member) bool {
			return m.ID == vm.core.node.ID && m.Voter && l.core.node.MatchIndex(m.ID) >= l.core.node.CommitIndex()
		})
		if !ok {
			return false
		}
	}
	return want == len(l.core.node.Members())
}

// state describes the group, for failures.
func (g *tended) state() string {
	text := fmt.Sprintf("acked %d\n", g.acked)
	for _, vm := range g.vms {
		text += fmt.Sprintf("%s cut %d gone %t joined %t", vm.name, vm.cut, vm.gone, vm.joined)
		if c := vm.core; c != nil {
			text += fmt.Sprintf(" id %s role %d term %d commit %d document %d members", c.node.ID, c.node.Role(), c.node.Term(), c.node.CommitIndex(), c.store.Document().Number)
			for _, m := range c.node.Members() {
				text += fmt.Sprintf(" %s/%t", m.ID, m.Voter)
			}
		}
		text += "\n"
	}
	return text
}
