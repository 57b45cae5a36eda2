package keeper

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
)

func newTrio(t require.TestingT, seed uint64) *trio {
	g := &trio{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), clock: clock.MockClock{Time: time.Unix(1e9, 0)},
		cores: map[string]*core{}, disks: map[string]*journal.MockDisk{}, cut: map[string]bool{},
		names: []string{"k1", "k2", "k3"}, routers: map[string]*dispatch.Scheduler{}, conns: map[*rpc.Conn]string{},
		accepted: map[uint64]string{}, seen: map[string]uint64{},
	}
	var members []quorum.Member
	for _, name := range g.names {
		members = append(members, quorum.Member{ID: name + "-0", Name: name, Voter: true})
	}
	for i, name := range g.names {
		g.disks[name] = &journal.MockDisk{Seed: seed + uint64(i)}
		g.boot(name, &journal.Identity{Name: name, ID: name + "-0", Founded: true, FoundingMembers: members})
	}
	for _, name := range []string{"r1", "r2"} {
		g.startRouter(name)
	}
	return g
}

// boot starts a keeper from its disk. A new identity is written first.
func (g *trio) boot(name string, id *journal.Identity) {
	j := &journal.Journal{Disk: g.disks[name]}
	_, err := j.Open()
	require.NoError(g.t, err)
	if id != nil {
		require.NoError(g.t, j.SetIdentity(*id))
	}
	c := newCore(&g.clock, hclog.NewNullLogger(), j, &trioCarrier{g})
	require.NoError(g.t, c.start(j.Identity()))
	g.cores[name] = c
}

func (g *trio) startRouter(name string) {
	g.routers[name] = &dispatch.Scheduler{Name: name, Zone: "z", Incarnation: uint64(g.clock.Now().UnixNano())}
	g.seen[name] = 0
	conn := &rpc.Conn{}
	g.conns[conn] = name
	g.links = append(g.links, conn)
}

// trioCarrier is the fake network.
type trioCarrier struct{ g *trio }

func (c *trioCarrier) send(m quorum.Message) {
	if !c.g.lossy || c.g.random.IntN(5) > 0 {
		c.g.wire = append(c.g.wire, m)
	}
}

func (c *trioCarrier) sendGrant(conn *rpc.Conn, m message.Grant) {
	name := c.g.conns[conn]
	if c.g.cut[name] {
		return
	}
	s := c.g.routers[name]
	s.HandleGrant(c.g.clock.Now(), m)
	require.GreaterOrEqual(c.g.t, s.ConfigNumber(), c.g.seen[name], "a router never goes back")
	c.g.seen[name] = s.ConfigNumber()
}

func (c *trioCarrier) setMembers(string, []quorum.Member) {}

func (g *trio) byID(id string) (string, *core) {
	for _, name := range g.names {
		if c := g.cores[name]; c != nil && c.node.ID == id {
			return name, c
		}
	}
	return "", nil
}

// run lets time pass.
func (g *trio) run(span time.Duration) {
	const step = 20 * time.Millisecond
	for end := g.clock.Time.Add(span); g.clock.Time.Before(end); g.clock.Time = g.clock.Time.Add(step) {
		for _, name := range g.names {
			g.turn(name)
		}
		g.deliver()
		g.tickRouters()
	}
}

func (g *trio) turn(name string) {
	if c := g.cores[name]; c != nil && c.runOnce() != nil {
		g.cores[name] = nil // a keeper whose disk fails stops
	}
}

func (g *trio) deliver() {
	for range 3 {
		wire := g.wire
		g.wire = nil
		for _, m := range wire {
			from, _ := g.byID(m.From)
			to, c := g.byID(m.To)
			if c == nil || g.cut[from] || g.cut[to] {
				continue
			}
			c.node.Step(g.clock.Now(), m)
			g.turn(to)
		}
	}
}

