package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against routers that multiply the load when targets fail: every request fails, and each
// router would retry it.
func TestRetriesOfAllRoutersBoundedInEveryWindow(t *testing.T) {
	const ratio, slack, routers = 0.2, 52.0, 6
	window := 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		budgets := make([]*Budget, routers)
		for i := range budgets {
			budgets[i] = &Budget{Ratio: ratio, Slack: slack, Window: window}
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		now := time.Unix(1e9, 0)
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			b.CountRequest(now)
			events = append(events, event{at: now})
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if b.Allow(now, routers) {
					events = append(events, event{at: now, retry: true})
				}
			}
		}
		for i := range events {
			requests, retries := 0, 0
			for _, e := range events {
				age := events[i].at.Sub(e.at)
				if age >= 0 && age < window && !e.retry {
					requests++
				}
				if age >= 0 && age < window-window/bucketCount && e.retry {
					retries++
				}
			}
			require.LessOrEqual(t, float64(retries), ratio*float64(requests)+slack)
		}
	})
}

func TestBudgetIsRestoredAfterWindow(t *testing.T) {
	b := &Budget{Slack: 10, Window: 10 * time.Second}
	now := time.Unix(1e9, 0)
	allowed := 0
	for b.Allow(now, 1) {
		allowed++
	}
	require.Equal(t, 8, allowed)
	require.False(t, b.Allow(now.Add(9*time.Second), 1))
	require.True(t, b.Allow(now.Add(11*time.Second), 1))
}
