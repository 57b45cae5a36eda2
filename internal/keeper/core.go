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
	taskQueueSize = 4096
	// compactAfter is how many entries the log may hold before a snapshot.
	compactEntries = 8192
	// compactBytes is the least size of the log before a snapshot. It grows
	// with the snapshots, so that writing them stays a small part of the work.
	minCompactBytes = 4 << 20
)

// A core is the duty that owns the keeper's decisions and its disk.
type core struct {
	clock          clock.Clock
	log            hclog.Logger
	journal        *journal.Journal
	transport      transport
	tasks          chan task
	damagedEntries atomic.Uint64 // entries of the platform's list of targets

	node       *quorum.Node
	store      statestore.Store
	divider    *fairshare.Divider // while this keeper leads
	routers    map[routerKey]*rpc.Conn
	waiters    map[uint64]waiter
	leavingVMs leavingVMs
	renewals   renewalState
	// zones are the availability zones that the settings name.
	zones []fleet.Zone
	// registry decides which requests are held back, while this keeper leads; reported is
	// what routers of events told it last.
	coordinator    *quarantine.Coordinator
	lastReports    map[routerKey]quarantine.Report
	pendingReports []pendingReport // in this turn
	// autoMembers says that the leader takes out members that are gone by itself.
	autoMembers      bool
	pendingClaims    []claimCall // to be proposed in the next batch
	pendingSettles   []settleCall
	logBytes         int // bytes of the log since the last snapshot
	compactThreshold int
}

// A carrier takes a core's messages to other processes. It may lose any.
type transport interface {
	send(msg quorum.Message)
	sendGrant(conn *rpc.Conn, grant message.Grant)
	setMembers(selfID string, members []quorum.Member)
}

type routerKey struct {
	name        string
	incarnation uint64
}

// An input is one message to the core.
type task func(now time.Time)

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

func newCore(clock clock.Clock, log hclog.Logger, journal *journal.Journal, transport transport) *core {
	return &core{
		clock: clock, log: log, journal: journal, transport: transport,
		tasks:            make(chan task, taskQueueSize),
		routers:          make(map[routerKey]*rpc.Conn),
		waiters:          make(map[uint64]waiter),
		compactThreshold: minCompactBytes,
	}
}

// run serves until ctx ends. An error of the disk ends it too: a keeper that
// cannot make its promises last must not make any.
func (c *core) run(ctx context.Context, identity journal.Identity) error {
	if err := c.start(identity); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return c.resign()
		case task := <-c.tasks:
			task(c.clock.Now())
			c.drainTasks()
		case <-timer.C:
		}
		if err := c.runOnce(); err != nil {
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
	return c.processOutput()
}

func (c *core) start(identity journal.Identity) error {
	state, snapshot, entries := c.journal.Recovered()
	if snapshot.Index == 0 && len(snapshot.Members) == 0 {
		snapshot.Members = identity.FoundingMembers
	}
	if len(snapshot.Data) > 0 {
		if err := c.store.Restore(snapshot.Data); err != nil {
			return fmt.Errorf("restore the snapshot: %w", err)
		}
	}
	c.node = &quorum.Node{ID: identity.ID, SavedState: state, Snapshot: snapshot, Entries: entries}
	c.node.Start(c.clock.Now())
	c.log.Info("log loaded", "id", identity.ID, "term", state.Term, "snapshot", snapshot.Index, "entries", len(entries))
	return nil
}

// drain takes the inputs that are there already, so that one sync serves many.
func (c *core) drainTasks() {
	const maxTasks = 512
	for range maxTasks {
		select {
		case task := <-c.tasks:
			task(c.clock.Now())
		default:
			return
		}
	}
}

// turn lets time pass, proposes what was collected, and makes it durable.
func (c *core) runOnce() error {
	now := c.clock.Now()
	c.node.Tick(now)
	c.proposeClaims(now)
	if err := c.processOutput(); err != nil {
		return err
	}
	if c.handlePendingReports(c.clock.Now()) {
		if err := c.processOutput(); err != nil {
			return err
		}
	}
	c.runLeader(c.clock.Now())
	return c.compact()
}

// settle does what the node wants done until it wants nothing more.
func (c *core) processOutput() error {
	for {
		output := c.node.TakeOutput()
		for _, msg := range output.SendBeforeSync {
			c.transport.send(msg)
		}
		if output.NeedsSync() {
			if err := c.writeLog(output); err != nil {
				return err
			}
			for _, entry := range output.Append {
				c.logBytes += len(entry.Data)
			}
			c.node.MarkDurable()
		}
		c.transport.setMembers(c.node.ID, c.node.Members())
		for _, msg := range output.SendAfterSync {
			c.transport.send(msg)
		}
		if err := c.applyOutput(output); err != nil {
			return err
		}
		if !output.NeedsSync() && len(output.SendBeforeSync)+len(output.SendAfterSync)+len(output.Committed) == 0 {
			return nil
		}
	}
}

