package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fairshare"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/statestore"
)

const (
	ringSize = 4096
	// compactAfter is how many entries the log may hold before a snapshot.
	compactAfter = 8192
	// compactBytes is the least size of the log before a snapshot. It grows
	// with the snapshots, so that writing them stays a small part of the work.
	compactBytes = 4 << 20
)

// A core is the duty that owns the keeper's decisions and its disk.
type core struct {
	clock   clock.Clock
	log     hclog.Logger
	journal *journal.Journal
	carrier carrier
	inputs  chan input
	damaged atomic.Uint64 // entries of the platform's list of targets

	node    *quorum.Node
	ledger  statestore.Store
	divider *fairshare.Divider // while this keeper leads
	routers map[routerKey]*rpc.Conn
	waiters map[uint64]waiter
	gone    goneVMs
	routes  routes
	// zones are the availability zones that the settings name.
	zones []fleet.Zone
	// registry decides which requests are held back, while this keeper leads; reported is
	// what routers of events told it last.
	registry *quarantine.Coordinator
	reported map[routerKey]quarantine.Report
	told     []toldReport // in this turn
	// autoMembers says that the leader takes out members that are gone by itself.
	autoMembers bool
	claims      []claimCall // to be proposed in the next batch
	settles     []settleCall
	grown       int // bytes of the log since the last snapshot
	limit       int
}

// A carrier takes a core's messages to other processes. It may lose any.
type carrier interface {
	send(m quorum.Message)
	grant(conn *rpc.Conn, g message.Grant)
	setMembers(self string, members []quorum.Member)
}

type routerKey struct {
	name string
	inc  uint64
}

// An input is one message to the core.
type input func(now time.Time)

// waiter is told what became of the log entry at an index.
type waiter struct {
	term uint64
	done func(statestore.Result, error)
}

type claimCall struct {
	claims []message.Claim
	done   func([]message.ClaimResult, error)
}

type settleCall struct {
	settlements []message.Settlement
	done        func(error)
}

func newCore(c clock.Clock, log hclog.Logger, j *journal.Journal, p carrier) *core {
	return &core{
		clock: c, log: log, journal: j, carrier: p,
		inputs:  make(chan input, ringSize),
		routers: make(map[routerKey]*rpc.Conn),
		waiters: make(map[uint64]waiter),
		limit:   compactBytes,
	}
}

// run serves until ctx ends. An error of the disk ends it too: a keeper that
// cannot make its promises last must not make any.
func (c *core) run(ctx context.Context, id journal.Identity) error {
	if err := c.start(id); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return c.resign()
		case in := <-c.inputs:
			in(c.clock.Now())
			c.drain()
		case <-timer.C:
		}
		if err := c.turn(); err != nil {
			return err
		}
		timer.Reset(max(c.deadline().Sub(c.clock.Now()), time.Millisecond))
	}
}

// resign hands the lead over, so that the group need not find out by itself that its
// leader has stopped.
func (c *core) resign() error {
	if c.node.Role() != quorum.Leader {
		return nil
	}
	c.log.Info("resigning: this keeper stops", "term", c.node.Term())
	c.node.Resign(c.clock.Now())
	c.stepDown()
	return c.settle()
}

func (c *core) start(id journal.Identity) error {
	state, base, entries := c.journal.Recovered()
	if base.Index == 0 && len(base.Members) == 0 {
		base.Members = id.FoundingMembers
	}
	if len(base.Data) > 0 {
		if err := c.ledger.Restore(base.Data); err != nil {
			return fmt.Errorf("restore the snapshot: %w", err)
		}
	}
	c.node = &quorum.Node{ID: id.ID, SavedState: state, Snapshot: base, Entries: entries}
	c.node.Start(c.clock.Now())
	c.log.Info("log loaded", "id", id.ID, "term", state.Term, "snapshot", base.Index, "entries", len(entries))
	return nil
}

// drain takes the inputs that are there already, so that one sync serves many.
func (c *core) drain() {
	const most = 512
	for range most {
		select {
		case in := <-c.inputs:
			in(c.clock.Now())
		default:
			return
		}
	}
}

// turn lets time pass, proposes what was collected, and makes it durable.
func (c *core) turn() error {
	now := c.clock.Now()
	c.node.Tick(now)
	c.propose(now)
	if err := c.settle(); err != nil {
		return err
	}
	if c.takeTold(c.clock.Now()) {
		if err := c.settle(); err != nil {
			return err
		}
	}
	c.lead(c.clock.Now())
	return c.compact()
}

