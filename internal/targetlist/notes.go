package targetlist

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/fleet"
)

const (
	// noteAgain is how often damage that stays the same is logged.
	noteAgain = time.Minute
	// notePause is kept between two lines, for damage that changes with each reading.
	notePause = 5 * time.Second
)

// DamageNotes tell of damaged entries: a line when what is damaged changes, and a count.
// A list is read more than once a second, so that a line for each reading, or entry,
// would drown all else. Set the exported fields, then call Take.
type DamageNotes struct {
	Log hclog.Logger
	// List is where the list is read.
	List  string
	Count *atomic.Uint64

	last   string
	lastAt time.Time
}

// Take notes what a reading holds.
func (n *DamageNotes) Take(now time.Time, listing fleet.TargetListing) {
	n.Count.Add(uint64(len(listing.Damaged)))
	faults := listing.DamageSummary()
	since := now.Sub(n.lastAt)
	if since < notePause || faults == n.last && (faults == "" || since < noteAgain) {
		return
	}
	n.last, n.lastAt = faults, now
	if faults == "" {
		n.Log.Info("the list of targets holds no damaged entries any more", "source", n.List)
		return
	}
	n.Log.Warn("the list of targets holds damaged entries: they are left out", "source", n.List,
		"count", len(listing.Damaged), "faults", faults, "named", len(listing.DamagedIDs()), "targets", len(listing.Targets))
}
