package quorum

import "time"

// afterSuccessor is how much time a successor has before others campaign: some round
// trips, and a write.
const afterSuccessor = 2 * HeartbeatInterval

// A follower promises its leader not to vote for another within [Election] of its last
// message, and the group waits that long when the leader is gone. Where the leader
// itself says that it leads no more, the promise is void: it is there for the
// leader's sake. It says so by resigning before it stops, or by asking for votes in
// a later term after a restart. One that comes back without its disk is another member,
// and its joining says so (Replaced). Else each restart of a leader, and of all keepers at
// once, would leave the group without one until the promise has lapsed.
//
// A node may have lost its memory of the leader meanwhile, so the state on disk holds
// the leader of the term; the disk is written before a promise is given.

// Resign makes a leader a follower and asks the one that holds most of the log to
// campaign at once. The node must be stopped after that.
func (n *Node) Resign(now time.Time) {
	if n.role != Leader {
		return
	}
	next := n.successor()
	n.follow(now, "")
	n.released = true
	for _, m := range n.Members() {
		if m.Voter && m.ID != n.ID {
			n.sendLate(Message{Kind: MsgResign, To: m.ID, Successor: next})
		}
	}
}

// successor returns the voter that holds most of the log, the one that answered last
// among equals; "" if there is none.
func (n *Node) successor() string {
	next := ""
	var best *progress
	for _, m := range n.Members() {
		p := n.peers[m.ID]
		if !m.Voter || m.ID == n.ID || p == nil {
			continue
		}
		if best == nil || p.match > best.match || p.match == best.match && p.acked.After(best.acked) {
			next, best = m.ID, p
		}
	}
	return next
}

func (n *Node) onResign(now time.Time, m Message) {
	if n.role == Leader || m.From != n.state.Leader {
		return
	}
	n.released, n.resigned = true, m.Term
	if m.Successor == n.ID {
		n.eager = now.Add(eagerFor) // the others may hear of it later
		n.campaign(now)
		return
	}
	// The successor may hold less of the log than this one, or be gone as well.
	if soon := now.Add(afterSuccessor + n.patience(now) - ElectionTimeout); soon.Before(n.deadline) {
		n.deadline = soon
	}
}

// noteCandidate takes from a request for votes that its sender leads no more. In the
// term that it led it was a candidate first; it asks for votes in a later term only
// once it has ceased to lead, so that a message that comes late proves the same.
func (n *Node) noteCandidate(m Message) {
	asks := m.Kind == MsgPreVote || m.Kind == MsgVote
	if asks && n.role != Leader && m.Term > n.state.Term && m.From == n.state.Leader {
		n.released = true
	}
}

// MarkReplaced notes that the process of a member has ended: another one, on a disk of its own,
// serves at its address and has asked this node to join in its place. One process at a time
// serves at an address, and it does before it asks; it asks over a connection, so after this
// node had started.
//
// A node that restarts counts as having promised the leader of its term on disk not to vote.
// If that is the member which was replaced, it leads no more, and nothing is to be waited
// out. The request cannot be a late one of a process that ran before the leader's: that
// ended before the leader was there, and the leader was there before this node started.
// Where a leader was heard since, this does not hold, and the promise stands.
func (n *Node) MarkReplaced(now time.Time, id string) {
	if !n.unheard || n.released || n.role == Leader || n.state.Leader != id {
		return
	}
	n.released = true
	n.eager = now.Add(eagerFor) // the others may hear of it later
	if soon := now.Add(n.patience(now)); soon.Before(n.deadline) {
		n.deadline = soon
	}
}
