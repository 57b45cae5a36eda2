package quorum

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// The timing of a group. With each message from its leader, a follower grants it a lease: it votes
// for no other candidate within ElectionTimeout of the leader's last message. The leader relies on
// the lease only for LeaseDuration after it sent the message; the margin covers clocks that run at
// different rates. A failed leader must be replaced well within a router's lease: a router whose
// lease expires gives up its slots, and a new leader may grant them again only after all older
// leases have expired.
const (
	ElectionTimeout   = 700 * time.Millisecond
	LeaseDuration     = ElectionTimeout * 3 / 4
	HeartbeatInterval = 100 * time.Millisecond
	// electionJitter is the maximum that jitteredTimeout adds to ElectionTimeout.
	electionJitter = ElectionTimeout / 2
	// idleTickInterval is the longest time without a Tick or Step that NextTick asks for. A node
	// that got neither for stallThreshold assumes that its process was stalled.
	idleTickInterval = 2 * HeartbeatInterval
	stallThreshold   = 2 * idleTickInterval
	// fastCampaignWindow is how long a restarted leader, or the successor of a leader that
	// resigned, retries elections at short intervals: the other members may still be starting.
	fastCampaignWindow = 2 * ElectionTimeout
)

const (
	maxBatchEntries    = 512
	maxBatchBytes      = 1 << 20
	maxInflightEntries = 4096
)

// A Node is the consensus state machine of one member. Set the exported fields and call Start, then
// call Step and Tick with times that never decrease.
type Node struct {
	ID string
	// SavedState is the state loaded from disk.
	SavedState State
	// Snapshot is the latest snapshot, at first the one loaded from disk. The zero value means none.
	Snapshot Snapshot
	// Entries are the log entries from Snapshot.Index+1 on, at first those loaded from disk.
	Entries []Entry

	state           State
	role            Role
	leader          string
	commitIndex     uint64
	appliedIndex    uint64
	durableIndex    uint64
	unsavedFrom     uint64 // first index that no Output has returned yet; 0 if none
	stateUnsaved    bool
	unsavedSnapshot *Snapshot
	restoreFrom     *Snapshot
	sendBeforeSync  []Message
	sendAfterSync   []Message

	members            []Member  // as of the end of the log
	lastLeaderContact  time.Time // last message from the term's leader, or the start
	noLeaderSinceStart bool      // no leader has sent a message since the start
	leaseReleased      bool      // the leader that the lease was granted to no longer leads
	resignedTerm       uint64    // last term whose leader has resigned
	fastCampaignUntil  time.Time // election timeouts are short until then
	electedAt          time.Time
	timerDeadline      time.Time // next election, or next heartbeat of a leader
	lastInput          time.Time // last Tick or Step
	stallEnd           time.Time // when the node resumed after its last stall
	stallGraceUsed     bool      // a stall already extended the wait, with no contact since
	electionAttempt    uint64
	votes              map[string]bool
	peers              map[string]*peerProgress
}

// peerProgress is the replication state that a leader keeps for one follower.
type peerProgress struct {
	matchIndex    uint64
	nextIndex     uint64
	lastAckedSend time.Time // newest SentAt that the follower has acknowledged
	// lastContact is lastAckedSend, or the start of the replication if that is later. Each stall of
	// the leader moves it by the length of the stall.
	lastContact time.Time
}

