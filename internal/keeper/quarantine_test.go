package keeper

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/statestore"
)

const heldPrint quarantine.Fingerprint = "alike"

// tell has a router tell the leader of ends, or ask, and returns what it is told.
func (g *tended) tell(r quarantine.Report) []quarantine.Restriction {
	for range 300 {
		if l := g.leader(); l != nil {
			answer := l.core.renew(g.clock.Time, message.RenewRequest{Router: "r", Incarnation: 1, Quarantine: &r})
			require.NotNil(g.t, answer.Restrictions)
			g.run(5 * tendedStep) // the log has it
			return answer.Restrictions.Restrictions
		}
		g.run(tendedStep)
	}
	require.Fail(g.t, "nobody leads", g.state())
	return nil
}

// strike has something happen to the group: its leader ends, all lose power, or one loses its
// disk while all others lose power.
func (g *tended) strike() {
	victim := g.vms[g.random.IntN(len(g.vms))]
	switch g.random.IntN(3) {
	case 0:
		if l := g.leader(); l != nil {
			victim = l
		}
		g.restart(victim, true)
		return
	case 1:
		victim = nil
	}
	for _, vm := range g.vms {
		if vm != victim {
			g.restart(vm, true)
		}
	}
	if victim != nil {
		g.wipe(victim)
	}
}

// Symptom: a request that is held back ends more targets after keepers have changed.
// Sequence: three targets end under it; trials are asked for all along; leaders end, all keepers
// lose power, one loses its disk while all others lose power.
// Cause: rulings or trials that only one keeper knew of.
func TestWhatIsHeldBackStaysSoWhateverBecomesOfKeepers(t *testing.T) {
	const mostTrials = 2
	for seed := range uint64(40) {
		g := newTended(t, seed, 5)
		require.True(t, g.settle())
		for _, id := range []string{"a", "b", "c"} {
			g.tell(quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: heldPrint, Account: "x", Target: fleet.Incarnation{ID: id}}}})
		}
		grants := map[uint64]bool{}
		for range 12 {
			g.run(time.Duration(g.random.IntN(400)) * time.Millisecond)
			g.strike()
			require.True(t, g.settle(), "seed %d", seed)
			g.tell(quarantine.Report{PermitRequests: []quarantine.Fingerprint{heldPrint}})
			list := g.tell(quarantine.Report{})
			require.Len(t, list, 1, "seed %d: it is known", seed)
			require.GreaterOrEqual(t, list[0].TerminationCount, 3)
			if list[0].PermitID > 0 {
				grants[list[0].PermitID] = true
			}
			g.clock.Time = g.clock.Time.Add(20 * time.Second) // and trials fall due
			require.True(t, g.settle(), "seed %d", seed)
		}
		require.LessOrEqual(t, len(grants), mostTrials, "seed %d", seed)
		require.NotEmpty(t, grants, "seed %d", seed)
	}
}

// Symptom: what was acknowledged is gone.
// Sequence: right after an acknowledgement a keeper loses its disk, and all others lose power at
// the same moment.
// Cause: an acknowledgement that rests on a write which only the lost disk had made to last.
func TestAnAcknowledgementOutlastsADiskAndThePowerOfAllOthers(t *testing.T) {
	for seed := range uint64(100) {
		g := newTended(t, seed, 5)
		require.True(t, g.settle())
		for range 3 {
			g.put()
			for range 200 {
				if g.acked == g.sent {
					break
				}
				g.run(tendedStep)
			}
			acked := g.acked
			g.run(time.Duration(g.random.IntN(40)) * tendedStep)
			victim := g.vms[g.random.IntN(len(g.vms))]
			for _, vm := range g.vms {
				if vm != victim {
					g.restart(vm, true)
				}
			}
			g.wipe(victim)
			require.True(t, g.settle(), "seed %d", seed)
			require.GreaterOrEqual(t, g.leader().core.store.Document().Number, acked, "seed %d", seed)
		}
	}
}

// Guards against an end of a target that is never counted: a report that comes while an entry
// of the log is committed and not yet applied.
func TestAnEndIsCountedThatIsToldBesideACommit(t *testing.T) {
	g := newTrio(t, 5)
	g.run(3 * time.Second)
	c, ok := g.whole()
	require.True(t, ok)
	key := routerKey{"told", 1}
	conn := &rpc.Conn{}
	g.conns[conn], g.cut[key.name] = key.name, true // what it is granted goes nowhere
	report := func(q quarantine.Report) {
		data, err := json.Marshal(message.Report{Router: key.name, Incarnation: key.incarnation, Full: true, Quarantine: &q})
		require.NoError(t, err)
		c.handleReport(conn, data)
		(<-c.tasks)(g.clock.Now())
	}
	ends := func(id string) []quarantine.Termination {
		return []quarantine.Termination{{Fingerprint: heldPrint, Account: "x", Target: fleet.Incarnation{ID: id}, IDReused: true}}
	}
	report(quarantine.Report{Terminations: ends("a")})
	require.NoError(t, c.runOnce())
	require.Equal(t, 1, c.coordinator.TerminationCount(heldPrint))

	c.submit(g.clock.Now(), statestore.Command{}, func(statestore.Result, error) {})
	require.NoError(t, c.runOnce())
	g.commitUnapplied(c)
	require.False(t, c.node.AllApplied())
	report(quarantine.Report{Terminations: ends("b")})
	require.NoError(t, c.runOnce())
	require.Equal(t, 2, c.coordinator.TerminationCount(heldPrint), "the grant that follows tells the router that it was heard")
}

// commitUnapplied has followers answer the leader, which does not apply what that commits.
func (g *trio) commitUnapplied(c *core) {
	for range 3 {
		wire := g.wire
		g.wire = nil
		for _, m := range wire {
			if _, to := g.byID(m.To); to == c {
				c.node.Step(g.clock.Now(), m)
			} else if to != nil {
				to.node.Step(g.clock.Now(), m)
				require.NoError(g.t, to.runOnce())
			}
		}
	}
}

// Guards against a router of routes that takes for told what its leader dropped: a renewal that
// comes while an entry of the log is committed and not yet applied.
func TestARenewalBesideACommitIsAskedForAgain(t *testing.T) {
	g := newTrio(t, 5)
	g.run(3 * time.Second)
	c, ok := g.whole()
	require.True(t, ok)
	end := quarantine.Termination{Fingerprint: heldPrint, Account: "x", Target: fleet.Incarnation{ID: "a"}}
	p := message.RenewRequest{Router: "r", Incarnation: 1, Quarantine: &quarantine.Report{Terminations: []quarantine.Termination{end}}}
	c.submit(g.clock.Now(), statestore.Command{}, func(statestore.Result, error) {})
	require.NoError(t, c.runOnce())
	g.commitUnapplied(c)
	require.False(t, c.node.AllApplied())
	r := c.renew(g.clock.Now(), p)
	require.False(t, r.Leads)
	require.Nil(t, r.Restrictions)
	require.Nil(t, r.EvacuatedZones)
	require.Zero(t, r.WarmupLease)
	require.NoError(t, c.runOnce())
	r = c.renew(g.clock.Now(), p)
	require.True(t, r.Leads)
	require.NotNil(t, r.Restrictions)
	require.Equal(t, 1, c.coordinator.TerminationCount(heldPrint))
}
