package quorum

import "time"

// campaign asks the others whether they would vote, without raising the term.
// A member that is cut off stays in its term this way, and does not depose a
// healthy leader on its return.
func (n *Node) campaign(now time.Time) {
	n.attempt++
	n.follow(now, "")
	if me, ok := findMember(n.Members(), n.ID); !ok || !me.Voter {
		return
	}
	n.role = PreCandidate
	n.votes = map[string]bool{n.ID: true}
	if n.won() {
		n.stand(now)
		return
	}
	n.askVotes(MsgPreVote, n.state.Term+1)
}

// stand asks for votes in a new term.
func (n *Node) stand(now time.Time) {
	n.enter(n.state.Term + 1)
	n.state.Vote = n.ID
	n.role = Candidate
	n.votes = map[string]bool{n.ID: true}
	n.deadline = now.Add(n.patience(now))
	if n.won() {
		n.lead(now)
		return
	}
	n.askVotes(MsgVote, n.state.Term)
}

func (n *Node) askVotes(kind MessageKind, term uint64) {
	last := n.lastIndex()
	for _, m := range n.Members() {
		if m.Voter && m.ID != n.ID {
			n.sendLate(Message{Kind: kind, To: m.ID, Term: term, Index: last, LogTerm: n.termAt(last)})
		}
	}
}

func (n *Node) won() bool {
	granted := 0
	for _, m := range n.Members() {
		if m.Voter && n.votes[m.ID] {
			granted++
		}
	}
	return granted > voters(n.Members())/2
}

// current reports whether a candidate's log holds all that was committed.
func (n *Node) current(m Message) bool {
	last := n.lastIndex()
	lastTerm := n.termAt(last)
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= last
}

func (n *Node) onPreVote(now time.Time, m Message) {
	grant := m.Term > n.state.Term && !n.promised(now) && n.current(m)
	answer := Message{Kind: MsgPreVoteAck, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		answer.Term = n.state.Term
	}
	n.sendLate(answer)
}

func (n *Node) onPreVoteAck(now time.Time, m Message) {
	if n.role != PreCandidate || m.Reject || m.Term != n.state.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.won() {
		n.stand(now)
	}
}

func (n *Node) onVote(now time.Time, m Message) {
	free := n.state.Vote == "" || n.state.Vote == m.From
	grant := free && !n.promised(now) && n.current(m)
	if grant {
		n.state.Vote = m.From
		n.save = true
		n.deadline = now.Add(n.patience(now))
	}
	n.sendLate(Message{Kind: MsgVoteAck, To: m.From, Reject: !grant})
}

func (n *Node) onVoteAck(now time.Time, m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.won() {
		n.lead(now)
	}
}

// lead makes the node leader and opens its term with an empty entry: only once
// that is committed does the leader know what is.
func (n *Node) lead(now time.Time) {
	n.role = Leader
	n.leader = n.ID
	n.state.Leader = n.ID
	n.save = true
	n.eager = time.Time{}
	n.elected = now
	n.peers = make(map[string]*progress)
	for _, m := range n.Members() {
		n.peers[m.ID] = &progress{next: n.lastIndex() + 1, since: now}
	}
	n.append(Entry{Kind: EntryNoOp})
	n.deadline = now.Add(HeartbeatInterval)
	n.broadcast(now, true)
}
