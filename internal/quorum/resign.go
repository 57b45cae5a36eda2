package quorum

import "time"

// successorHeadStart is how long the chosen successor may campaign before other members do: enough
// for some round trips and a disk write.
const successorHeadStart = 2 * HeartbeatInterval

// A follower grants its leader a lease: it votes for no other candidate within [ElectionTimeout] of
// the leader's last message, so a group that loses its leader waits that long. The lease protects
// only the leader, so it is void once the leader itself shows that it no longer leads: it resigns
// before it stops, or it requests votes in a later term after a restart. A leader that returns
// without its disk is a new member, and its request to join shows the same (MarkReplaced). Without
// these rules, each restart of a leader, or of all keepers at once, would leave the group without a
// leader until the lease has expired.
//
// A follower may restart in the meantime, so the state on disk holds the leader of the term. It is
// written before the follower grants a lease.

// Resign makes a leader a follower and asks the voter that holds the most of the log to start an
// election at once. The node must be stopped afterwards.
func (n *Node) Resign(now time.Time) {
	if n.role != Leader {
		return
	}
	chosen := n.successor()
	n.becomeFollower(now, "")
	n.leaseReleased = true
	for _, member := range n.Members() {
		if member.Voter && member.ID != n.ID {
			n.queueAfterSync(Message{Kind: MsgResign, To: member.ID, Successor: chosen})
		}
	}
}

// successor returns the ID of the other voter that holds the most of the log and, among equals, the
// one that answered last. It returns "" if there is none.
func (n *Node) successor() string {
	chosen := ""
	var best *peerProgress
	for _, member := range n.Members() {
		peer := n.peers[member.ID]
		if !member.Voter || member.ID == n.ID || peer == nil {
			continue
		}
		if best == nil || peer.matchIndex > best.matchIndex || peer.matchIndex == best.matchIndex && peer.lastAckedSend.After(best.lastAckedSend) {
			chosen, best = member.ID, peer
		}
	}
	return chosen
}

func (n *Node) onResign(now time.Time, request Message) {
	if n.role == Leader || request.From != n.state.Leader {
		return
	}
	n.leaseReleased, n.resignedTerm = true, request.Term
	if request.Successor == n.ID {
		n.fastCampaignUntil = now.Add(fastCampaignWindow) // the others may learn of the resignation later
		n.startPreVote(now)
		return
	}
	// The successor may hold less of the log than this node, or have failed as well.
	if earlier := now.Add(successorHeadStart + n.jitteredTimeout(now) - ElectionTimeout); earlier.Before(n.timerDeadline) {
		n.timerDeadline = earlier
	}
}

// releaseLeaseOnCampaign releases the lease if the message is a vote request of the leader it was
// granted to. A leader requests votes in a later term than its own only after it stopped leading, so
// a delayed request proves this as well.
func (n *Node) releaseLeaseOnCampaign(msg Message) {
	requestsVote := msg.Kind == MsgPreVote || msg.Kind == MsgVote
	if requestsVote && n.role != Leader && msg.Term > n.state.Term && msg.From == n.state.Leader {
		n.leaseReleased = true
	}
}

// MarkReplaced records that the process of a member has ended: another process, with its own disk,
// serves at the member's address and has asked this node to join in its place. Only one process at
// a time serves at an address, and it does so before it asks. It asks over a connection, so the
// request was sent after this node started.
//
// A node that restarts assumes that it granted a lease to the leader of its term on disk. If that
// leader is the replaced member, it no longer leads, and the lease is released. The request cannot
// be a delayed one from a process that ran before the leader's process: that process ended before
// the leader's process started, and that one had led before this node started. If a leader has sent
// a message since the start, this argument does not hold, and the lease is kept.
func (n *Node) MarkReplaced(now time.Time, id string) {
	if !n.noLeaderSinceStart || n.leaseReleased || n.role == Leader || n.state.Leader != id {
		return
	}
	n.leaseReleased = true
	n.fastCampaignUntil = now.Add(fastCampaignWindow) // the others may learn of the replacement later
	if earlier := now.Add(n.jitteredTimeout(now)); earlier.Before(n.timerDeadline) {
		n.timerDeadline = earlier
	}
}
