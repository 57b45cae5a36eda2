package settings

import "time"

// A Routes is what a router of routes is told about the platform it runs on.
// Its fields are bounds that the operators agree with the platform, so they are
// lengths of time and not deadlines.
type Routes struct {
	// Ready is the address where the balancer asks whether this router is ready.
	Ready string
	// Lease is how long after a question to the keepers, answered by the leader,
	// keys of accounts still count.
	Lease time.Duration
	// Grace is how long a stopping router may go on.
	Grace time.Duration
	// Memory bounds what the process may use, in bytes.
	Memory int64
	// Files is how many sockets the process may have open.
	Files int
	// RetryRatio, RetrySlack and RetryWindow bound the sendings beyond the first
	// of each request, over all routers: in any window at most the ratio of the
	// requests plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Reads is how many reads a second the platform's list takes from all nodes.
	Reads float64
}
