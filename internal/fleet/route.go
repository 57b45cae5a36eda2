package fleet

import (
	"strings"
	"time"
)

// A RouteKind tells how often a request of a route may run, and how its answer
// comes.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests run at most once.
	RouteAtMostOnce RouteKind = "once"
	// RouteStream requests are answered by a stream of events. They run at most
	// once, unless the route is Resumable.
	RouteStream RouteKind = "stream"
)

// A Route sends the requests of one host and path prefix to pools of targets.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Resumable says that a broken stream may go on at another target, after
	// the last event that the caller has.
	Resumable bool
	// Timeout is the longest that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// Aim is the time within which an answer, or the first event of a stream,
	// is of full use to the caller.
	LatencyObjective time.Duration
	// Pause is the longest gap between two events of a stream that is in time.
	MaxEventGap time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Priority int
	// Attempts is how many targets one request may be sent to.
	MaxAttempts int
	// Keyless routes need no key of an account.
	Keyless bool
	// Cached says that targets keep parts of the route's prompts.
	PrefixCached bool
	Pools        []PoolWeight
}

// A PoolWeight is the part of a route's requests that goes to a pool.
type PoolWeight struct {
	Pool   string
	Weight int
}

// Repeatable reports whether a request of the route may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Resumable
}

// Patience is how long a caller waits for the next sign of a stream before it
// leaves: two seconds, four times the aim or eight times the pause between
// events, whichever is longest. The figures are the platform's for its callers.
func (r *Route) AbandonAfter() time.Duration {
	const least = 2 * time.Second
	if r.Kind != RouteStream {
		return r.Timeout
	}
	return max(least, 4*r.LatencyObjective, 8*r.MaxEventGap)
}

// PoolFor returns the pool for a request, drawn by the routes' weights. Draw is
// evenly spread over all values.
func (r *Route) PoolFor(draw uint64) string {
	total := 0
	for _, p := range r.Pools {
		total += p.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(draw % uint64(total))
	for _, p := range r.Pools {
		if at < p.Weight {
			return p.Pool
		}
		at -= p.Weight
	}
	return ""
}

// A Pool is a set of like targets, which come and go.
type Pool struct {
	Name string
	// Health is the path that tells whether a target is healthy.
	HealthPath string
	// Conns is how many connections one target takes from all routers.
	MaxConns int
	// WarmFor is how long a target is cold after its start, and WarmRate how many requests
	// a second it takes meanwhile; 0 where targets are never cold.
	WarmupTime time.Duration
	WarmupRate float64
	// Engine describes the pool's model engines; nil for a plain service.
	Engine *Engine
}

// An Engine describes model engines that batch continuously and keep parts of
// prompts.
type Engine struct {
	Slots int
	// CopyRate is how many tokens an engine copies from another in a millisecond;
	// 0 if it cannot.
	CopyRate float64
	// Memory is the tokens that running requests and kept parts share.
	KVCapacity int
}

// CallerLimits bound what callers may send and how long they may take.
type CallerLimits struct {
	MaxHeaderBytes int // bytes
	MaxBodyBytes   int // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// A Holder is the account that a key names.
type KeyOwner struct {
	Account string
	// Rank orders accounts by urgency; 0 is the most urgent, and it goes before
	// the rank of a route.
	Priority int
}

// A Table is one configuration of routes, with everything that a router needs
// to serve it. It is never changed.
type RoutingTable struct {
	Number uint64
	Limits CallerLimits
	Pools  map[string]Pool
	// Capacity is the tokens that all engines together produce in a second: a
	// token read counts once, a generated one twice. 0 if nobody states it.
	Capacity float64
	// Holders holds the accounts by the digests of their keys.
	KeyOwners map[string]KeyOwner
	// Accounts is how many accounts the configuration declares.
	AccountCount int

	routes map[string]map[string]*Route // by host and prefix
}

// WithRoutes returns a table that holds these routes. A route whose host and
// prefix another one has already is refused.
func (t RoutingTable) WithRoutes(routes []Route) (RoutingTable, error) {
	byHost := make(map[string]map[string]*Route)
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		if byHost[host] == nil {
			byHost[host] = make(map[string]*Route)
		}
		if other := byHost[host][r.Prefix]; other != nil {
			return t, NewError(KindInvalidConfig, "give each route a place of its own",
				"routes %s and %s share host %s and prefix %s", other.Name, r.Name, r.Host, r.Prefix)
		}
		byHost[host][r.Prefix] = r
	}
	t.routes = byHost
	return t, nil
}

// Route returns the route of a request: of those of its host, the one with the
// longest prefix that begins its path.
func (t *RoutingTable) Route(host, path string) (*Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	prefixes := t.routes[strings.ToLower(host)]
	for end := len(path); end > 0 && len(prefixes) > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if path[end-1] != '/' {
			continue
		}
		if r := prefixes[path[:end]]; r != nil {
			return r, true
		}
	}
	return nil, false
}

// Holder returns the account that a key names.
func (t *RoutingTable) KeyOwner(key string) (KeyOwner, bool) {
	h, ok := t.KeyOwners[KeyDigest(key)]
	return h, ok
}
