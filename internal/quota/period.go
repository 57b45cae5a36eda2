package quota

import "time"

const (
	// shortestPeriod is how often a router of a small fleet reports: in less time than
	// an engine takes to read a prompt of middle size.
	shortestPeriod = 40 * time.Millisecond
	// longestPeriod bounds the period in large fleets: a third of reportMemory.
	longestPeriod = 500 * time.Millisecond
	// mostReports bounds how many reports a second the leader takes of all routers. Elections
	// and copies of the log need most of a small keeper.
	mostReports = 600
	// longestSum bounds how old the leader's sums may be, and sumPart how old they are in
	// parts of the period: the leader of a large fleet would do nothing else.
	longestSum = 50 * time.Millisecond
	sumPart    = 2
)

// ReportPeriod returns how often each of a number of routers tells the leader what it has sent
// to targets, and hears what all others have.
//
// A target begins requests in the order in which they come, from whichever router. What
// another router sent since it was last heard of is ahead of a request without being seen:
// the request is predicted to begin at once, and is late. The sooner routers hear of each
// other the less of that there is, up to what the leader can answer.
func ReportPeriod(routers int) time.Duration {
	return min(max(shortestPeriod, time.Duration(routers)*time.Second/mostReports), longestPeriod)
}

// sumPeriod returns how old the sums over a number of routers may be.
func sumPeriod(routers int) time.Duration {
	return min(ReportPeriod(routers)/sumPart, longestSum)
}
