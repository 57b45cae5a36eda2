package quorum

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// The timing of a group. A follower promises its leader not to vote for
// another within ElectionTimeout of the leader's last message. The leader trusts that
// promise for LeaseDuration only, counted from when it sent the message: the margin
// covers clocks that run at different speeds. A leader lost must be replaced
// well within a router's lease: a router whose lease lapses gives its slots up,
// and a new leader may give them out only once every older lease has lapsed.
const (
	ElectionTimeout   = 700 * time.Millisecond
	LeaseDuration     = ElectionTimeout * 3 / 4
	HeartbeatInterval = 100 * time.Millisecond
	// spread is how far the members' patience differs.
	spread = ElectionTimeout / 2
	// idleTick is after how long without a message a node wants to be told the time, and
	// standstill for how long it was told nothing at least if its process stood still.
	idleTick   = 2 * HeartbeatInterval
	standstill = 2 * idleTick
	// eagerFor is for how long a leader that has restarted, or the successor of one that
	// resigned, asks for votes at short intervals: the others may still be starting.
	eagerFor = 2 * ElectionTimeout
)

const (
	maxBatchEntries = 512
	maxBatchBytes   = 1 << 20
	maxWindow       = 4096
)

// A Node is one member's part in the agreement. Set the exported fields, call
// Start, then Step and Tick with times that never go back.
type Node struct {
	ID string
	// SavedState is the state found on disk.
	SavedState State
	// Snapshot is the snapshot found on disk; its zero value means none.
	Snapshot Snapshot
	// Entries are the entries found on disk, from Base.Index+1 on.
	Entries []Entry

	state           State
	role            Role
	leader          string
	commit          uint64
	applied         uint64
	synced          uint64
	saveFrom        uint64 // first index not yet handed out to be saved; 0 if none
	save            bool
	unsavedSnapshot *Snapshot
	restore         *Snapshot
	early           []Message
	late            []Message

	members  []Member  // as of the end of the log
	heard    time.Time // last message of the term's leader
	unheard  bool      // no leader was heard since the start
	released bool      // the leader heard last does not lead any more
	resigned uint64    // last term whose leader has resigned
	eager    time.Time // until when the node campaigns without patience
	elected  time.Time
	deadline time.Time // of the election, or the next heartbeat
	seen     time.Time // when the node was last told anything
	woke     time.Time // when it went on after a standstill
	waited   bool      // for the others, since the node heard of any of them last
	attempt  uint64
	votes    map[string]bool
	peers    map[string]*progress
}

// progress is what a leader knows of one follower.
type progress struct {
	match uint64
	next  uint64
	acked time.Time // newest Sent that the follower has answered
	since time.Time // when the leader first sent to it
}

// Start makes the node a follower. It counts as having just heard a leader: a
// node that restarts may have promised one not to vote. One that was the leader
// itself knows that it leads no more, and campaigns at once.
func (n *Node) Start(now time.Time) {
	n.state = n.SavedState
	n.commit = n.Snapshot.Index
	n.applied = n.Snapshot.Index
	n.synced = n.lastIndex()
	n.heard, n.unheard, n.seen = now, true, now
	n.members = n.membersAt(n.lastIndex())
	n.released = n.state.Leader == n.ID
	if n.released {
		n.eager = now.Add(eagerFor)
	}
	n.follow(now, "")
}

// Role returns the node's role.
func (n *Node) Role() Role {
	return n.role
}

// LeaderID returns the leader of the node's term, or "".
func (n *Node) LeaderID() string {
	return n.leader
}

// Term returns the node's term.
func (n *Node) Term() uint64 {
	return n.state.Term
}

// CommitIndex returns the last index known to be durable on a quorum.
func (n *Node) CommitIndex() uint64 {
	return n.commit
}

// AllApplied reports whether all that is committed was taken to be applied.
func (n *Node) AllApplied() bool {
	return n.applied == n.commit
}

// MatchIndex returns how far a follower is known to hold the leader's log.
func (n *Node) MatchIndex(id string) uint64 {
	if id == n.ID {
		return n.synced
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// LastFollowerContact returns when a follower last answered its leader, or when the leader
// first sent to it if that is later: a new one cannot have answered yet.
func (n *Node) LastFollowerContact(id string) time.Time {
	p := n.peers[id]
	if p == nil {
		return n.elected
	}
	if p.acked.After(p.since) {
		return p.acked
	}
	return p.since
}

// LastLeaderContact returns when the node last heard the leader of its term, or when
// it started.
func (n *Node) LastLeaderContact() time.Time {
	return n.heard
}

// NextTick returns when the node wants its next Tick.
func (n *Node) NextTick() time.Time {
	if idle := n.seen.Add(idleTick); idle.Before(n.deadline) {
		return idle
	}
	return n.deadline
}

// IsActiveLeader reports whether the node may act as leader at now: it has committed an
// entry of its term and a quorum's promises not to vote still hold. It must be
// asked at the moment of each act, since a process may have been frozen.
func (n *Node) IsActiveLeader(now time.Time) bool {
	return n.role == Leader && n.termAt(n.commit) == n.state.Term && now.Before(n.leaseEnd(now))
}

// Tick tells the node the time.
func (n *Node) Tick(now time.Time) {
	n.observe(now)
	if now.Before(n.deadline) {
		return
	}
	if n.role != Leader {
		n.campaign(now)
		return
	}
	if n.abandoned(now) {
		n.follow(now, "")
		return
	}
	n.deadline = now.Add(HeartbeatInterval)
	n.broadcast(now, true)
}

// observe notes that the node is told something. After a standstill of its process the
// silence of the others proves nothing: what they sent is yet to be read, and they may have
// stood still as well, on the same machine. The node waits for them once more; a second
// standstill counts only when it has heard of them in between.
func (n *Node) observe(now time.Time) {
	silent := now.Sub(n.seen)
	n.seen = now
	if silent < standstill || n.waited || voters(n.Members()) < 2 {
		return
	}
	n.waited, n.woke = true, now
	if wait := now.Add(n.patience(now)); n.role != Leader && n.deadline.Before(wait) {
		n.deadline = wait
	}
}

// Propose appends data to the log and returns the index of the first, and the
// term. Each is decided once the entry at its index is committed: in that term
// it was accepted, in another it was lost.
func (n *Node) Propose(now time.Time, data ...json.RawMessage) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, NewNotLeaderError(n.leader)
	}
	index = n.lastIndex() + 1
	for _, d := range data {
		n.append(Entry{Kind: EntryData, Data: d})
	}
	n.broadcast(now, false)
	return index, n.state.Term, nil
}

