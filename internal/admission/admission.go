// Package admission decides whether a request is sent to a target now, and to which,
// or refused at once with the time to come back.
//
// A Desk is deterministic: it takes a time and a request; it has no clock, goroutine
// or socket. Routers go by it, and so do the measurements of internal/workload.
package admission

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

const (
	// Soon is when a caller may come back to another router at once.
	Soon = 50 * time.Millisecond
	// Moment is when a caller may come back that found no room: about the time
	// in which a place comes free.
	Moment = 300 * time.Millisecond
	// roomPart is the part of the aim, as a divisor, up to which a request's
	// predicted time to a first byte, its own prompt included, counts as room:
	// work beyond an account's share then delays nobody's beyond their aim, and
	// what would have to be read anew waits until it is within its share. With
	// the queue alone, the heaviest day earned 0.20 instead of 0.49 of what was
	// owed (one run each).
	roomPart = 2
	// roomExcess is how many times as much an account may be served as another
	// that lacks service before its further work finds less room. Twice as much
	// is what is held to be unfair.
	roomExcess = 1.3
	// roomLoad is the part of a target's slots up to which it has room for such
	// work. Engines slow down with each request that runs. At three quarters instead
	// of a half, callers were refused 41% less on one of the heaviest days, 13 to 19% less
	// on four, as often on one, and as much was served in all (mean worth within 0.006 on
	// both deployments, one run each).
	roomLoad = 0.75
	// beginPart is the part of the room, as a divisor, within which a request whose size is
	// owed a chance must be able to begin. Where it may use all of the room, it is late and
	// makes others late. On five days the gain was no more than two runs may differ by.
	beginPart = 4
	// backPart is the part of the aim, as a divisor, within which a caller that was refused
	// beyond its account's share may come back. With the account's share alone, up to two
	// seconds, answers of those that came back were all late; with half of the aim, 3 to 4%
	// more of what was owed was earned on four days of 55 routers (one run each), and 0.7 to
	// 5% more on models of engines (internal/workload, five seeds). A third and a quarter of
	// the aim are no better there.
	backPart = 2
)

// A Request is what a decision depends on.
type Request struct {
	Place   placement.Request
	Route   *fleet.Route
	Account string
	// Tokens are what it costs: one each to read, two to generate.
	Tokens float64
	// Until is when its caller or its route gives up.
	Until time.Time
	// Within says that it is within its account's share, Surplus that a crowded
	// service would refuse it, and Sent that a target has had it: it is not held
	// against the share again.
	Within  bool
	Surplus bool
	Sent    bool
}

// A Refusal says why a request is not sent, and when its caller may come back.
type Refusal struct {
	Reason fleet.Reason
	Back   time.Duration
	Wait   time.Duration // predicted
	Queue  time.Duration // of that, for the work of others
	Load   float64       // part of the target's slots that is taken
	Excess float64       // of the account over others that lack service
}

// A Desk decides for one router. Set all its fields, then call it from one goroutine at a
// time.
type Desk struct {
	Placer *placement.Placer
	Shares *quota.Shares
	Sizes  *Sizes
}

// Decide picks a target, or refuses at once what would only wait until its caller
// has left, and what is beyond its account's share where there is no room. Where it
// picks one, the request counts as sent there: tell the placer how it ends.
func (d Desk) Decide(now time.Time, r Request) (*placement.Choice, *Refusal) {
	size := d.Sizes.ask(r)
	choice, refused := d.decide(now, r, size.owed())
	size.decided(refused == nil)
	return choice, refused
}

// decide is Decide, for a request whose size is owed a chance or not.
func (d Desk) decide(now time.Time, r Request, owed bool) (*placement.Choice, *Refusal) {
	choice, ok := d.Placer.Choose(now, r.Place)
	if !ok {
		return nil, &Refusal{Reason: fleet.ReasonNoTarget, Back: Moment}
	}
	refused := &Refusal{Wait: choice.Wait, Queue: choice.Queue, Load: choice.Load, Excess: d.Shares.Excess(now, r.Account)}
	switch {
	case r.Surplus && !r.Sent:
		refused.Reason, refused.Back = fleet.ReasonCrowded, Moment
		return nil, refused
	case choice.Wait > min(r.Route.Patience(), r.Until.Sub(now)):
		refused.Reason, refused.Back = fleet.ReasonBehind, max(choice.Wait-r.Route.Aim, Soon)
		return nil, refused
	case !r.Within && !r.Sent && !d.hasRoom(now, r, choice, owed):
		refused.Reason, refused.Back = fleet.ReasonOverShare, d.back(now, r)
		return nil, refused
	}
	if !r.Sent && r.Tokens > 0 {
		d.Shares.Spend(now, r.Account, r.Tokens)
	}
	d.Placer.Begin(now, choice, r.Place)
	return choice, nil
}

// back returns when a caller beyond its account's share may come back: once that has
// something saved up again, but early enough for an answer that is in time. Engines may
// have room long before.
func (d Desk) back(now time.Time, r Request) time.Duration {
	return max(min(d.Shares.Wait(now, r.Account), r.Route.Aim/backPart), Moment)
}

// hasRoom reports whether a choice has room for work beyond its account's share.
// There is less the more the account is served than others that lack service, and
// more, up to the whole aim, the more another one is served than it: else accounts
// whose prompts happen to be kept, or short, would fill whatever room there is, and
// others, whose prompts must be read, would get under half of what these get. With the
// second part, the greatest ratio logged between two accounts, of which one asked for
// ten times its usual, fell from 2.5 to 2.1 (one run each). An account that stands between
// two others is held against both.
//
// Where the request's size is owed a chance, reading its own part does not count, if it
// begins nearly at once: it takes as long wherever and whenever it runs.
func (d Desk) hasRoom(now time.Time, r Request, c *placement.Choice, owed bool) bool {
	part := 1.0
	if excess := d.Shares.Excess(now, r.Account); excess > roomExcess {
		part = (roomExcess / excess) * (roomExcess / excess)
	}
	if deficit := d.Shares.Deficit(now, r.Account); deficit > roomExcess {
		part = min(part*(deficit/roomExcess)*(deficit/roomExcess), roomPart)
	}
	room := time.Duration(float64(r.Route.Aim/roomPart) * part)
	wait := c.Wait
	if begins := c.Wait - c.Own; owed && begins <= room/beginPart {
		wait = begins
	}
	return wait <= room && c.Load <= roomLoad*part
}