// Start makes the node a follower. The start counts as contact with the leader, since a node that
// restarts may have granted a lease before. If the node was the leader itself, that lease is over,
// and its election timeout is short.
func (n *Node) Start(now time.Time) {
	n.state = n.SavedState
	n.commitIndex = n.Snapshot.Index
	n.appliedIndex = n.Snapshot.Index
	n.durableIndex = n.lastIndex()
	n.lastLeaderContact, n.noLeaderSinceStart, n.lastInput = now, true, now
	n.members = n.membersAt(n.lastIndex())
	n.leaseReleased = n.state.Leader == n.ID
	if n.leaseReleased {
		n.fastCampaignUntil = now.Add(fastCampaignWindow)
	}
	n.becomeFollower(now, "")
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

// CommitIndex returns the last index that is known to be durable on a quorum.
func (n *Node) CommitIndex() uint64 {
	return n.commitIndex
}

// AllApplied reports whether TakeOutput has returned all committed entries.
func (n *Node) AllApplied() bool {
	return n.appliedIndex == n.commitIndex
}

// MatchIndex returns the last index up to which a member is known to hold the leader's log, or 0 if
// nothing is known.
func (n *Node) MatchIndex(id string) uint64 {
	if id == n.ID {
		return n.durableIndex
	}
	if peer := n.peers[id]; peer != nil {
		return peer.matchIndex
	}
	return 0
}

// LastFollowerContact returns the send time of the newest message that a follower has acknowledged,
// or the time when the leader started to replicate to it if that is later: a new member cannot have
// answered yet. The time in which this node was stalled does not count as silence of the follower.
func (n *Node) LastFollowerContact(id string) time.Time {
	if peer := n.peers[id]; peer != nil {
		return peer.lastContact
	}
	return n.electedAt
}

// LastLeaderContact returns when the node last received a message from a leader, or when it started.
func (n *Node) LastLeaderContact() time.Time {
	return n.lastLeaderContact
}

// NextTick returns when the node needs its next Tick: at its next election or heartbeat, and in any
// case soon enough to detect a stall of the process.
func (n *Node) NextTick() time.Time {
	if idleDeadline := n.lastInput.Add(idleTickInterval); idleDeadline.Before(n.timerDeadline) {
		return idleDeadline
	}
	return n.timerDeadline
}

// IsActiveLeader reports whether the node may act as leader at now: it has committed an entry of its
// term, and its lease from a quorum has not expired. Check it right before each action, since the
// process may have been suspended after an earlier check.
func (n *Node) IsActiveLeader(now time.Time) bool {
	return n.role == Leader && n.termAt(n.commitIndex) == n.state.Term && now.Before(n.leaseEnd(now))
}

// Tick advances the node's time to now. It starts an election or sends heartbeats when they are due.
func (n *Node) Tick(now time.Time) {
	n.detectStall(now)
	if now.Before(n.timerDeadline) {
		return
	}
	if n.role != Leader {
		n.startPreVote(now)
		return
	}
	if n.lostQuorum(now) {
		n.becomeFollower(now, "")
		return
	}
	n.timerDeadline = now.Add(HeartbeatInterval)
	n.broadcast(now, true)
}

// detectStall records an input and extends the election timeout if the process was stalled before
// it. After a stall, the silence of the other members proves nothing: their messages may be unread,
// and they may have been stalled too, on the same machine. The node waits for them once more; it
// does so again after a second stall only if it had contact with them in between.
func (n *Node) detectStall(now time.Time) {
	idle := now.Sub(n.lastInput)
	n.lastInput = now
	if idle >= stallThreshold {
		for _, peer := range n.peers {
			peer.lastContact = peer.lastContact.Add(idle)
		}
	}
	if idle < stallThreshold || n.stallGraceUsed || countVoters(n.Members()) < 2 {
		return
	}
	n.stallGraceUsed, n.stallEnd = true, now
	if earliest := now.Add(n.jitteredTimeout(now)); n.role != Leader && n.timerDeadline.Before(earliest) {
		n.timerDeadline = earliest
	}
}

// Propose appends one entry for each item of data and returns the index of the first entry and the
// term. The outcome of each is known once an entry at its index is committed: an entry of the
// returned term is the proposed one, and an entry of another term means that it was lost. Propose
// returns an error if the node is not the leader.
func (n *Node) Propose(now time.Time, data ...json.RawMessage) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, NewNotLeaderError(n.leader)
	}
	index = n.lastIndex() + 1
	for _, entryData := range data {
		n.appendAsLeader(Entry{Kind: EntryData, Data: entryData})
	}
	n.broadcast(now, false)
	return index, n.state.Term, nil
}

// TakeOutput returns the work that has accumulated since the last TakeOutput.
func (n *Node) TakeOutput() Output {
	output := Output{
		SendBeforeSync: n.sendBeforeSync,
		SendAfterSync:  n.sendAfterSync,
		SaveState:      n.stateUnsaved,
		State:          n.state,
		Snapshot:       n.unsavedSnapshot,
		RestoreFrom:    n.restoreFrom,
	}
	switch {
	case n.unsavedSnapshot != nil:
		output.Append = slices.Clone(n.Entries)
	case n.unsavedFrom > 0:
		output.Append = slices.Clone(n.Entries[n.unsavedFrom-n.Snapshot.Index-1:])
	}
	if n.commitIndex > n.appliedIndex {
		output.Committed = slices.Clone(n.Entries[n.appliedIndex-n.Snapshot.Index : n.commitIndex-n.Snapshot.Index])
		n.appliedIndex = n.commitIndex
	}
	n.sendBeforeSync, n.sendAfterSync, n.unsavedSnapshot, n.restoreFrom = nil, nil, nil, nil
	n.stateUnsaved, n.unsavedFrom = false, 0
	return output
}

