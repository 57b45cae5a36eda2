package quorum

import "time"

// Step takes a message.
func (n *Node) Step(now time.Time, m Message) {
	if m.To != n.ID {
		return
	}
	n.observe(now)
	n.noteCandidate(m)
	if m.Term > n.state.Term && !n.accepts(now, m) {
		return
	}
	if m.Term < n.state.Term {
		n.refuseOld(m)
		return
	}
	switch m.Kind {
	case MsgResign:
		n.onResign(now, m)
	case MsgPreVote:
		n.onPreVote(now, m)
	case MsgPreVoteAck:
		n.onPreVoteAck(now, m)
	case MsgVote:
		n.onVote(now, m)
	case MsgVoteAck:
		n.onVoteAck(now, m)
	case MsgAppend:
		n.onAppend(now, m)
	case MsgAppendAck:
		n.onAppendAck(now, m)
	case MsgSnapshot:
		n.onSnapshot(now, m)
	}
}

// accepts handles a message of a later term and reports whether to go on.
func (n *Node) accepts(now time.Time, m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteAck:
		if !m.Reject {
			return true
		}
	case MsgVote:
		// A member that was cut off must not depose a leader that others
		// still hear: their promise to it holds.
		if n.promised(now) {
			return false
		}
	default:
	}
	n.enter(m.Term)
	n.follow(now, "")
	return true
}

// refuseOld answers a message of an earlier term, so that its sender learns of
// the later one.
func (n *Node) refuseOld(m Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		n.sendLate(Message{Kind: MsgAppendAck, To: m.From, Reject: true})
	case MsgPreVote:
		n.sendLate(Message{Kind: MsgPreVoteAck, To: m.From, Reject: true})
	default:
	}
}
