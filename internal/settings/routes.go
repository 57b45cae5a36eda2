package settings

import "time"

// Routing holds the settings of a router that serves routes. Most are limits that the operators agree
// on with the platform. Times are durations, not deadlines.
type Routing struct {
	// ReadinessListen is the address at which the load balancer checks whether this router is ready.
	ReadinessListen string
	// KeyLease is how long API keys stay valid after the router has sent a renewal that the leader
	// answers.
	KeyLease time.Duration
	// ConfigLease is how long after such a renewal the configuration may refuse a request for good;
	// 0 for as long as KeyLease.
	ConfigLease time.Duration
	// GracePeriod is how long a router may take for a graceful shutdown.
	GracePeriod time.Duration
	// MemoryLimit is the memory limit of the Go runtime, in bytes.
	MemoryLimit int64
	// MaxMemory is the memory in bytes above which the process is killed, or 0 if it is not known.
	MaxMemory int64
	// MaxSockets is how many sockets the process may have open.
	MaxSockets int
	// RetryRatio, RetrySlack and RetryWindow are the retry budget of all routers together: in any
	// window, the number of retries is at most RetryRatio times the number of requests, plus
	// RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// WarmupRatio and WarmupSlack bound how many requests a cold target gets from all routers in
	// any second: WarmupRatio times the warm-up rate of its pool, plus WarmupSlack.
	WarmupRatio float64
	WarmupSlack float64
	// ListReadRate is how many reads per second the platform's list accepts from all nodes
	// together.
	ListReadRate float64
	// MemoryPressure says that a target terminates if the requests that it holds exceed its memory.
	MemoryPressure bool
}

// The defaults without a platform that gives limits.
const (
	// defaultKeyLease is also the time within which a revoked key stops working everywhere.
	defaultKeyLease = 4500 * time.Millisecond
	// defaultGracePeriod is as long as the longest responses of engines usually take.
	defaultGracePeriod = 30 * time.Second
	defaultMemoryLimit = 256 << 20
	defaultMaxSockets  = 4096
	// defaultRetryRatio and defaultRetrySlack are the same as for requests for events.
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 10
	defaultRetryWindow = 10 * time.Second
	// defaultWarmupRatio makes the limit the warm-up rate that targets in configurations state for
	// themselves.
	defaultWarmupRatio = 1
)

// DefaultRouting returns the settings that apply without a platform that gives limits.
func DefaultRouting() *Routing {
	return &Routing{
		KeyLease: defaultKeyLease, GracePeriod: defaultGracePeriod, MemoryLimit: defaultMemoryLimit, MaxSockets: defaultMaxSockets,
		RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack, RetryWindow: defaultRetryWindow,
		WarmupRatio: defaultWarmupRatio,
	}
}
