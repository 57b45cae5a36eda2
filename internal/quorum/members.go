package quorum

import (
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

// Members returns the members as of the end of the log. A membership change takes effect when it is
// appended, not when it is committed.
func (n *Node) Members() []Member {
	return n.members
}

func (n *Node) membersAt(index uint64) []Member {
	for i := index; i > n.Snapshot.Index; i-- {
		entry := n.Entries[i-n.Snapshot.Index-1]
		if entry.Kind == EntryMembers {
			return entry.Members
		}
	}
	return n.Snapshot.Members
}

// AddLearner adds a member that receives the log but does not vote. It does nothing if the member
// exists. It returns the errors of a membership change: the node is not the leader, or another
// change is pending.
func (n *Node) AddLearner(now time.Time, member Member) error {
	if _, ok := findMember(n.Members(), member.ID); ok {
		return nil
	}
	member.Voter = false
	return n.proposeMembers(now, append(slices.Clone(n.Members()), member))
}

// Promote makes a learner a voter. The learner must hold all committed entries, so that the loss of
// another member right afterwards cannot lose any of them; otherwise Promote returns an error, as
// it does for an unknown member.
func (n *Node) Promote(now time.Time, id string) error {
	if n.MatchIndex(id) < n.commitIndex {
		return fleet.NewError(fleet.KindPrecondition, "wait until it has caught up", "keeper %s holds %d of %d entries", id, n.MatchIndex(id), n.commitIndex)
	}
	members := slices.Clone(n.Members())
	i := slices.IndexFunc(members, func(member Member) bool { return member.ID == id })
	if i < 0 {
		return fleet.NewError(fleet.KindPrecondition, "add it first", "keeper %s is no member", id)
	}
	if members[i].Voter {
		return nil
	}
	members[i].Voter = true
	return n.proposeMembers(now, members)
}

// Remove removes a member. It returns an error if the member is this node or the only voter, and the
// errors of a membership change; an unknown member is none.
func (n *Node) Remove(now time.Time, id string) error {
	if _, ok := findMember(n.Members(), id); !ok {
		return nil
	}
	members := slices.DeleteFunc(slices.Clone(n.Members()), func(member Member) bool { return member.ID == id })
	if id == n.ID || countVoters(members) == 0 {
		return fleet.NewError(fleet.KindPrecondition, "ask after another keeper leads", "keeper %s leads", id)
	}
	if err := n.proposeMembers(now, members); err != nil {
		return err
	}
	delete(n.peers, id) // its progress restarts if it is added again
	return nil
}

// MembershipChangePending reports whether the log holds a membership change that is not committed.
// Until it is, the loss of another member may undo it.
func (n *Node) MembershipChangePending() bool {
	for i := n.commitIndex + 1; i <= n.lastIndex(); i++ {
		if n.Entries[i-n.Snapshot.Index-1].Kind == EntryMembers {
			return true
		}
	}
	return false
}

// proposeMembers appends a membership change. Only one may be pending at a time, and the leader must
// have committed an entry of its term first: otherwise two quorums without a common member could
// form.
func (n *Node) proposeMembers(now time.Time, members []Member) error {
	if n.role != Leader {
		return NewNotLeaderError(n.leader)
	}
	if n.termAt(n.commitIndex) != n.state.Term || n.MembershipChangePending() {
		return ErrMembershipChangePending
	}
	n.appendAsLeader(Entry{Kind: EntryMembers, Members: members})
	n.broadcast(now, true)
	return nil
}