// TakeOutput returns what is to be done since the last TakeOutput.
func (n *Node) TakeOutput() Output {
	out := Output{
		SendBeforeSync: n.early,
		SendAfterSync:  n.late,
		SaveState:      n.save,
		State:          n.state,
		Snapshot:       n.unsavedSnapshot,
		RestoreFrom:    n.restore,
	}
	switch {
	case n.unsavedSnapshot != nil:
		out.Append = slices.Clone(n.Entries)
	case n.saveFrom > 0:
		out.Append = slices.Clone(n.Entries[n.saveFrom-n.Snapshot.Index-1:])
	}
	if n.commit > n.applied {
		out.Committed = slices.Clone(n.Entries[n.applied-n.Snapshot.Index : n.commit-n.Snapshot.Index])
		n.applied = n.commit
	}
	n.early, n.late, n.unsavedSnapshot, n.restore = nil, nil, nil, nil
	n.save, n.saveFrom = false, 0
	return out
}

// MarkDurable tells the node that everything of the last TakeOutput is durable.
func (n *Node) MarkDurable() {
	if n.saveFrom > 0 {
		n.synced = n.saveFrom - 1
	} else {
		n.synced = n.lastIndex()
	}
	if n.role == Leader {
		n.advance()
	}
}

// CompactApplied replaces the log, up to what was last taken to be applied, by
// a snapshot of the state there.
func (n *Node) CompactApplied(data json.RawMessage) *Snapshot {
	return n.Compact(n.applied, data)
}

// Compact replaces the log up to index by a snapshot of the state there.
func (n *Node) Compact(index uint64, data json.RawMessage) *Snapshot {
	if index <= n.Snapshot.Index || index > n.applied {
		return nil
	}
	s := Snapshot{Index: index, Term: n.termAt(index), Members: n.membersAt(index), Data: data}
	n.Entries = slices.Clone(n.Entries[index-n.Snapshot.Index:])
	n.Snapshot = s
	n.unsavedSnapshot = &s
	return &s
}

// abandoned reports whether a quorum has been silent for so long that it may
// elect another leader.
func (n *Node) abandoned(now time.Time) bool {
	silent := !now.Before(n.leaseEnd(now).Add(ElectionTimeout - LeaseDuration))
	if !silent {
		n.waited = false
	}
	return silent && now.Sub(n.elected) > ElectionTimeout && now.Sub(n.woke) > ElectionTimeout
}

// promised reports whether the node has promised a leader not to vote.
func (n *Node) promised(now time.Time) bool {
	if n.role == Leader {
		return now.Before(n.leaseEnd(now).Add(ElectionTimeout - LeaseDuration))
	}
	return !n.released && now.Before(n.heard.Add(ElectionTimeout))
}

func (n *Node) enter(term uint64) {
	n.state = State{Term: term}
	n.save = true
}

func (n *Node) follow(now time.Time, leader string) {
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.peers = nil
	n.deadline = now.Add(n.patience(now))
}

// patience returns how long the node waits for a leader. It differs by member
// and attempt, so that two seldom campaign at once.
func (n *Node) patience(now time.Time) time.Duration {
	h := fnv.New64a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(n.ID + "/" + strconv.FormatUint(n.state.Term, 10) + "/" + strconv.FormatUint(n.attempt, 10)))
	if now.Before(n.eager) {
		return HeartbeatInterval/2 + time.Duration(h.Sum64()%uint64(HeartbeatInterval))
	}
	return ElectionTimeout + time.Duration(h.Sum64()%uint64(spread))
}

func (n *Node) lastIndex() uint64 {
	return n.Snapshot.Index + uint64(len(n.Entries))
}

// termAt returns the term of the entry at index, or 0 if it is not known.
func (n *Node) termAt(index uint64) uint64 {
	switch {
	case index == n.Snapshot.Index:
		return n.Snapshot.Term
	case index < n.Snapshot.Index || index > n.lastIndex():
		return 0
	default:
		return n.Entries[index-n.Snapshot.Index-1].Term
	}
}

func (n *Node) append(e Entry) {
	e.Index = n.lastIndex() + 1
	e.Term = n.state.Term
	n.put(e)
}

func (n *Node) put(e Entry) {
	n.Entries = append(n.Entries, e)
	if e.Kind == EntryMembers {
		n.members = e.Members
	}
	n.mark(e.Index)
}

func (n *Node) mark(index uint64) {
	if n.saveFrom == 0 || index < n.saveFrom {
		n.saveFrom = index
	}
}

func (n *Node) sendEarly(m Message) {
	m.From, m.Term = n.ID, n.state.Term
	n.early = append(n.early, m)
}

func (n *Node) sendLate(m Message) {
	m.From = n.ID
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	n.late = append(n.late, m)
}
