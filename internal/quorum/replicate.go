package quorum

import (
	"slices"
	"time"
)

// broadcast sends each other member the entries that were not sent to it yet; a heartbeat is sent
// even without entries. A follower that missed a batch rejects the next heartbeat and returns the
// end of its log.
func (n *Node) broadcast(now time.Time, heartbeat bool) {
	for _, member := range n.Members() {
		if member.ID != n.ID {
			n.replicate(now, member.ID, heartbeat)
		}
	}
}

// replicate sends a member all entries that its window allows, or the snapshot if the next entry is
// compacted.
func (n *Node) replicate(now time.Time, id string, heartbeat bool) {
	peer := n.peers[id]
	if peer == nil {
		peer = &peerProgress{nextIndex: n.lastIndex() + 1, lastContact: now}
		n.peers[id] = peer
	}
	if peer.nextIndex <= n.Snapshot.Index {
		n.sendSnapshot(now, id, peer, heartbeat)
		return
	}
	for n.sendEntries(now, id, peer, heartbeat) {
		heartbeat = false
	}
}

// sendEntries sends one batch and reports whether there may be more to send.
func (n *Node) sendEntries(now time.Time, id string, peer *peerProgress, heartbeat bool) bool {
	batch := n.nextBatch(peer)
	if len(batch) == 0 && !heartbeat {
		return false
	}
	prevIndex := peer.nextIndex - 1
	n.queueBeforeSync(Message{
		Kind: MsgAppend, To: id, Index: prevIndex, LogTerm: n.termAt(prevIndex),
		CommitIndex: n.commitIndex, Entries: batch, SentAt: now,
	})
	peer.nextIndex += uint64(len(batch))
	return len(batch) > 0
}

func (n *Node) nextBatch(peer *peerProgress) []Entry {
	if peer.nextIndex > peer.matchIndex+maxInflightEntries {
		return nil
	}
	unsent := n.Entries[peer.nextIndex-n.Snapshot.Index-1:]
	size := 0
	count := 0
	for _, entry := range unsent {
		if count == maxBatchEntries || size > maxBatchBytes {
			break
		}
		size += len(entry.Data)
		count++
	}
	return slices.Clone(unsent[:count])
}

// sendSnapshot sends the snapshot to a follower if a heartbeat is to be sent.
func (n *Node) sendSnapshot(now time.Time, id string, peer *peerProgress, heartbeat bool) {
	if !heartbeat {
		return
	}
	snapshot := n.Snapshot
	n.queueBeforeSync(Message{Kind: MsgSnapshot, To: id, Index: snapshot.Index, CommitIndex: n.commitIndex, Snapshot: &snapshot, SentAt: now})
	peer.nextIndex = snapshot.Index + 1
}

func (n *Node) onAppend(now time.Time, request Message) {
	n.onLeaderContact(now, request.From)
	if request.Index < n.Snapshot.Index {
		request = n.dropCompacted(request)
	}
	if request.Index != n.Snapshot.Index && n.termAt(request.Index) != request.LogTerm || request.Index > n.lastIndex() {
		retryIndex := min(request.Index, n.lastIndex()+1) - 1
		n.queueAfterSync(Message{Kind: MsgAppendAck, To: request.From, Reject: true, Index: retryIndex, SentAt: request.SentAt})
		return
	}
	for _, entry := range request.Entries {
		n.acceptEntry(entry)
	}
	matchIndex := request.Index + uint64(len(request.Entries))
	n.commitIndex = max(n.commitIndex, min(request.CommitIndex, matchIndex))
	n.queueAfterSync(Message{Kind: MsgAppendAck, To: request.From, Index: matchIndex, SentAt: request.SentAt})
}

// dropCompacted returns the request without the entries that the node's snapshot covers.
func (n *Node) dropCompacted(request Message) Message {
	covered := min(n.Snapshot.Index-request.Index, uint64(len(request.Entries)))
	request.Entries = request.Entries[covered:]
	request.Index += covered
	if request.Index == n.Snapshot.Index {
		request.LogTerm = n.Snapshot.Term
		return request
	}
	// The snapshot covers all entries: acknowledge up to its index.
	request.Index = n.Snapshot.Index
	request.LogTerm = n.Snapshot.Term
	request.Entries = nil
	return request
}

