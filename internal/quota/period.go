package quota

import "time"

const (
	// minReportPeriod is the report period in small fleets. It is shorter than an engine's
	// prefill of a medium prompt.
	minReportPeriod = 40 * time.Millisecond
	// maxReportPeriod is the report period in large fleets: a third of reportLifetime.
	maxReportPeriod = 500 * time.Millisecond
	// maxReportsPerSecond bounds the reports from all routers that the leader handles. On a small
	// keeper, leader election and log replication need most of the CPU.
	maxReportsPerSecond = 600
	// maxSumAge bounds the age of the leader's sums; with short periods, the bound is the period
	// divided by sumDivisor. If the sums were computed for each report, the leader of a large
	// fleet would do nothing else.
	maxSumAge  = 50 * time.Millisecond
	sumDivisor = 2
)

// ReportPeriod returns the period at which each router reports its backlog to the leader and gets
// the backlog of all others.
//
// A target starts requests in order of arrival, from any router. Requests that another router has
// sent since its last report are ahead in the queue but not visible: a request is predicted to
// start at once and is late. A shorter period reduces this error, until the leader cannot keep
// up.
func ReportPeriod(routers int) time.Duration {
	return min(max(minReportPeriod, time.Duration(routers)*time.Second/maxReportsPerSecond), maxReportPeriod)
}

// sumPeriod returns how old the leader's sums may be.
func sumPeriod(routers int) time.Duration {
	return min(ReportPeriod(routers)/sumDivisor, maxSumAge)
}