// MarkDurable records that everything in the last output of TakeOutput is durable.
func (n *Node) MarkDurable() {
	if n.unsavedFrom > 0 {
		n.durableIndex = n.unsavedFrom - 1
	} else {
		n.durableIndex = n.lastIndex()
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// CompactApplied replaces the log, up to the last entry that TakeOutput returned to be applied, by a
// snapshot of the state at that entry. It returns nil if there is nothing to replace.
func (n *Node) CompactApplied(state json.RawMessage) *Snapshot {
	return n.Compact(n.appliedIndex, state)
}

// Compact replaces the log up to index by a snapshot of the state at that entry. It returns nil if
// the log is already compacted up to there or the entry is not applied yet.
func (n *Node) Compact(index uint64, state json.RawMessage) *Snapshot {
	if index <= n.Snapshot.Index || index > n.appliedIndex {
		return nil
	}
	snapshot := Snapshot{Index: index, Term: n.termAt(index), Members: n.membersAt(index), Data: state}
	n.Entries = slices.Clone(n.Entries[index-n.Snapshot.Index:])
	n.Snapshot = snapshot
	n.unsavedSnapshot = &snapshot
	return &snapshot
}

// lostQuorum reports whether a leader has had no answer from a quorum for so long that the quorum may
// elect another leader.
func (n *Node) lostQuorum(now time.Time) bool {
	quorumSilent := !now.Before(n.leaseEnd(now).Add(ElectionTimeout - LeaseDuration))
	if !quorumSilent {
		n.stallGraceUsed = false
	}
	return quorumSilent && now.Sub(n.electedAt) > ElectionTimeout && now.Sub(n.stallEnd) > ElectionTimeout
}

// leaseBlocksVote reports whether a lease of a leader still forbids the node to vote for another. A
// leader itself does not vote while its own lease may hold.
func (n *Node) leaseBlocksVote(now time.Time) bool {
	if n.role == Leader {
		return now.Before(n.leaseEnd(now).Add(ElectionTimeout - LeaseDuration))
	}
	return !n.leaseReleased && now.Before(n.lastLeaderContact.Add(ElectionTimeout))
}

func (n *Node) enterTerm(term uint64) {
	n.state = State{Term: term}
	n.stateUnsaved = true
}

func (n *Node) becomeFollower(now time.Time, leader string) {
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.peers = nil
	n.timerDeadline = now.Add(n.jitteredTimeout(now))
}

// jitteredTimeout returns the node's election timeout. It differs by member, term and attempt, so
// that two members seldom start an election at the same time.
func (n *Node) jitteredTimeout(now time.Time) time.Duration {
	hash := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = hash.Write([]byte(n.ID + "/" + strconv.FormatUint(n.state.Term, 10) + "/" + strconv.FormatUint(n.electionAttempt, 10)))
	if now.Before(n.fastCampaignUntil) {
		return HeartbeatInterval/2 + time.Duration(hash.Sum64()%uint64(HeartbeatInterval))
	}
	return ElectionTimeout + time.Duration(hash.Sum64()%uint64(electionJitter))
}

func (n *Node) lastIndex() uint64 {
	return n.Snapshot.Index + uint64(len(n.Entries))
}

// termAt returns the term of the entry at index, or 0 if the log does not hold it.
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

// appendAsLeader appends an entry of the node's own term.
func (n *Node) appendAsLeader(entry Entry) {
	entry.Index = n.lastIndex() + 1
	entry.Term = n.state.Term
	n.appendEntry(entry)
}

func (n *Node) appendEntry(entry Entry) {
	n.Entries = append(n.Entries, entry)
	if entry.Kind == EntryMembers {
		n.members = entry.Members
	}
	n.markUnsaved(entry.Index)
}

func (n *Node) markUnsaved(index uint64) {
	if n.unsavedFrom == 0 || index < n.unsavedFrom {
		n.unsavedFrom = index
	}
}

func (n *Node) queueBeforeSync(msg Message) {
	msg.From, msg.Term = n.ID, n.state.Term
	n.sendBeforeSync = append(n.sendBeforeSync, msg)
}

func (n *Node) queueAfterSync(msg Message) {
	msg.From = n.ID
	if msg.Term == 0 {
		msg.Term = n.state.Term
	}
	n.sendAfterSync = append(n.sendAfterSync, msg)
}
