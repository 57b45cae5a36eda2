package quorum

import (
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

// Members returns the members as of the end of the log. A change counts from
// when it is appended, not from when it is committed.
func (n *Node) Members() []Member {
	return n.members
}

func (n *Node) membersAt(index uint64) []Member {
	for i := index; i > n.Snapshot.Index; i-- {
		e := n.Entries[i-n.Snapshot.Index-1]
		if e.Kind == EntryMembers {
			return e.Members
		}
	}
	return n.Snapshot.Members
}

// AddLearner adds a member that receives the log and does not vote.
func (n *Node) AddLearner(now time.Time, m Member) error {
	if _, ok := findMember(n.Members(), m.ID); ok {
		return nil
	}
	m.Voter = false
	return n.change(now, append(slices.Clone(n.Members()), m))
}

// Promote makes a learner a voter. It must hold all that is committed, so that
// the loss of another member right after can not lose any of it.
func (n *Node) Promote(now time.Time, id string) error {
	if n.MatchIndex(id) < n.commit {
		return fleet.NewError(fleet.KindPolicy, "wait until it has caught up", "keeper %s holds %d of %d entries", id, n.MatchIndex(id), n.commit)
	}
	members := slices.Clone(n.Members())
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return fleet.NewError(fleet.KindPolicy, "add it first", "keeper %s is no member", id)
	}
	if members[i].Voter {
		return nil
	}
	members[i].Voter = true
	return n.change(now, members)
}

// Remove takes a member out.
func (n *Node) Remove(now time.Time, id string) error {
	if _, ok := findMember(n.Members(), id); !ok {
		return nil
	}
	members := slices.DeleteFunc(slices.Clone(n.Members()), func(m Member) bool { return m.ID == id })
	if id == n.ID || voters(members) == 0 {
		return fleet.NewError(fleet.KindPolicy, "ask after another keeper leads", "keeper %s leads", id)
	}
	if err := n.change(now, members); err != nil {
		return err
	}
	delete(n.peers, id) // if it comes back, it starts anew
	return nil
}

// MembershipChangePending reports whether a change of membership is on its way. Until it is
// committed, the loss of another member may still undo it.
func (n *Node) MembershipChangePending() bool {
	for i := n.commit + 1; i <= n.lastIndex(); i++ {
		if n.Entries[i-n.Snapshot.Index-1].Kind == EntryMembers {
			return true
		}
	}
	return false
}

// change appends a change of membership. One may be on its way at a time, and
// the leader must have committed an entry of its term before: else two quorums
// that share no member could form.
func (n *Node) change(now time.Time, members []Member) error {
	if n.role != Leader {
		return NewNotLeaderError(n.leader)
	}
	if n.termAt(n.commit) != n.state.Term || n.MembershipChangePending() {
		return ErrMembershipChangePending
	}
	n.append(Entry{Kind: EntryMembers, Members: members})
	n.broadcast(now, true)
	return nil
}
