package quorum

import "time"

// startPreVote asks the other voters whether they would vote for this node, without raising the
// term. A member cut off from the group thus stays in its term and does not depose a healthy
// leader when it reconnects.
func (n *Node) startPreVote(now time.Time) {
	n.electionAttempt++
	n.becomeFollower(now, "")
	if self, ok := findMember(n.Members(), n.ID); !ok || !self.Voter {
		return
	}
	n.role = PreCandidate
	n.votes = map[string]bool{n.ID: true}
	if n.hasVoteQuorum() {
		n.startElection(now)
		return
	}
	n.requestVotes(MsgPreVote, n.state.Term+1)
}

// startElection raises the term, votes for the node itself and requests the votes of the others.
func (n *Node) startElection(now time.Time) {
	n.enterTerm(n.state.Term + 1)
	n.state.Vote = n.ID
	n.role = Candidate
	n.votes = map[string]bool{n.ID: true}
	n.timerDeadline = now.Add(n.jitteredTimeout(now))
	if n.hasVoteQuorum() {
		n.becomeLeader(now)
		return
	}
	n.requestVotes(MsgVote, n.state.Term)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	lastIndex := n.lastIndex()
	for _, member := range n.Members() {
		if member.Voter && member.ID != n.ID {
			n.queueAfterSync(Message{Kind: kind, To: member.ID, Term: term, Index: lastIndex, LogTerm: n.termAt(lastIndex)})
		}
	}
}

func (n *Node) hasVoteQuorum() bool {
	granted := 0
	for _, member := range n.Members() {
		if member.Voter && n.votes[member.ID] {
			granted++
		}
	}
	return granted > countVoters(n.Members())/2
}

// logUpToDate reports whether the candidate's log is at least as up to date as this node's: its
// last entry has a later term, or the same term and at least the same index. A candidate that
// passes this check at a quorum holds all committed entries.
func (n *Node) logUpToDate(candidate Message) bool {
	lastIndex := n.lastIndex()
	lastTerm := n.termAt(lastIndex)
	return candidate.LogTerm > lastTerm || candidate.LogTerm == lastTerm && candidate.Index >= lastIndex
}

func (n *Node) onPreVote(now time.Time, request Message) {
	granted := request.Term > n.state.Term && !n.leaseBlocksVote(now) && n.logUpToDate(request)
	reply := Message{Kind: MsgPreVoteAck, To: request.From, Term: request.Term, Reject: !granted}
	if !granted {
		reply.Term = n.state.Term
	}
	n.queueAfterSync(reply)
}

func (n *Node) onPreVoteAck(now time.Time, reply Message) {
	if n.role != PreCandidate || reply.Reject || reply.Term != n.state.Term+1 {
		return
	}
	n.votes[reply.From] = true
	if n.hasVoteQuorum() {
		n.startElection(now)
	}
}

func (n *Node) onVote(now time.Time, request Message) {
	canVote := n.state.Vote == "" || n.state.Vote == request.From
	granted := canVote && !n.leaseBlocksVote(now) && n.logUpToDate(request)
	if granted {
		n.state.Vote = request.From
		n.stateUnsaved = true
		n.timerDeadline = now.Add(n.jitteredTimeout(now))
	}
	n.queueAfterSync(Message{Kind: MsgVoteAck, To: request.From, Reject: !granted})
}

func (n *Node) onVoteAck(now time.Time, reply Message) {
	if n.role != Candidate || reply.Reject {
		return
	}
	n.votes[reply.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader(now)
	}
}

// becomeLeader makes the node the leader and appends a no-op entry of its term. Until that entry is
// committed, the leader cannot tell which earlier entries are.
func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.ID
	n.state.Leader = n.ID
	n.stateUnsaved = true
	n.fastCampaignUntil = time.Time{}
	n.electedAt = now
	n.peers = make(map[string]*peerProgress)
	for _, member := range n.Members() {
		n.peers[member.ID] = &peerProgress{nextIndex: n.lastIndex() + 1, lastContact: now}
	}
	n.appendAsLeader(Entry{Kind: EntryNoOp})
	n.timerDeadline = now.Add(HeartbeatInterval)
	n.broadcast(now, true)
}