func (g *trio) tickRouters() {
	for _, conn := range g.links {
		name := g.conns[conn]
		s := g.routers[name]
		s.Tick(g.clock.Now())
		for _, a := range s.TakeActions() {
			if r, ok := a.(dispatch.SendReport); ok && !g.cut[name] {
				g.report(conn, r.Report)
			}
		}
	}
}

func (g *trio) report(conn *rpc.Conn, r message.Report) {
	for _, name := range g.names {
		c := g.cores[name]
		if c == nil || g.cut[name] || c.divider == nil || !c.node.IsActiveLeader(g.clock.Now()) {
			continue
		}
		c.routers[routerKey{r.Router, r.Incarnation}] = conn
		c.divider.HandleReport(g.clock.Now(), r)
		g.turn(name)
	}
}

// apply is an operator who asks one keeper and hears the answer or not.
func (g *trio) apply(name string, number uint64, share float64) {
	c := g.cores[name]
	if c == nil {
		return
	}
	config := fleet.Config{Number: number, Accounts: []fleet.Account{{Name: "a", Share: share}}}
	c.submitConfig(g.clock.Now(), config, "op", func(a message.ApplyResult, err error) {
		if err != nil || a.Conflict {
			return
		}
		require.Equal(g.t, config.Digest(), a.Digest)
		if before, ok := g.accepted[number]; ok {
			require.Equal(g.t, before, a.Digest, "two configurations accepted under number %d", number)
		}
		g.accepted[number] = a.Digest
		g.newest = max(g.newest, number)
	})
	g.turn(name)
}

// read checks every keeper that would answer a reader now.
func (g *trio) read() {
	leaders := 0
	for _, name := range g.names {
		c := g.cores[name]
		if c == nil || !c.node.IsActiveLeader(g.clock.Now()) {
			continue
		}
		leaders++
		require.GreaterOrEqual(g.t, c.store.Number(), g.newest, "a reader at %s sees an older configuration", name)
		if want, ok := g.accepted[c.store.Number()]; ok {
			require.Equal(g.t, want, c.store.Digest())
		}
	}
	require.LessOrEqual(g.t, leaders, 1)
}

// whole reports whether all three keepers are up, voting and caught up.
func (g *trio) whole() (*core, bool) {
	for _, name := range g.names {
		c := g.cores[name]
		if c == nil || !c.node.IsActiveLeader(g.clock.Now()) {
			continue
		}
		if c.node.MembershipChangePending() {
			return c, false
		}
		for _, m := range c.node.Members() {
			if g.cores[m.Name] == nil || g.cores[m.Name].node.ID != m.ID {
				return c, false
			}
			if !m.Voter || c.node.MatchIndex(m.ID) < c.node.CommitIndex() {
				return c, false
			}
		}
		return c, len(c.node.Members()) == 3
	}
	return nil, false
}

// loseDisk replaces a keeper by one with an empty disk, and repairs.
func (g *trio) loseDisk(name string) {
	if _, ok := g.whole(); !ok {
		return
	}
	g.ids++
	id := journal.Identity{Name: name, ID: fmt.Sprintf("%s-%d", name, g.ids)}
	g.disks[name] = &journal.MockDisk{Seed: uint64(g.ids)}
	g.boot(name, &id)
	clear(g.cut)
	g.lossy = false
	for range 400 {
		g.run(20 * time.Millisecond)
		for _, other := range g.names {
			if c := g.cores[other]; c != nil && other != name {
				// Refused while it does not lead or another change is on its way.
				_ = c.admitMember(g.clock.Now(), joinParams{Name: name, ID: id.ID})
			}
		}
		if _, ok := g.whole(); ok {
			return
		}
	}
	require.Fail(g.t, "the repair ends")
}

func (g *trio) restart(name string) {
	g.disks[name].Crash()
	g.boot(name, nil)
}

// newLeader returns a group of three keepers that is whole, and its leader.
func newLeader(t require.TestingT, seed uint64) (*trio, *core) {
	g := newTrio(t, seed)
	g.run(3 * time.Second)
	c, ok := g.whole()
	require.True(t, ok)
	return g, c
}