// slowWrite is how long a write to the log takes at least where the disk counts as slow: a
// heartbeat and a half.
const slowWriteThreshold = 3 * quorum.HeartbeatInterval / 2

// write makes an output durable.
func (c *core) writeLog(output quorum.Output) error {
	start := c.clock.Now()
	if err := c.journal.Write(output); err != nil {
		c.log.Error("the disk failed: stopping, so that nothing is promised that does not last", "error", err)
		return err
	}
	if took := c.clock.Now().Sub(start); took > slowWriteThreshold {
		c.log.Warn("the disk was slow", "took", took.Milliseconds(), "entries", len(output.Append))
	}
	return nil
}

func (c *core) applyOutput(output quorum.Output) error {
	if output.RestoreFrom != nil {
		if err := c.store.Restore(output.RestoreFrom.Data); err != nil {
			return fmt.Errorf("restore the leader's snapshot: %w", err)
		}
		c.log.Info("snapshot taken over", "index", output.RestoreFrom.Index, "number", c.store.Number())
	}
	for _, entry := range output.Committed {
		c.applyEntry(entry)
	}
	return nil
}

// leads reports whether this keeper may answer for the state of the group. It
// is asked between two messages, and the one before may have committed entries
// that are applied only at the end of the turn: until then the ledger is older
// than what was acknowledged.
func (c *core) isReadyLeader(now time.Time) bool {
	return c.node.IsActiveLeader(now) && c.node.AllApplied()
}

func (c *core) applyEntry(entry quorum.Entry) {
	var result statestore.Result
	var err error
	if entry.Kind == quorum.EntryData {
		previousNumber := c.store.Number()
		previousRoutesNumber := c.store.Document().Number
		previousEvacuations := c.store.Evacuations()
		result, err = c.store.Do(entry.Data)
		if err != nil {
			c.log.Error("command refused", "index", entry.Index, "error", err)
		}
		if c.store.Number() != previousNumber {
			c.log.Info("configuration accepted", "number", c.store.Number(), "digest", c.store.Digest(), "index", entry.Index)
			c.updateDividerConfig()
		}
		c.handleEvacuationChange(previousEvacuations, c.store.Evacuations())
		if document := c.store.Document(); document.Number != previousRoutesNumber {
			c.log.Info("configuration of routes accepted", "number", document.Number, "before", previousRoutesNumber,
				"bytes", len(document.Text), "index", entry.Index, "term", entry.Term)
		}
	}
	waiter, ok := c.waiters[entry.Index]
	if !ok {
		return
	}
	delete(c.waiters, entry.Index)
	if waiter.term != entry.Term {
		err = errLeaderChanged
	}
	waiter.done(result, err)
}

// compact replaces the log by a snapshot when it has grown long.
func (c *core) compact() error {
	if len(c.node.Entries) < compactEntries && c.logBytes < c.compactThreshold {
		return nil
	}
	snapshot, err := c.store.Snapshot()
	if err != nil {
		return err
	}
	if c.node.CompactApplied(snapshot) == nil {
		return nil
	}
	c.logBytes = 0
	c.compactThreshold = max(minCompactBytes, 2*len(snapshot))
	return c.processOutput()
}

func (c *core) deadline() time.Time {
	next := c.node.NextTick()
	if c.divider != nil && c.divider.NextTick().Before(next) {
		next = c.divider.NextTick()
	}
	return next
}

// ask has the core do f and waits until it is done, or ctx ends.
func (c *core) runAndWait(ctx context.Context, f task) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(done)
		f(now)
	}
	select {
	case c.tasks <- wrapped:
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
func (c *core) enqueue(f task) {
	select {
	case c.tasks <- f:
	default:
	}
}

// onQuorum takes a message of another keeper.
func (c *core) handleQuorumMessage(params json.RawMessage) {
	var msg quorum.Message
	if err := json.Unmarshal(params, &msg); err != nil {
		c.log.Warn("quorum message cannot be read", "error", err)
		return
	}
	c.enqueue(func(now time.Time) { c.node.Step(now, msg) })
}

// onReport takes a router's report.
func (c *core) handleReport(conn *rpc.Conn, params json.RawMessage) {
	var report message.Report
	if err := json.Unmarshal(params, &report); err != nil {
		c.log.Warn("report cannot be read", "router", conn.Name(), "error", err)
		return
	}
	c.enqueue(func(now time.Time) {
		if c.divider == nil || !c.node.IsActiveLeader(now) {
			return
		}
		key := routerKey{report.Router, report.Incarnation}
		c.routers[key] = conn
		if report.Quarantine != nil {
			c.pendingReports = append(c.pendingReports, pendingReport{key, *report.Quarantine})
		}
		c.divider.HandleReport(now, report)
	})
}
