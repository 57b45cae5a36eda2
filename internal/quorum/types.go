// Package quorum replicates a log among the keepers by consensus: leader election, leader leases,
// log replication, snapshots and membership changes, one at a time.
//
// A Node is a deterministic state machine. Its input is a time and a message, its output messages to
// send and data to write; it has no clock, goroutine, file or socket. It follows the published Raft
// algorithm (Ongaro, 2014), with pre-votes and a leader lease on the monotonic clock.
package quorum

import (
	"encoding/json"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

// A Member is one keeper of the group. ID is generated at random with the keeper's data folder: a
// keeper that lost its disk returns under a new ID, so that it cannot vote a second time in a term
// whose vote it has lost.
type Member struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// An EntryKind is the type of an Entry's content.
type EntryKind uint8

// The kinds of entry. EntryNoOp is the first entry of each leader's term and has no content.
const (
	EntryNoOp EntryKind = iota
	EntryData
	EntryMembers
)

// An Entry is one entry of the log. Indexes start at 1.
type Entry struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Kind    EntryKind       `json:"kind"`
	Data    json.RawMessage `json:"data,omitempty"`
	Members []Member        `json:"members,omitempty"`
}

// A State is the part of a Node, besides log and snapshot, that must survive a restart.
type State struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
	// Leader is the leader of the term, once the node has received a message from it.
	Leader string `json:"leader,omitempty"`
}

// A Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Members []Member        `json:"members"`
	Data    json.RawMessage `json:"data"`
}

// A MessageKind is the type of a request or a reply.
type MessageKind string

// The kinds of message.
const (
	MsgPreVote    MessageKind = "prevote"
	MsgPreVoteAck MessageKind = "prevoteack"
	MsgVote       MessageKind = "vote"
	MsgVoteAck    MessageKind = "voteack"
	MsgAppend     MessageKind = "append"
	MsgAppendAck  MessageKind = "appendack"
	MsgSnapshot   MessageKind = "snapshot"
	MsgResign     MessageKind = "resign"
)

// A Message is sent from one Node to another. It may be lost, duplicated, delayed or reordered.
type Message struct {
	Kind MessageKind `json:"kind"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm are the index and term of the last entry of a candidate's log, or of the
	// entry before Entries. In a reply, Index is the last index known to match or, with Reject, the
	// last one that may match.
	Index       uint64    `json:"index,omitempty"`
	LogTerm     uint64    `json:"logterm,omitempty"`
	CommitIndex uint64    `json:"commit,omitempty"`
	Entries     []Entry   `json:"entries,omitempty"`
	Reject      bool      `json:"reject,omitempty"`
	SentAt      time.Time `json:"sent,omitzero"` // leader's clock, echoed in replies
	// Successor is the ID of the member that a resigning leader asks to start an election.
	Successor string `json:"next,omitempty"`
	// Snapshot replaces the log of a follower whose next entry the leader has compacted.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// A Role is the part that a Node plays in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// An Output is the work that a Node requests, to be done in this order: send SendBeforeSync; make
// State, Snapshot and Append durable; call MarkDurable; send SendAfterSync; load RestoreFrom; apply
// Committed.
type Output struct {
	// SendBeforeSync and SendAfterSync are messages to send before and after the output is durable.
	SendBeforeSync []Message
	// SaveState means that State has changed and must be written.
	SaveState bool
	State     State
	Snapshot  *Snapshot
	// Append replaces all entries on disk from its first index on.
	Append        []Entry
	SendAfterSync []Message
	// Committed are the newly committed entries.
	Committed []Entry
	// RestoreFrom is a snapshot received from the leader. It must be loaded before Committed is
	// applied.
	RestoreFrom *Snapshot
}

// NeedsSync reports whether the output holds anything that must be made durable.
func (o Output) NeedsSync() bool {
	return o.SaveState || o.Snapshot != nil || len(o.Append) > 0
}

// NewNotLeaderError returns the error of a request that only the leader can handle. Leader is the ID
// of the leader, or "" if it is unknown.
func NewNotLeaderError(leader string) error {
	return fleet.NewError(fleet.KindNotLeader, "ask the leader, or wait for one", "leader is %q", leader)
}

// ErrMembershipChangePending is the error of a membership change while another is pending, or while
// the leader has not yet committed an entry of its term.
var ErrMembershipChangePending = fleet.NewError(fleet.KindPrecondition, "wait until the change before is done",
	"a change of the keepers is on its way, or the leader is new")

func findMember(members []Member, id string) (Member, bool) {
	i := slices.IndexFunc(members, func(member Member) bool { return member.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

func countVoters(members []Member) int {
	count := 0
	for _, member := range members {
		if member.Voter {
			count++
		}
	}
	return count
}
