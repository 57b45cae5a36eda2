package fleet

import (
	"slices"
	"strings"
	"time"
)

// A RouteKind says how often a request of a route may run, and whether its response is a
// stream.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce requests run at most once.
	RouteAtMostOnce RouteKind = "once"
	// RouteStream requests are answered by a stream of events. They run at most once unless
	// the route is Resumable.
	RouteStream RouteKind = "stream"
)

// A Route sends the requests of one host and path prefix to pools of targets.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Resumable says that an interrupted stream may be resumed at another target, after the
	// last event that the caller received.
	Resumable bool
	// Timeout is the longest time that a caller waits for the complete response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response, or the first event of a stream,
	// has its full value for the caller.
	LatencyObjective time.Duration
	// MaxEventGap is the longest gap between two events of a stream that counts as on time.
	MaxEventGap time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many targets one request may be sent to.
	MaxAttempts int
	// Keyless routes require no API key.
	Keyless bool
	// PrefixCached says that targets cache prefixes of the route's prompts.
	PrefixCached bool
	Pools        []PoolWeight
}

// A PoolWeight is the relative part of a route's requests that goes to a pool.
type PoolWeight struct {
	Pool   string
	Weight int
}

// Repeatable reports whether a request of the route may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Resumable
}

// AbandonAfter returns how long a caller waits for the next part of a response before it
// leaves. For a stream it is the longest of two seconds, four times the latency objective, and
// eight times the gap between events. The platform gives these numbers for its callers.
func (r *Route) AbandonAfter() time.Duration {
	const minimum = 2 * time.Second
	if r.Kind != RouteStream {
		return r.Timeout
	}
	return max(minimum, 4*r.LatencyObjective, 8*r.MaxEventGap)
}

// PoolFor chooses a pool for a request in proportion to the pools' weights. The number random
// must be uniformly distributed. It returns "" if the weights add up to 0.
func (r *Route) PoolFor(random uint64) string {
	totalWeight := 0
	for _, pool := range r.Pools {
		totalWeight += pool.Weight
	}
	if totalWeight == 0 {
		return ""
	}
	offset := int(random % uint64(totalWeight))
	for _, pool := range r.Pools {
		if offset < pool.Weight {
			return pool.Pool
		}
		offset -= pool.Weight
	}
	return ""
}

// Uses reports whether a part of the route's requests goes to a pool.
func (r *Route) Uses(pool string) bool {
	return slices.ContainsFunc(r.Pools, func(p PoolWeight) bool { return p.Pool == pool && p.Weight > 0 })
}

// A Pool is a set of interchangeable targets whose members change over time.
type Pool struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns is how many connections one target accepts from all routers together.
	MaxConns int
	// WarmupTime is how long a target is cold after its start, and WarmupRate is how many
	// requests per second it gets during that time. Both are 0 if targets are never cold.
	WarmupTime time.Duration
	WarmupRate float64
	// Engine describes the pool's model engines; it is nil for a plain service.
	Engine *Engine
}

// An Engine describes model engines with continuous batching and a prefix cache.
type Engine struct {
	Slots int
	// CopyRate is how many tokens of KV cache an engine copies from another one in a
	// millisecond; 0 if it cannot copy.
	CopyRate float64
	// KVCapacity is the size in tokens of the KV cache, which running requests and cached
	// prefixes share.
	KVCapacity int
}

// CallerLimits bound the sizes that callers may send and the time that they may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// A KeyOwner is the account that an API key belongs to.
type KeyOwner struct {
	Account string
	// Priority orders accounts by urgency; 0 is the most urgent. It takes precedence over the
	// priority of a route.
	Priority int
}

// A RoutingTable is one configuration of routes, with all that a router needs to serve it. It
// is immutable.
type RoutingTable struct {
	Number uint64
	Limits CallerLimits
	Pools  map[string]Pool
	// Capacity is the throughput of all engines together in tokens per second: a prompt token
	// counts once, a generated token twice. It is 0 if it is not given.
	Capacity float64
	// KeyOwners maps the digests of API keys to their accounts.
	KeyOwners map[string]KeyOwner
	// AccountCount is how many accounts the configuration declares.
	AccountCount int

	routes map[string]map[string]*Route // by lower-case host, then by prefix
}

// WithRoutes returns a copy of the table with these routes. It returns an *Error of kind
// KindInvalidConfig if two routes have the same host and prefix.
func (t RoutingTable) WithRoutes(routes []Route) (RoutingTable, error) {
	byHost := make(map[string]map[string]*Route)
	for i := range routes {
		route := &routes[i]
		host := strings.ToLower(route.Host)
		if byHost[host] == nil {
			byHost[host] = make(map[string]*Route)
		}
		if other := byHost[host][route.Prefix]; other != nil {
			return t, NewError(KindInvalidConfig, "give each route a place of its own",
				"routes %s and %s share host %s and prefix %s", other.Name, route.Name, route.Host, route.Prefix)
		}
		byHost[host][route.Prefix] = route
	}
	t.routes = byHost
	return t, nil
}

// Route returns the route of a request: among the routes of its host, the one with the longest
// prefix of its path.
func (t *RoutingTable) Route(host, path string) (*Route, bool) {
	if hostname, _, ok := strings.Cut(host, ":"); ok {
		host = hostname
	}
	byPrefix := t.routes[strings.ToLower(host)]
	for prefixEnd := len(path); prefixEnd > 0 && len(byPrefix) > 0; prefixEnd = strings.LastIndexByte(path[:prefixEnd-1], '/') + 1 {
		if path[prefixEnd-1] != '/' {
			continue
		}
		if route := byPrefix[path[:prefixEnd]]; route != nil {
			return route, true
		}
	}
	return nil, false
}

// KeyOwner returns the account that an API key belongs to.
func (t *RoutingTable) KeyOwner(key string) (KeyOwner, bool) {
	owner, ok := t.KeyOwners[KeyDigest(key)]
	return owner, ok
}
