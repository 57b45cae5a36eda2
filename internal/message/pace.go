package message

import (
	"math"
	"time"

	"laburnumfall/internal/fleet"
)

// A TargetPace is a target's own statement of how long work takes there.
type TargetPace struct {
	Target      string `json:"target"`
	StartMillis int64  `json:"born,omitempty"`
	// Percent is how long work takes in percent of the usual, and Age is the time in milliseconds
	// between the statement and this message. Clocks of different machines are never compared.
	Percent int `json:"slow"`
	Age     int `json:"age,omitempty"`
}

// NewTargetPace returns the statement of a target.
func NewTargetPace(target fleet.Incarnation, slowdown float64, age time.Duration) TargetPace {
	return TargetPace{Target: target.ID, StartMillis: target.StartMillis, Percent: int(math.Round(slowdown * 100)), Age: int(max(age, 0).Milliseconds())}
}

// Incarnation returns the target of the statement.
func (p TargetPace) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: p.Target, StartMillis: p.StartMillis}
}

// Slowdown returns how many times as long as usual work takes.
func (p TargetPace) Slowdown() float64 {
	return float64(p.Percent) / 100
}

// StatedAt returns when the statement was made, by the clock of the process that received this message
// at now.
func (p TargetPace) StatedAt(now time.Time) time.Time {
	const maxAge = int(time.Hour / time.Millisecond) // long expired
	return now.Add(-time.Duration(min(max(p.Age, 0), maxAge)) * time.Millisecond)
}
