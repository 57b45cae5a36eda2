package targetlist

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/fleet"
)

const (
	// repeatInterval is how often unchanged damage is logged.
	repeatInterval = time.Minute
	// minInterval is the least time between two log lines, for damage that changes with each
	// reading.
	minInterval = 5 * time.Second
)

// A DamageLog logs and counts damaged entries of a list. It writes a line only when the damage
// changes and at intervals: a list is read more than once per second, so that a line for each
// reading or entry would flood the log. Set the exported fields, then call Record.
type DamageLog struct {
	Log hclog.Logger
	// Source is the address from which the list is read.
	Source string
	// Count is increased by the number of damaged entries in each reading.
	Count *atomic.Uint64

	lastSummary  string
	lastLoggedAt time.Time
}

// Record counts the damaged entries of one reading, and logs them if a line is due.
func (d *DamageLog) Record(now time.Time, listing fleet.TargetListing) {
	d.Count.Add(uint64(len(listing.Damaged)))
	summary := listing.DamageSummary()
	sinceLast := now.Sub(d.lastLoggedAt)
	if sinceLast < minInterval || summary == d.lastSummary && (summary == "" || sinceLast < repeatInterval) {
		return
	}
	d.lastSummary, d.lastLoggedAt = summary, now
	if summary == "" {
		d.Log.Info("the list of targets holds no damaged entries any more", "source", d.Source)
		return
	}
	d.Log.Warn("the list of targets holds damaged entries: they are left out", "source", d.Source,
		"count", len(listing.Damaged), "faults", summary, "named", len(listing.DamagedIDs()), "targets", len(listing.Targets))
}
