package fairshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// fakeRouter answers grants as a router does.
type fakeRouter struct {
	report message.Report
}

func newFakeRouter(name string, waiting int, slots ...message.SlotUsage) *fakeRouter {
	r := &fakeRouter{report: message.Report{Router: name, Zone: "z", Incarnation: 1, Full: true, Term: 1, AckSeq: 50, Number: 1, Slots: slots}}
	if waiting > 0 {
		r.report.Queues = []message.QueueLength{{Account: "a", Event: "e", Waiting: waiting}}
	}
	return r
}

// tell sends the router's report.
func (r *fakeRouter) tell(d *Divider, now time.Time) {
	r.report.Seq++
	r.report.SentAt = now
	d.Report(now, r.report)
}

// hear takes the grants meant for the router.
func (r *fakeRouter) hear(grants []Addressed) {
	for _, g := range grants {
		if g.Router != r.report.Router {
			continue
		}
		r.report.Term, r.report.AckSeq = g.Grant.Term, g.Grant.Seq
		r.report.Slots = nil
		for _, s := range g.Grant.Slots {
			r.report.Slots = append(r.report.Slots, message.SlotUsage{Target: s.Target, Limit: s.Count})
		}
	}
}

func (r *fakeRouter) holds() int {
	n := 0
	for _, s := range r.report.Slots {
		n += s.Limit
	}
	return n
}

// Symptom: after a change of leader slots stand idle for a lease length, though
// every router is known and work waits (a fleet under load lost 3 s).
// Sequence: a new leader hears two routers that hold all slots; only one has
// work; slots are taken from the other.
// Cause: what a known router lets go was withheld as if an unknown router could
// still hold it.
func TestNewLeaderMovesSlotsThatKnownRoutersHeld(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := fleet.Config{
		Number:   1,
		Accounts: []fleet.Account{{Name: "a", Share: 1}},
		Targets:  []fleet.Target{{Name: "t", Zone: "z", Slots: 8, State: fleet.TargetLive}},
		Events:   []fleet.Event{{Name: "e", Accounts: []string{"a"}, Targets: []string{"t"}}},
	}
	d := &Divider{Term: 2}
	d.Start(now)
	d.SetConfig(now, c, c.JSON())
	idle := newFakeRouter("idle", 0, message.SlotUsage{Target: "t", Limit: 3})
	busy := newFakeRouter("busy", 20, message.SlotUsage{Target: "t", Limit: 3, InUse: 3})
	rounds := func(step time.Duration) {
		for range 20 {
			now = now.Add(step)
			for _, r := range []*fakeRouter{idle, busy} {
				r.tell(d, now)
				d.Tick(now)
				grants := d.Take()
				idle.hear(grants)
				busy.hear(grants)
			}
		}
	}
	rounds(20 * time.Millisecond)
	require.Equal(t, 6, busy.holds(), "all that the two had")
	require.LessOrEqual(t, busy.holds()+idle.holds(), 6, "the other two may be with a router not heard of")
	rounds(200 * time.Millisecond)
	require.Equal(t, 8, busy.holds()+idle.holds(), "until its lease has lapsed")
}

// Symptom: control traffic grows with the size of the configuration times the
// number of divisions.
// Sequence: a configuration is accepted; divisions follow each other before the
// routers have reported it.
// Cause: every grant carries it until then.
func TestConfigurationIsSentOnceAReport(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := fleet.Config{Number: 1}
	d := &Divider{Term: 1, Blank: true}
	d.Start(now)
	r := newFakeRouter("r", 0)
	r.report.Number = 0
	r.tell(d, now)
	d.Take()
	d.SetConfig(now, c, c.JSON())
	require.NotEmpty(t, d.Take()[0].Grant.Config)
	for _, r := range d.order {
		r.dirty = true
	}
	d.divide(now)
	require.Empty(t, d.Take()[0].Grant.Config, "it is on its way")
	r.tell(d, now.Add(time.Second))
	require.NotEmpty(t, d.Take()[0].Grant.Config, "it was lost on its way")
}

// Symptom: an operator is told that a configuration is in force on every router, and a
// router still goes by the one before.
// Sequence: the leader changes; the next one accepts a configuration before any router has
// reported to it; routers still hold leases of the former leader.
// Cause: of no routers, all had it.
func TestANewLeaderDoesNotSpeakForRoutersItHasNotHeard(t *testing.T) {
	now := time.Unix(1e9, 0)
	d := &Divider{Term: 2}
	d.Start(now)
	d.SetConfig(now, fleet.Config{Number: 7}, nil)
	_, all := d.InForce(now, 7)
	require.False(t, all)
	have, all := d.InForce(now.Add(RouterLease+lapseMargin), 7)
	require.True(t, all, "no earlier lease holds any more")
	require.Zero(t, have)

	blank := &Divider{Term: 2, Blank: true}
	blank.Start(now)
	_, all = blank.InForce(now, 0)
	require.False(t, all, "routers may hold a lease without any configuration")
	first := &Divider{Term: 1, Blank: true}
	first.Start(now)
	_, all = first.InForce(now, 0)
	require.True(t, all, "there was no leader before")
}