// acceptEntry stores a leader's entry at its index. An entry of another term there was never
// committed; it and all entries after it are removed.
func (n *Node) acceptEntry(entry Entry) {
	if entry.Index <= n.lastIndex() {
		if n.termAt(entry.Index) == entry.Term {
			return
		}
		n.Entries = slices.Clone(n.Entries[:entry.Index-n.Snapshot.Index-1])
		n.durableIndex = min(n.durableIndex, entry.Index-1)
		n.members = n.membersAt(n.lastIndex())
	}
	n.appendEntry(entry)
}

// onLeaderContact records a message from the leader of the term and renews the leader's lease, unless
// the leader has resigned.
func (n *Node) onLeaderContact(now time.Time, leader string) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(now, leader)
	}
	if n.state.Leader != leader {
		n.state.Leader = leader
		n.stateUnsaved = true
	}
	n.lastLeaderContact, n.noLeaderSinceStart, n.stallGraceUsed = now, false, false
	if n.resignedTerm == n.state.Term {
		return // the leader sent the message before it resigned
	}
	n.electionAttempt = 0
	n.leaseReleased = false
	n.fastCampaignUntil = time.Time{}
	n.timerDeadline = now.Add(n.jitteredTimeout(now))
}

func (n *Node) onAppendAck(now time.Time, reply Message) {
	peer := n.peers[reply.From]
	if n.role != Leader || peer == nil {
		return
	}
	if reply.SentAt.After(peer.lastAckedSend) {
		peer.lastAckedSend = reply.SentAt
	}
	if reply.SentAt.After(peer.lastContact) {
		peer.lastContact = reply.SentAt
	}
	if reply.Reject {
		peer.nextIndex = max(peer.matchIndex, min(reply.Index, n.lastIndex())) + 1
		n.replicate(now, reply.From, true)
		return
	}
	peer.matchIndex = max(peer.matchIndex, reply.Index)
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	n.advanceCommit()
	n.replicate(now, reply.From, false)
}

func (n *Node) onSnapshot(now time.Time, request Message) {
	n.onLeaderContact(now, request.From)
	snapshot := request.Snapshot
	if snapshot == nil {
		return
	}
	if snapshot.Index <= n.commitIndex {
		n.queueAfterSync(Message{Kind: MsgAppendAck, To: request.From, Index: n.commitIndex, SentAt: request.SentAt})
		return
	}
	if n.termAt(snapshot.Index) == snapshot.Term {
		n.Entries = slices.Clone(n.Entries[snapshot.Index-n.Snapshot.Index:])
	} else {
		n.Entries = nil
	}
	n.Snapshot = *snapshot
	n.commitIndex = snapshot.Index
	n.appliedIndex = snapshot.Index
	n.unsavedSnapshot = snapshot
	n.restoreFrom = snapshot
	n.members = n.membersAt(n.lastIndex())
	n.unsavedFrom = 0
	if len(n.Entries) > 0 {
		n.unsavedFrom = snapshot.Index + 1
	}
	n.queueAfterSync(Message{Kind: MsgAppendAck, To: request.From, Index: snapshot.Index, SentAt: request.SentAt})
}

// advanceCommit commits the entries that a quorum of voters holds. Only an entry of the leader's own
// term is committed by count; the entries before it are committed with it.
func (n *Node) advanceCommit() {
	matchIndexes := make([]uint64, 0, len(n.Members()))
	for _, member := range n.Members() {
		if member.Voter {
			matchIndexes = append(matchIndexes, n.MatchIndex(member.ID))
		}
	}
	slices.Sort(matchIndexes)
	if len(matchIndexes) == 0 {
		return
	}
	index := matchIndexes[(len(matchIndexes)-1)/2]
	if index > n.commitIndex && n.termAt(index) == n.state.Term {
		n.commitIndex = index
	}
}

// leaseEnd returns when the leader's lease from a quorum of voters expires.
func (n *Node) leaseEnd(now time.Time) time.Time {
	ackedSends := make([]time.Time, 0, len(n.Members()))
	for _, member := range n.Members() {
		switch {
		case !member.Voter:
		case member.ID == n.ID:
			ackedSends = append(ackedSends, now)
		case n.peers[member.ID] != nil:
			ackedSends = append(ackedSends, n.peers[member.ID].lastAckedSend)
		default:
			ackedSends = append(ackedSends, time.Time{})
		}
	}
	if len(ackedSends) == 0 {
		return time.Time{}
	}
	slices.SortFunc(ackedSends, func(a, b time.Time) int { return a.Compare(b) })
	return ackedSends[(len(ackedSends)-1)/2].Add(LeaseDuration)
}
