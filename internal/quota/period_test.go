package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a leader that spends half of its CPU time on renewals, as seen with 291 routers.
// With a fixed report period, that load grows with the number of routers without bound.
func TestReportPeriodGrowsWithFleet(t *testing.T) {
	for routers, want := range map[int]time.Duration{
		0: minReportPeriod, 1: minReportPeriod, 24: minReportPeriod, 291: 485 * time.Millisecond, 1900: maxReportPeriod,
	} {
		require.Equal(t, want, ReportPeriod(routers), "%d routers", routers)
	}
	require.LessOrEqual(t, 3*maxReportPeriod, reportLifetime, "a router stays counted after one lost report")
}

func TestSumPeriodIsBelowReportPeriod(t *testing.T) {
	for _, routers := range []int{1, 8, 56, 291, 1900} {
		require.Less(t, sumPeriod(routers), ReportPeriod(routers))
		require.LessOrEqual(t, sumPeriod(routers), maxSumAge)
	}
}
