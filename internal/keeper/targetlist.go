package keeper

import (
	"context"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/targetlist"
)

// A TargetList is the platform's list of targets. It lags, and it bounds the rate of reads from
// all nodes together.
type TargetList interface {
	Read(ctx context.Context) (fleet.TargetListing, error)
	// Address returns where the list is read, so that an operator can find the cause of damaged
	// entries.
	Address() string
}

// A MockTargetList returns List and Err.
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
	// targetListInterval is the time between two reads of the list by the leader. Together with
	// the lag of the list and the interval of renewals, every router learns of a leaving target
	// in less than half of the three seconds that such a target has.
	targetListInterval = 600 * time.Millisecond
	// leaderPollInterval is the time between two checks whether this keeper leads.
	leaderPollInterval = 100 * time.Millisecond
)

// watchTargets reads the list while this keeper leads, until ctx ends. A single reader saves
// reads, whose rate the platform bounds.
func (c *core) watchTargets(ctx context.Context, list TargetList) error {
	if list == nil {
		return nil
	}
	failing := false
	notes := targetlist.DamageLog{Log: c.log, Source: list.Address(), Count: &c.damagedEntries}
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
			notes.Record(readAt, listing)
			c.enqueue(func(now time.Time) { c.handleTargetListing(now, readAt, listing) })
		}
	}
	return nil
}

// handleTargetListing processes a reading of the platform's list of targets.
func (c *core) handleTargetListing(now, readAt time.Time, listing fleet.TargetListing) {
	c.setTargets(readAt, listing)
	c.listedZones.update(readAt, listing)
	c.logUnconfirmedZones(now)
}

func (c *core) isLeader(ctx context.Context) bool {
	leading := false
	err := c.runAndWait(ctx, func(now time.Time) { leading = c.node.IsActiveLeader(now) })
	return err == nil && leading
}