// settle does what the node wants done until it wants nothing more.
func (c *core) settle() error {
	for {
		out := c.node.TakeOutput()
		for _, m := range out.SendBeforeSync {
			c.carrier.send(m)
		}
		if out.NeedsSync() {
			if err := c.write(out); err != nil {
				return err
			}
			for _, e := range out.Append {
				c.grown += len(e.Data)
			}
			c.node.MarkDurable()
		}
		c.carrier.setMembers(c.node.ID, c.node.Members())
		for _, m := range out.SendAfterSync {
			c.carrier.send(m)
		}
		if err := c.apply(out); err != nil {
			return err
		}
		if !out.NeedsSync() && len(out.SendBeforeSync)+len(out.SendAfterSync)+len(out.Committed) == 0 {
			return nil
		}
	}
}

// slowWrite is how long a write to the log takes at least where the disk counts as slow: a
// heartbeat and a half.
const slowWrite = 3 * quorum.HeartbeatInterval / 2

// write makes an output durable.
func (c *core) write(out quorum.Output) error {
	from := c.clock.Now()
	if err := c.journal.Write(out); err != nil {
		c.log.Error("the disk failed: stopping, so that nothing is promised that does not last", "error", err)
		return err
	}
	if took := c.clock.Now().Sub(from); took > slowWrite {
		c.log.Warn("the disk was slow", "took", took.Milliseconds(), "entries", len(out.Append))
	}
	return nil
}

func (c *core) apply(out quorum.Output) error {
	if out.RestoreFrom != nil {
		if err := c.ledger.Restore(out.RestoreFrom.Data); err != nil {
			return fmt.Errorf("restore the leader's snapshot: %w", err)
		}
		c.log.Info("snapshot taken over", "index", out.RestoreFrom.Index, "number", c.ledger.Number())
	}
	for _, e := range out.Committed {
		c.applyEntry(e)
	}
	return nil
}

// leads reports whether this keeper may answer for the state of the group. It
// is asked between two messages, and the one before may have committed entries
// that are applied only at the end of the turn: until then the ledger is older
// than what was acknowledged.
func (c *core) leads(now time.Time) bool {
	return c.node.IsActiveLeader(now) && c.node.AllApplied()
}

func (c *core) applyEntry(e quorum.Entry) {
	var r statestore.Result
	var err error
	if e.Kind == quorum.EntryData {
		before := c.ledger.Number()
		number := c.ledger.Document().Number
		evacuations := c.ledger.Evacuations()
		r, err = c.ledger.Do(e.Data)
		if err != nil {
			c.log.Error("command refused", "index", e.Index, "error", err)
		}
		if c.ledger.Number() != before {
			c.log.Info("configuration accepted", "number", c.ledger.Number(), "digest", c.ledger.Digest(), "index", e.Index)
			c.giveConfig()
		}
		c.noteEvacuations(evacuations, c.ledger.Evacuations())
		if d := c.ledger.Document(); d.Number != number {
			c.log.Info("configuration of routes accepted", "number", d.Number, "before", number,
				"bytes", len(d.Text), "index", e.Index, "term", e.Term)
		}
	}
	w, ok := c.waiters[e.Index]
	if !ok {
		return
	}
	delete(c.waiters, e.Index)
	if w.term != e.Term {
		err = errLost
	}
	w.done(r, err)
}

// compact replaces the log by a snapshot when it has grown long.
func (c *core) compact() error {
	if len(c.node.Entries) < compactAfter && c.grown < c.limit {
		return nil
	}
	data, err := c.ledger.Snapshot()
	if err != nil {
		return err
	}
	if c.node.CompactApplied(data) == nil {
		return nil
	}
	c.grown = 0
	c.limit = max(compactBytes, 2*len(data))
	return c.settle()
}

func (c *core) deadline() time.Time {
	next := c.node.NextTick()
	if c.divider != nil && c.divider.Deadline().Before(next) {
		next = c.divider.Deadline()
	}
	return next
}

// ask has the core do f and waits until it is done, or ctx ends.
func (c *core) ask(ctx context.Context, f input) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(done)
		f(now)
	}
	select {
	case c.inputs <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post queues f. One that finds a full ring is dropped: it is for messages
// that are repeated.
func (c *core) post(f input) {
	select {
	case c.inputs <- f:
	default:
	}
}

// onQuorum takes a message of another keeper.
func (c *core) onQuorum(params json.RawMessage) {
	var m quorum.Message
	if err := json.Unmarshal(params, &m); err != nil {
		c.log.Warn("quorum message cannot be read", "error", err)
		return
	}
	c.post(func(now time.Time) { c.node.Step(now, m) })
}

// onReport takes a router's report.
func (c *core) onReport(conn *rpc.Conn, params json.RawMessage) {
	var r message.Report
	if err := json.Unmarshal(params, &r); err != nil {
		c.log.Warn("report cannot be read", "router", conn.Name(), "error", err)
		return
	}
	c.post(func(now time.Time) {
		if c.divider == nil || !c.node.IsActiveLeader(now) {
			return
		}
		key := routerKey{r.Router, r.Incarnation}
		c.routers[key] = conn
		if r.Quarantine != nil {
			c.told = append(c.told, toldReport{key, *r.Quarantine})
		}
		c.divider.Report(now, r)
	})
}
