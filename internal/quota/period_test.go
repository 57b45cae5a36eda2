package quota

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
		0: shortestPeriod, 1: shortestPeriod, 24: shortestPeriod, 291: 485 * time.Millisecond, 1900: longestPeriod,
	} {
		require.Equal(t, want, ReportPeriod(routers), "%d routers", routers)
	}
	require.LessOrEqual(t, 3*longestPeriod, reportMemory, "one lost report is not missed")
}

func TestSumsAreNotOlderThanReports(t *testing.T) {
	for _, routers := range []int{1, 8, 56, 291, 1900} {
		require.Less(t, sumPeriod(routers), ReportPeriod(routers))
		require.LessOrEqual(t, sumPeriod(routers), longestSum)
	}
}
