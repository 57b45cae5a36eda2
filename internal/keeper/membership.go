package keeper

import (
	"time"

	"laburnumfall/internal/quorum"
)

const (
	// voterSilence is how long a voter answers nothing before it may be taken
	// out. Longer than a restart takes, shorter than the time within which a
	// replacement must count, so that the loss of another one is borne then.
	voterSilence = 2500 * time.Millisecond
	// learnerSilence is how long a learner answers nothing before it is taken
	// out: it helps nobody, and comes back by joining again.
	learnerSilence = 10 * time.Second
	// leastVoters is the size below which no voter is taken out: with fewer, the
	// loss of one more disk could lose what was acknowledged.
	leastVoters = 3
)

// A seen tells when a leader last heard a member.
type seen func(id string) time.Time

// silentMember returns the member that the leader should take out next, or
// false. A voter goes only while the number of voters is even: then the rest
// need one vote less for a quorum than before, so that taking it out never
// leaves fewer losses to be borne. With an odd number it stays, since it may
// return with its disk, and a replacement makes the number even.
func silentMember(now time.Time, self string, members []quorum.Member, heard seen) (quorum.Member, bool) {
	count := 0
	for _, m := range members {
		if m.Voter {
			count++
		}
	}
	for _, m := range members {
		silence := now.Sub(heard(m.ID))
		switch {
		case m.ID == self:
		case !m.Voter && silence > learnerSilence:
			return m, true
		case m.Voter && silence > voterSilence && count%2 == 0 && count > leastVoters:
			return m, true
		}
	}
	return quorum.Member{}, false
}

// keepMembers makes the next change of membership that is due: a learner that
// holds all becomes a voter, and a silent member goes. Promotion comes first, so
// that the copies are never fewer than need be.
func (c *core) keepMembers(now time.Time) {
	c.promote(now)
	if !c.autoMembers {
		return
	}
	m, ok := silentMember(now, c.node.ID, c.node.Members(), c.node.LastFollowerContact)
	if !ok {
		return
	}
	if err := c.node.Remove(now, m.ID); err == nil {
		c.log.Warn("keeper removed: it answers nothing", "name", m.Name, "id", m.ID,
			"voter", m.Voter, "silent", now.Sub(c.node.LastFollowerContact(m.ID)).Milliseconds())
	}
}
