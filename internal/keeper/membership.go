package keeper

import (
	"time"

	"laburnumfall/internal/quorum"
)

const (
	// voterSilence is how long a voter answers nothing before it may be taken
	// out. Longer than a restart takes, shorter than the time within which a
	// replacement must count, so that the loss of another one is borne then.
	voterSilenceLimit = 2500 * time.Millisecond
	// learnerSilence is how long a learner answers nothing before it is taken
	// out: it helps nobody, and comes back by joining again.
	learnerSilenceLimit = 10 * time.Second
	// leastVoters is the size below which no voter is taken out: with fewer, the
	// loss of one more disk could lose what was acknowledged.
	minVoters = 3
)

// A seen tells when a leader last heard a member.
type lastContactFunc func(id string) time.Time

// silentMember returns the member that the leader should take out next, or
// false. A voter goes only while the number of voters is even: then the rest
// need one vote less for a quorum than before, so that taking it out never
// leaves fewer losses to be borne. With an odd number it stays, since it may
// return with its disk, and a replacement makes the number even.
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

// keepMembers makes the next change of membership that is due: a learner that
// holds all becomes a voter, and a silent member goes. Promotion comes first, so
// that the copies are never fewer than need be.
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
