package keeper

import (
	"time"

	"laburnumfall/internal/quorum"
)

const (
	// voterSilenceLimit is how long a voter does not respond before it may be removed. It is
	// longer than a restart takes, and shorter than the time within which a replacement must
	// count as a voter, so that the group can then tolerate the loss of another one.
	voterSilenceLimit = 2500 * time.Millisecond
	// learnerSilenceLimit is how long a learner does not respond before it is removed. It
	// contributes nothing to the group and can join again.
	learnerSilenceLimit = 10 * time.Second
	// minVoters is the number of voters below which none is removed: with fewer, the loss of one
	// more disk could lose acknowledged state.
	minVoters = 3
)

// A lastContactFunc returns when the leader last had contact with a member.
type lastContactFunc func(id string) time.Time

// memberToRemove returns the member that the leader should remove next, or false. A voter is
// removed only while the number of voters is even. The remaining voters then need one vote less
// for a quorum, so the removal never reduces the number of further losses that the group
// tolerates. With an odd number the voter stays: it may return with its disk, and a replacement
// makes the number even.
func memberToRemove(now time.Time, selfID string, members []quorum.Member, lastContact lastContactFunc) (quorum.Member, bool) {
	voterCount := 0
	for _, member := range members {
		if member.Voter {
			voterCount++
		}
	}
	for _, member := range members {
		silence := now.Sub(lastContact(member.ID))
		switch {
		case member.ID == selfID:
		case !member.Voter && silence > learnerSilenceLimit:
			return member, true
		case member.Voter && silence > voterSilenceLimit && voterCount%2 == 0 && voterCount > minVoters:
			return member, true
		}
	}
	return quorum.Member{}, false
}

// maintainMembership makes the next membership change that is due: a learner with the complete
// log becomes a voter, or a silent member is removed. Promotion comes first, so that there are
// never fewer copies than necessary.
func (c *core) maintainMembership(now time.Time) {
	c.promoteLearners(now)
	if !c.autoMembers {
		return
	}
	member, ok := memberToRemove(now, c.node.ID, c.node.Members(), c.node.LastFollowerContact)
	if !ok {
		return
	}
	if err := c.node.Remove(now, member.ID); err == nil {
		c.log.Warn("keeper removed: it answers nothing", "name", member.Name, "id", member.ID,
			"voter", member.Voter, "silent", now.Sub(c.node.LastFollowerContact(member.ID)).Milliseconds())
	}
}
