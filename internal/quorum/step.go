package quorum

import "time"

// Step handles a message that arrived at now. Messages for other nodes are ignored.
func (n *Node) Step(now time.Time, msg Message) {
	if msg.To != n.ID {
		return
	}
	n.detectStall(now)
	n.releaseLeaseOnCampaign(msg)
	if msg.Term > n.state.Term && !n.handleLaterTerm(now, msg) {
		return
	}
	if msg.Term < n.state.Term {
		n.rejectEarlierTerm(msg)
		return
	}
	switch msg.Kind {
	case MsgResign:
		n.onResign(now, msg)
	case MsgPreVote:
		n.onPreVote(now, msg)
	case MsgPreVoteAck:
		n.onPreVoteAck(now, msg)
	case MsgVote:
		n.onVote(now, msg)
	case MsgVoteAck:
		n.onVoteAck(now, msg)
	case MsgAppend:
		n.onAppend(now, msg)
	case MsgAppendAck:
		n.onAppendAck(now, msg)
	case MsgSnapshot:
		n.onSnapshot(now, msg)
	}
}

// handleLaterTerm enters the later term of a message and reports whether the message is to be
// handled. A pre-vote request and a granted pre-vote leave the node in its term. A vote request that
// a lease blocks is ignored.
func (n *Node) handleLaterTerm(now time.Time, msg Message) bool {
	switch msg.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteAck:
		if !msg.Reject {
			return true
		}
	case MsgVote:
		// A member that was cut off must not depose a leader that others still hear from.
		if n.leaseBlocksVote(now) {
			return false
		}
	default:
	}
	n.enterTerm(msg.Term)
	n.becomeFollower(now, "")
	return true
}

// rejectEarlierTerm rejects a message of an earlier term, so that its sender learns the later term.
func (n *Node) rejectEarlierTerm(msg Message) {
	switch msg.Kind {
	case MsgAppend, MsgSnapshot:
		n.queueAfterSync(Message{Kind: MsgAppendAck, To: msg.From, Reject: true})
	case MsgPreVote:
		n.queueAfterSync(Message{Kind: MsgPreVoteAck, To: msg.From, Reject: true})
	default:
	}
}
