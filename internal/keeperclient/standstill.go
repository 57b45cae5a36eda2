package keeperclient

import (
	"sync/atomic"
	"time"
)

const (
	// standstill is how late the talk with the keepers goes on at least where the process
	// stood still.
	standstill = 600 * time.Millisecond
	// askFirst is how long after a standstill a router waits for the leader's answer before it
	// goes on with what it knows.
	askFirst = 200 * time.Millisecond
)

// A pulse tells whether the process has stood still, and whether the leader was heard since.
// What a router knew before is as old as the standstill was long. It may be read at any time.
type pulse struct {
	due   atomic.Int64 // when the talk with the keepers goes on at the latest
	woke  atomic.Int64 // when it last did after a standstill; 0 if never
	heard atomic.Int64 // when the question was asked that the leader answered last
}

// beat notes that the talk goes on now, and will within a pause. It reports whether the process
// stood still before.
func (p *pulse) beat(now time.Time, pause time.Duration) bool {
	due := p.due.Swap(now.Add(pause).UnixNano())
	if due == 0 || now.UnixNano()-due < int64(standstill) {
		return false
	}
	p.woke.Store(now.UnixNano())
	return true
}

// informed reports whether a standstill is over and the leader has answered since, or does not.
func (p *pulse) informed(now time.Time) bool {
	at, due, woke := now.UnixNano(), p.due.Load(), p.woke.Load()
	if due != 0 && at-due >= int64(standstill) {
		return false
	}
	return woke == 0 || p.heard.Load() >= woke || at-woke >= int64(askFirst)
}

// Informed reports whether this router knows what the fleet does as well as it can: it may
// have to ask first, after a standstill of its process. It may be called at any time.
func (u *Client) Informed(now time.Time) bool {
	return u.pulse.informed(now)
}

// beat notes that the talk with the keepers goes on.
func (u *Client) beat(pause time.Duration) {
	if now := u.Clock.Now(); u.pulse.beat(now, pause) {
		u.Log.Warn("stood still: asking the keepers before new work is sent", "silent", now.Sub(u.renewed).Milliseconds())
	}
}
