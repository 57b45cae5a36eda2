// Package quorum agrees on one log among the keepers: terms, votes, leader
// lease, replication, snapshots and one-at-a-time changes of membership.
//
// A Node is deterministic. It takes a time and a message and leaves messages
// and writes to be done; it has no clock, goroutine, file or socket. The
// rules follow the published Raft algorithm (Ongaro, 2014), with pre-votes and
// a leader lease on the monotonic clock.
package quorum

import (
	"encoding/json"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

// A Member is one keeper of the group. ID is drawn when its data folder is
// founded: a keeper that lost its disk comes back under another ID, so that it
// can never vote on what its former self promised.
type Member struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// An EntryKind tells what an Entry holds.
type EntryKind uint8

// The kinds of entry. EntryNoOp opens each leader's term.
const (
	EntryNoOp EntryKind = iota
	EntryData
	EntryMembers
)

// An Entry is one place of the log. Indexes start at 1.
type Entry struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Kind    EntryKind       `json:"kind"`
	Data    json.RawMessage `json:"data,omitempty"`
	Members []Member        `json:"members,omitempty"`
}

// A State is what a Node must never forget.
type State struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
	// Leader is the leader of the term, once the node has heard it.
	Leader string `json:"leader,omitempty"`
}

// A Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Members []Member        `json:"members"`
	Data    json.RawMessage `json:"data"`
}

// A MessageKind tells what a Message asks or answers.
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

// A Message goes between two Nodes. It may be lost, doubled or late.
type Message struct {
	Kind MessageKind `json:"kind"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm are the last place of a candidate's log, the place
	// before Entries, or in an answer the last place known to match.
	Index       uint64    `json:"index,omitempty"`
	LogTerm     uint64    `json:"logterm,omitempty"`
	CommitIndex uint64    `json:"commit,omitempty"`
	Entries     []Entry   `json:"entries,omitempty"`
	Reject      bool      `json:"reject,omitempty"`
	SentAt      time.Time `json:"sent,omitzero"` // leader's clock, echoed in answers
	// Successor is whom a leader that resigns wants to follow it.
	Successor string `json:"next,omitempty"`
	// Snapshot replaces the log of a follower that is too far behind.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// A Role is what a Node does in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// An Output is what a Node wants done, in this order: send SendBeforeSync, make State,
// Snapshot and Append durable, call MarkDurable, send SendAfterSync, apply Committed.
type Output struct {
	SendBeforeSync []Message
	// SaveState says that State differs from what was saved before.
	SaveState bool
	State     State
	Snapshot  *Snapshot
	// Append replaces all saved entries from its first index on.
	Append        []Entry
	SendAfterSync []Message
	Committed     []Entry
	// RestoreFrom is a snapshot received from the leader, to be loaded before
	// Committed is applied.
	RestoreFrom *Snapshot
}

// NeedsSync reports whether the output holds anything to be written.
func (o Output) NeedsSync() bool {
	return o.SaveState || o.Snapshot != nil || len(o.Append) > 0
}

// NewNotLeaderError returns the refusal of a keeper that does not lead.
func NewNotLeaderError(leader string) error {
	return fleet.NewError(fleet.KindNotLeader, "ask the leader, or wait for one", "leader is %q", leader)
}

// ErrMembershipChangePending refuses a change of membership while another is on its way.
var ErrMembershipChangePending = fleet.NewError(fleet.KindPolicy, "wait until the change before is done",
	"a change of the keepers is on its way, or the leader is new")

func findMember(members []Member, id string) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

func voters(members []Member) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}
