package settings

import "time"

// A Routes is what a router of routes is told about the platform it runs on.
// Its fields are bounds that the operators agree with the platform, so they are
// lengths of time and not deadlines.
type Routing struct {
	// Ready is the address where the balancer asks whether this router is ready.
	ReadinessListen string
	// Lease is how long after a question to the keepers, answered by the leader,
	// keys of accounts still count.
	KeyLease time.Duration
	// Grace is how long a stopping router may go on.
	GracePeriod time.Duration
	// Memory bounds what the process may use, in bytes.
	MemoryLimit int64
	// Files is how many sockets the process may have open.
	MaxSockets int
	// RetryRatio, RetrySlack and RetryWindow bound the attempts beyond the first
	// of each request, over all routers: in any window at most the ratio of the
	// requests plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// WarmupRatio and WarmupSlack bound what a cold target gets in any second, over all
	// routers: the ratio of its pool's rate plus the slack.
	WarmupRatio float64
	WarmupSlack float64
	// Reads is how many reads a second the platform's list takes from all nodes.
	ListReadRate float64
}

// The defaults where no platform states bounds.
const (
	// defaultLease is how long keys count after the last word of a leader. A key
	// that is withdrawn stops working within that time everywhere.
	defaultLease = 4500 * time.Millisecond
	// defaultGrace is as long as the longest answers of engines usually take.
	defaultGrace  = 30 * time.Second
	defaultMemory = 256 << 20
	defaultFiles  = 4096
	// defaultRetryRatio and defaultRetrySlack are those of requests for events.
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 10
	defaultRetryWindow = 10 * time.Second
	// defaultWarmupRatio is what targets that configurations list state of themselves.
	defaultWarmupRatio = 1
)

// DefaultRoutes returns the bounds that hold where no platform states any.
func DefaultRouting() *Routing {
	return &Routing{
		KeyLease: defaultLease, GracePeriod: defaultGrace, MemoryLimit: defaultMemory, MaxSockets: defaultFiles,
		RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack, RetryWindow: defaultRetryWindow,
		WarmupRatio: defaultWarmupRatio,
	}
}
