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

// A HeadroomScale makes room smaller or larger for an account. It takes and returns the part of
// the room that the account finds.
type HeadroomScale interface {
	Scale(now time.Time, s *quota.Shares, account string, part float64) float64
}

// Headroom lets work in where nobody would be late for it: its first byte is predicted well
// within its aim, and slots are free. Without it, accounts would get no more than their
// shares of the stated rate, however idle the engines.
//
// Where the request's size is owed a chance, reading its own part does not count, if it
// begins nearly at once: it takes as long wherever and whenever it runs.
type Headroom struct {
	Scales []HeadroomScale
}

var _ Rule = Headroom{}

// Admits implements Rule.
func (m Headroom) Admits(now time.Time, s *quota.Shares, r Request, c *placement.Choice) bool {
	part := 1.0
	for _, scale := range m.Scales {
		part = scale.Scale(now, s, r.Account, part)
	}
	room := time.Duration(float64(r.Route.Aim/roomPart) * part)
	wait := c.PredictedTTFB
	if begins := c.PredictedTTFB - c.OwnPrefillTime; r.owed && begins <= room/beginPart {
		wait = begins
	}
	return wait <= room && c.Load <= roomLoad*part
}

// ShrinkByExcess leaves an account less room the more it is served than others that lack service.
// Without it, accounts whose prompts happen to be kept, or short, fill whatever room there
// is, and others, whose prompts must be read, get under half of what these get.
type ShrinkByExcess struct{}

var _ HeadroomScale = ShrinkByExcess{}

// Scale implements HeadroomScale.
func (ShrinkByExcess) Scale(now time.Time, s *quota.Shares, account string, part float64) float64 {
	if excess := s.ExcessRatio(now, account); excess > roomExcess {
		part *= (roomExcess / excess) * (roomExcess / excess)
	}
	return part
}

// GrowByDeficit gives an account more room, up to the whole aim, the more another one is served
// than it. It comes after ShrinkByExcess: an account that stands between two others is held against
// both.
type GrowByDeficit struct{}

var _ HeadroomScale = GrowByDeficit{}

// Scale implements HeadroomScale.
func (GrowByDeficit) Scale(now time.Time, s *quota.Shares, account string, part float64) float64 {
	if deficit := s.DeficitRatio(now, account); deficit > roomExcess {
		part = min(part*(deficit/roomExcess)*(deficit/roomExcess), roomPart)
	}
	return part
}
