package uplink

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: in a fleet of 291 routers the leading keeper takes half of its processor to
// answer renewals.
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
