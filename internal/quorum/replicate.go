package quorum

import (
	"slices"
	"time"
)

// broadcast sends each follower what it was not sent yet; a heartbeat goes out
// even if there is nothing. A follower that lost a batch refuses the next
// heartbeat and tells where its log ends.
func (n *Node) broadcast(now time.Time, heartbeat bool) {
	for _, m := range n.Members() {
		if m.ID != n.ID {
			n.replicate(now, m.ID, heartbeat)
		}
	}
}

func (n *Node) replicate(now time.Time, id string, heartbeat bool) {
	p := n.peers[id]
	if p == nil {
		p = &progress{next: n.lastIndex() + 1, since: now}
		n.peers[id] = p
	}
	if p.next <= n.Snapshot.Index {
		n.sendSnapshot(now, id, p, heartbeat)
		return
	}
	for n.sendEntries(now, id, p, heartbeat) {
		heartbeat = false
	}
}

// sendEntries sends one batch and reports whether there may be more to send.
func (n *Node) sendEntries(now time.Time, id string, p *progress, heartbeat bool) bool {
	batch := n.batch(p)
	if len(batch) == 0 && !heartbeat {
		return false
	}
	prev := p.next - 1
	n.sendEarly(Message{
		Kind: MsgAppend, To: id, Index: prev, LogTerm: n.termAt(prev),
		CommitIndex: n.commit, Entries: batch, SentAt: now,
	})
	p.next += uint64(len(batch))
	return len(batch) > 0
}

func (n *Node) batch(p *progress) []Entry {
	if p.next > p.match+maxWindow {
		return nil
	}
	rest := n.Entries[p.next-n.Snapshot.Index-1:]
	size := 0
	count := 0
	for _, e := range rest {
		if count == maxBatchEntries || size > maxBatchBytes {
			break
		}
		size += len(e.Data)
		count++
	}
	return slices.Clone(rest[:count])
}

func (n *Node) sendSnapshot(now time.Time, id string, p *progress, heartbeat bool) {
	if !heartbeat {
		return
	}
	base := n.Snapshot
	n.sendEarly(Message{Kind: MsgSnapshot, To: id, Index: base.Index, CommitIndex: n.commit, Snapshot: &base, SentAt: now})
	p.next = base.Index + 1
}

func (n *Node) onAppend(now time.Time, m Message) {
	n.hear(now, m.From)
	if m.Index < n.Snapshot.Index {
		m = n.skip(m)
	}
	if m.Index != n.Snapshot.Index && n.termAt(m.Index) != m.LogTerm || m.Index > n.lastIndex() {
		hint := min(m.Index, n.lastIndex()+1) - 1
		n.sendLate(Message{Kind: MsgAppendAck, To: m.From, Reject: true, Index: hint, SentAt: m.SentAt})
		return
	}
	for _, e := range m.Entries {
		n.take(e)
	}
	match := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.CommitIndex, match))
	n.sendLate(Message{Kind: MsgAppendAck, To: m.From, Index: match, SentAt: m.SentAt})
}

// skip drops the entries that the node's snapshot already stands for.
func (n *Node) skip(m Message) Message {
	drop := min(n.Snapshot.Index-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[drop:]
	m.Index += drop
	if m.Index == n.Snapshot.Index {
		m.LogTerm = n.Snapshot.Term
		return m
	}
	// All of it is covered: acknowledge the snapshot.
	m.Index = n.Snapshot.Index
	m.LogTerm = n.Snapshot.Term
	m.Entries = nil
	return m
}

// take puts a leader's entry in its place. Entries of another term there were
// never committed and go.
func (n *Node) take(e Entry) {
	if e.Index <= n.lastIndex() {
		if n.termAt(e.Index) == e.Term {
			return
		}
		n.Entries = slices.Clone(n.Entries[:e.Index-n.Snapshot.Index-1])
		n.synced = min(n.synced, e.Index-1)
		n.members = n.membersAt(n.lastIndex())
	}
	n.put(e)
}

func (n *Node) hear(now time.Time, leader string) {
	if n.role != Follower || n.leader != leader {
		n.follow(now, leader)
	}
	if n.state.Leader != leader {
		n.state.Leader = leader
		n.save = true
	}
	n.heard, n.unheard, n.waited = now, false, false
	if n.resigned == n.state.Term {
		return // sent before it resigned
	}
	n.attempt = 0
	n.released = false
	n.eager = time.Time{}
	n.deadline = now.Add(n.patience(now))
}

func (n *Node) onAppendAck(now time.Time, m Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	if m.SentAt.After(p.acked) {
		p.acked = m.SentAt
	}
	if m.Reject {
		p.next = max(p.match, min(m.Index, n.lastIndex())) + 1
		n.replicate(now, m.From, true)
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	n.advance()
	n.replicate(now, m.From, false)
}

func (n *Node) onSnapshot(now time.Time, m Message) {
	n.hear(now, m.From)
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index <= n.commit {
		n.sendLate(Message{Kind: MsgAppendAck, To: m.From, Index: n.commit, SentAt: m.SentAt})
		return
	}
	if n.termAt(s.Index) == s.Term {
		n.Entries = slices.Clone(n.Entries[s.Index-n.Snapshot.Index:])
	} else {
		n.Entries = nil
	}
	n.Snapshot = *s
	n.commit = s.Index
	n.applied = s.Index
	n.unsavedSnapshot = s
	n.restore = s
	n.members = n.membersAt(n.lastIndex())
	n.saveFrom = 0
	if len(n.Entries) > 0 {
		n.saveFrom = s.Index + 1
	}
	n.sendLate(Message{Kind: MsgAppendAck, To: m.From, Index: s.Index, SentAt: m.SentAt})
}

// advance commits what a quorum of voters holds. Only an entry of the leader's
// own term is counted; those before it are committed with it.
func (n *Node) advance() {
	held := make([]uint64, 0, len(n.Members()))
	for _, m := range n.Members() {
		if m.Voter {
			held = append(held, n.MatchIndex(m.ID))
		}
	}
	slices.Sort(held)
	if len(held) == 0 {
		return
	}
	index := held[(len(held)-1)/2]
	if index > n.commit && n.termAt(index) == n.state.Term {
		n.commit = index
	}
}

// leaseEnd returns until when a quorum's promises hold.
func (n *Node) leaseEnd(now time.Time) time.Time {
	acked := make([]time.Time, 0, len(n.Members()))
	for _, m := range n.Members() {
		switch {
		case !m.Voter:
		case m.ID == n.ID:
			acked = append(acked, now)
		case n.peers[m.ID] != nil:
			acked = append(acked, n.peers[m.ID].acked)
		default:
			acked = append(acked, time.Time{})
		}
	}
	if len(acked) == 0 {
		return time.Time{}
	}
	slices.SortFunc(acked, func(a, b time.Time) int { return a.Compare(b) })
	return acked[(len(acked)-1)/2].Add(LeaseDuration)
}
