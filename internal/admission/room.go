package admission

import (
	"time"

	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

const (
	// roomPart is the part of the aim, as a divisor, up to which a request's
	// predicted time to a first byte, its own prompt included, counts as room:
	// work beyond an account's share then delays nobody's beyond their aim, and
	// what would have to be read anew waits until it is within its share.
	roomPart = 2
	// roomExcess is how many times as much an account may be served as another
	// that lacks service before its further work finds less room. Twice as much
	// is what is held to be unfair.
	roomExcess = 1.3
	// roomLoad is the part of a target's slots up to which it has room for work beyond a
	// share. Engines slow down with each request that runs, and a request within its share
	// must find a slot.
	roomLoad = 0.75
	// beginPart is the part of the room, as a divisor, within which a request whose size is
	// owed a chance must be able to begin. Where it may use all of the room, it is late and
	// makes others late.
	beginPart = 4
)

// A Scale makes room smaller or larger for an account. It takes and returns the part of
// the room that the account finds.
type Scale interface {
	Scale(now time.Time, s *quota.Shares, account string, part float64) float64
}

// Room lets work in where nobody would be late for it: its first byte is predicted well
// within its aim, and slots are free. Without it, accounts would get no more than their
// shares of the stated rate, however idle the engines.
//
// Where the request's size is owed a chance, reading its own part does not count, if it
// begins nearly at once: it takes as long wherever and whenever it runs.
type Room struct {
	Scales []Scale
}

var _ Rule = Room{}

// Lets implements Rule.
func (m Room) Lets(now time.Time, s *quota.Shares, r Request, c *placement.Choice) bool {
	part := 1.0
	for _, scale := range m.Scales {
		part = scale.Scale(now, s, r.Account, part)
	}
	room := time.Duration(float64(r.Route.LatencyObjective/roomPart) * part)
	wait := c.Wait
	if begins := c.Wait - c.Own; r.owed && begins <= room/beginPart {
		wait = begins
	}
	return wait <= room && c.Load <= roomLoad*part
}

// Yield leaves an account less room the more it is served than others that lack service.
// Without it, accounts whose prompts happen to be kept, or short, fill whatever room there
// is, and others, whose prompts must be read, get under half of what these get.
type Yield struct{}

var _ Scale = Yield{}

// Scale implements Scale.
func (Yield) Scale(now time.Time, s *quota.Shares, account string, part float64) float64 {
	if excess := s.Excess(now, account); excess > roomExcess {
		part *= (roomExcess / excess) * (roomExcess / excess)
	}
	return part
}

// Reach gives an account more room, up to the whole aim, the more another one is served
// than it. It comes after Yield: an account that stands between two others is held against
// both.
type Reach struct{}

var _ Scale = Reach{}

// Scale implements Scale.
func (Reach) Scale(now time.Time, s *quota.Shares, account string, part float64) float64 {
	if deficit := s.Deficit(now, account); deficit > roomExcess {
		part = min(part*(deficit/roomExcess)*(deficit/roomExcess), roomPart)
	}
	return part
}
