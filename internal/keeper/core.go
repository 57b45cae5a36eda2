package keeper

import (
	"context"
	"encoding/json"
	"errors"
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
	// compactEntries is how many entries the log may hold before it is replaced by a snapshot.
	compactEntries = 8192
	// minCompactBytes is the least size of the log before it is replaced by a snapshot. The
	// threshold grows with the size of the snapshots, so that writing them stays a small part of
	// the work.
	minCompactBytes = 4 << 20
)

// A core is the event loop of a keeper. A single goroutine owns the fields and the disk, and runs
// the tasks that other goroutines send.
type core struct {
	clock          clock.Clock
	log            hclog.Logger
	journal        *journal.Journal
	transport      transport
	tasks          chan task
	damagedEntries atomic.Uint64 // damaged entries in the readings of the list of targets

	node       *quorum.Node
	store      statestore.Store
	divider    *fairshare.Divider // nil unless this keeper leads
	routers    map[routerKey]*rpc.Conn
	waiters    map[uint64]waiter // by index of the log entry
	leavingVMs leavingVMs
	renewals   renewalState
	// zones are the availability zones in the settings.
	zones []fleet.Zone
	// readsTargetList says that the leader reads the platform's list of targets.
	readsTargetList   bool
	listedZones       listedZones
	loggedUnconfirmed []fleet.Zone // evacuated zones without targets, as last logged
	// zoneCheckDeadline is until when a leader of this term defers orders for unchecked zones.
	zoneCheckDeadline time.Time
	// coordinator decides which requests are quarantined; only a leader has one. lastReports are
	// the last quarantine reports of the routers that serve events.
	coordinator    *quarantine.Coordinator
	lastReports    map[routerKey]quarantine.Report
	pendingReports []pendingReport // received since the last runOnce
	// autoMembers says that the leader removes unreachable members without an operator.
	autoMembers      bool
	pendingClaims    []claimCall // to be proposed in the next entry
	pendingSettles   []settleCall
	logBytes         int // size of the log since the last snapshot
	compactThreshold int
}

// A transport sends the messages of a core to other processes. It may lose messages.
type transport interface {
	send(msg quorum.Message)
	sendGrant(conn *rpc.Conn, grant message.Grant)
	setMembers(selfID string, members []quorum.Member)
}

// A routerKey identifies one incarnation of a router.
type routerKey struct {
	name        string
	incarnation uint64
}

// A task is a function that the event loop runs.
type task func(now time.Time)

// A waiter receives the outcome of the log entry that was proposed at an index and term.
type waiter struct {
	term uint64
	done func(statestore.Result, error)
}

// A claimCall is a call that waits until its claims are committed.
type claimCall struct {
	claims []message.Claim
	done   func([]message.ClaimResult, error)
}

// A settleCall is a call that waits until its settlements are committed.
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

// run runs the event loop until ctx ends or the disk fails. A keeper that cannot make its
// promises durable must not make any.
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

// resign transfers leadership, so that the group need not wait for an election timeout to detect
// that its leader has stopped.
func (c *core) resign() error {
	if c.node.Role() != quorum.Leader {
		return nil
	}
	c.log.Info("resigning: this keeper stops", "term", c.node.Term())
	c.node.Resign(c.clock.Now())
	c.stepDown()
	return c.processOutput()
}

// start loads the state from the data folder and starts the quorum node.
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

// drainTasks runs the tasks that are already queued, so that one sync of the disk serves many of
// them.
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

// runOnce runs one iteration of the event loop: it advances the quorum node's time, proposes what
// the tasks have collected, and makes it durable.
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

// processOutput carries out the output of the quorum node until there is none left.
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

// slowWriteThreshold is how long a write to the log takes before the disk counts as slow: one and
// a half heartbeats.
const slowWriteThreshold = 3 * quorum.HeartbeatInterval / 2

// writeLog makes an output durable.
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
		c.log.Info("snapshot taken over", "index", output.RestoreFrom.Index, "number", c.store.ConfigNumber())
	}
	for _, entry := range output.Committed {
		c.applyEntry(entry)
	}
	return nil
}

// isReadyLeader reports whether this keeper may answer for the state of the group. An earlier task
// of the same iteration may have committed entries that are applied only at the end of the
// iteration; until then the store is older than what was acknowledged.
func (c *core) isReadyLeader(now time.Time) bool {
	return c.node.IsActiveLeader(now) && c.node.AllApplied()
}

func (c *core) applyEntry(entry quorum.Entry) {
	var result statestore.Result
	var err error
	if entry.Kind == quorum.EntryData {
		previousNumber := c.store.ConfigNumber()
		previousRoutesNumber := c.store.RouteConfig().Number
		previousEvacuations := c.store.EvacuatedZones()
		result, err = c.store.ApplyCommand(entry.Data)
		if err != nil {
			c.log.Error("command refused", "index", entry.Index, "error", err)
		}
		if c.store.ConfigNumber() != previousNumber {
			c.log.Info("configuration accepted", "number", c.store.ConfigNumber(), "digest", c.store.ConfigDigest(), "index", entry.Index)
			c.updateDividerConfig()
		}
		c.handleEvacuationChange(previousEvacuations, c.store.EvacuatedZones())
		if document := c.store.RouteConfig(); document.Number != previousRoutesNumber {
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
		err = errNoQuorum
	}
	waiter.done(result, err)
}

// compact replaces the log by a snapshot once the log has reached one of the thresholds.
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

// deadline returns when runOnce must run again at the latest.
func (c *core) deadline() time.Time {
	next := c.node.NextTick()
	if c.divider != nil && c.divider.NextTick().Before(next) {
		next = c.divider.NextTick()
	}
	return next
}

// runAndWait runs f in the event loop. It returns when f is done or ctx ends.
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
	_, err := receive(ctx, done)
	return err
}

// lateResultTimeout is how long a result is awaited after the time for it is up.
const lateResultTimeout = 50 * time.Millisecond

// receive receives a result, or the closing of its channel, until ctx ends. If the deadline of ctx has
// passed, a result is still received that is there or follows at once: the process may have been
// suspended.
func receive[T any](ctx context.Context, results <-chan T) (result T, err error) {
	select {
	case result = <-results:
		return result, nil
	case <-ctx.Done():
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result, ctx.Err()
	}
	timer := time.NewTimer(lateResultTimeout)
	defer timer.Stop()
	select {
	case result = <-results:
		return result, nil
	case <-timer.C:
		return result, ctx.Err()
	}
}

// enqueue queues f for the event loop. It drops f if the queue is full, so it is for input
// that is repeated.
func (c *core) enqueue(f task) {
	select {
	case c.tasks <- f:
	default:
	}
}

// handleQuorumMessage processes a quorum message of another keeper.
func (c *core) handleQuorumMessage(params json.RawMessage) {
	var msg quorum.Message
	if err := json.Unmarshal(params, &msg); err != nil {
		c.log.Warn("quorum message cannot be read", "error", err)
		return
	}
	c.enqueue(func(now time.Time) { c.node.Step(now, msg) })
}

// handleReport processes a report of a router that serves events.
func (c *core) handleReport(conn *rpc.Conn, params json.RawMessage) {
	var report message.Report
	if err := json.Unmarshal(params, &report); err != nil {
		c.log.Warn("report cannot be read", "router", conn.PeerName(), "error", err)
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
