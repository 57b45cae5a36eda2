package keeper

import (
	"context"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/targetlist"
)

// A TargetList is the platform's list of targets. It lags, and takes a
// bounded number of reads from all nodes.
type TargetList interface {
	Read(ctx context.Context) (fleet.TargetListing, error)
	// Address is where it is read, for those who look for the cause of damage.
	Address() string
}

// A MockTargetList is a list set by hand.
type MockTargetList struct {
	List fleet.TargetListing
	Err  error
}

var _ TargetList = &MockTargetList{}

// Read implements TargetList.
func (l *MockTargetList) Read(context.Context) (fleet.TargetListing, error) {
	return l.List, l.Err
}

// Address implements TargetList.
func (l *MockTargetList) Address() string {
	return "mock"
}

const (
	// instancePeriod is how often the leader reads the list. With the list's own
	// lag and the routers' renewals, a target that starts to leave is known
	// everywhere in under half of the three seconds that it has.
	targetListInterval = 600 * time.Millisecond
	// leadPoll is how often a keeper that does not lead looks whether it does.
	leaderPollInterval = 100 * time.Millisecond
)

// watchInstances is the duty that reads the list while this keeper leads. One
// reader for all spares the platform's reads.
func (c *core) watchTargets(ctx context.Context, list TargetList) error {
	if list == nil {
		return nil
	}
	failing := false
	notes := targetlist.DamageNotes{Log: c.log, List: list.Address(), Count: &c.damagedEntries}
	for delay := leaderPollInterval; sleep(ctx, delay); {
		delay = leaderPollInterval
		if !c.isLeader(ctx) {
			continue
		}
		delay = targetListInterval
		readAt := c.clock.Now()
		readCtx, cancel := context.WithTimeout(ctx, platformReadTimeout)
		listing, err := list.Read(readCtx)
		cancel()
		if (err != nil) != failing {
			failing = err != nil
			c.log.Warn("the list of targets: reading it changed", "failing", failing, "error", err)
		}
		if err == nil {
			notes.Take(readAt, listing)
			c.enqueue(func(time.Time) { c.setTargets(readAt, listing) })
		}
	}
	return nil
}

func (c *core) isLeader(ctx context.Context) bool {
	leading := false
	err := c.runAndWait(ctx, func(now time.Time) { leading = c.node.IsActiveLeader(now) })
	return err == nil && leading
}
