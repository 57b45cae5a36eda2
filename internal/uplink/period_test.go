package uplink

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: on a fleet of 291 routers each reads the platform's list itself, 230 pages a
// second in all, on a calm day.
// Sequence: the leader's VM is slower than usual; its answers come later than the routers'
// next questions; the list that they hold is older than they bear.
// Cause: each router asks as often as in a fleet of six, so that what the leader has to
// answer grows with the routers without a bound.
func TestRoutersOfALargeFleetRenewLessOften(t *testing.T) {
	for routers, want := range map[int]time.Duration{
		0: period, 1: period, 80: period, 150: period, 291: 485 * time.Millisecond, 1900: longestPeriod,
	} {
		require.Equal(t, want, renewPeriod(routers), "%d routers", routers)
	}
	require.Less(t, 3*longestPeriod, listPatience, "a list that is read in time never looks old")
}
