package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// A PoolSpec declares a pool of a configuration's targets.
type PoolSpec struct {
	Name    string   `json:"name" toml:"name"`
	Targets []string `json:"targets" toml:"targets"`
	// WarmupTime is how long a new target is cold, and WarmupRate is how many requests per
	// second it gets during that time (slow start). Both are 0 if targets are never cold.
	WarmupTime Duration `json:"warm,omitempty" toml:"warm,omitempty"`
	WarmupRate float64  `json:"pace,omitempty" toml:"pace,omitempty"`
}

// A LimitSpec declares limits for callers of routes: sizes in bytes, the time to send a
// header, and the time that a connection may stay idle. The router has a default for each
// limit that is left out.
type LimitSpec struct {
	MaxHeaderBytes int      `json:"header,omitempty" toml:"header,omitempty"`
	MaxBodyBytes   int      `json:"body,omitempty" toml:"body,omitempty"`
	HeaderTimeout  Duration `json:"time,omitempty" toml:"time,omitempty"`
	IdleTimeout    Duration `json:"idle,omitempty" toml:"idle,omitempty"`
}

// A RouteSpec declares a route. [Config.RoutingTable] sets the defaults of omitted fields.
type RouteSpec struct {
	Name             string           `json:"name" toml:"name"`
	Host             string           `json:"host" toml:"host"`
	Prefix           string           `json:"prefix" toml:"prefix"`
	Kind             RouteKind        `json:"kind" toml:"kind"`
	Resumable        bool             `json:"resume,omitempty" toml:"resume,omitempty"`
	Timeout          Duration         `json:"timeout" toml:"timeout"`
	LatencyObjective Duration         `json:"aim,omitempty" toml:"aim,omitempty"`
	MaxEventGap      Duration         `json:"pause,omitempty" toml:"pause,omitempty"`
	Priority         int              `json:"rank,omitempty" toml:"rank,omitempty"`
	MaxAttempts      int              `json:"attempts,omitempty" toml:"attempts,omitempty"`
	Keyless          bool             `json:"keyless,omitempty" toml:"keyless,omitempty"`
	Pools            []PoolWeightSpec `json:"pools" toml:"pools"`
}

// A PoolWeightSpec declares the relative part of a route's requests that a pool gets.
type PoolWeightSpec struct {
	Pool   string `json:"pool" toml:"pool"`
	Weight int    `json:"weight" toml:"weight"`
}

// defaultObjectiveDivisor divides a route's timeout to get its latency objective if the
// configuration gives none.
const defaultObjectiveDivisor = 4

// RoutingTable returns the routes and pools of the configuration in the form that routers
// use. Its error is that of [RoutingTable.WithRoutes].
func (c Config) RoutingTable() (*RoutingTable, error) {
	table := RoutingTable{
		Number: c.Number, Capacity: c.Capacity, AccountCount: len(c.Accounts),
		Limits: CallerLimits{
			MaxHeaderBytes: c.Limits.MaxHeaderBytes, MaxBodyBytes: c.Limits.MaxBodyBytes,
			HeaderTimeout: time.Duration(c.Limits.HeaderTimeout), IdleTimeout: time.Duration(c.Limits.IdleTimeout),
		},
		Pools: make(map[string]Pool, len(c.Pools)), KeyOwners: make(map[string]KeyOwner),
	}
	for _, pool := range c.Pools {
		table.Pools[pool.Name] = Pool{Name: pool.Name, WarmupTime: time.Duration(pool.WarmupTime), WarmupRate: pool.WarmupRate}
	}
	for _, account := range c.Accounts {
		for _, key := range account.Keys {
			table.KeyOwners[key] = KeyOwner{Account: account.Name}
		}
	}
	routes := make([]Route, 0, len(c.Routes))
	for _, route := range c.Routes {
		routes = append(routes, route.route())
	}
	table, err := table.WithRoutes(routes)
	return &table, err
}

func (r RouteSpec) route() Route {
	route := Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind, Resumable: r.Resumable,
		Timeout: time.Duration(r.Timeout), LatencyObjective: time.Duration(r.LatencyObjective), MaxEventGap: time.Duration(r.MaxEventGap),
		Priority: r.Priority, MaxAttempts: max(r.MaxAttempts, 1), Keyless: r.Keyless,
	}
	if route.LatencyObjective == 0 {
		route.LatencyObjective = route.Timeout / defaultObjectiveDivisor
	}
	for _, pool := range r.Pools {
		route.Pools = append(route.Pools, PoolWeight(pool))
	}
	return route
}

// Instances returns the targets of the configuration's pools. Those named by leaving are on
// VMs that are about to stop; they are marked as leaving.
func (c Config) Instances(leaving []string) []Instance {
	var instances []Instance
	for _, pool := range c.Pools {
		for _, target := range c.Targets {
			if slices.Contains(pool.Targets, target.Name) {
				instances = append(instances, Instance{
					Incarnation: Incarnation{ID: pool.Name + "/" + target.Name}, Pool: pool.Name, Address: target.Address, Zone: target.Zone, Slots: target.Slots,
					Leaving: !target.Live() || slices.Contains(leaving, target.Name),
				})
			}
		}
	}
	return instances
}

func (v *validator) limits(limits LimitSpec) {
	v.check(limits.MaxHeaderBytes >= 0 && limits.MaxBodyBytes >= 0 && limits.HeaderTimeout >= 0 && limits.IdleTimeout >= 0, "limits",
		"give bytes and times above 0, or leave them out", "a limit is negative")
}

func (v *validator) pool(key string, pool PoolSpec, seen, targetNames map[string]bool) {
	v.name(key+".name", pool.Name, seen)
	v.references(key+".targets", "target", fmt.Sprintf("pool %q", pool.Name), pool.Targets, targetNames)
	v.check(pool.WarmupTime >= 0 && pool.WarmupRate >= 0 && (pool.WarmupTime > 0) == (pool.WarmupRate > 0), key+".warm",
		`give both warm, as "3s", and pace, in requests a second, or leave both out`, "pool %q is cold for %v at %v a second", pool.Name, time.Duration(pool.WarmupTime), pool.WarmupRate)
}

func (v *validator) route(key string, route RouteSpec, seen, poolNames map[string]bool, routeByHostAndPrefix map[string]string) {
	v.name(key+".name", route.Name, seen)
	v.check(strings.HasPrefix(route.Prefix, "/") && strings.HasSuffix(route.Prefix, "/"), key+".prefix",
		"let it begin and end with a slash", "route %q has the prefix %q", route.Name, route.Prefix)
	hostAndPrefix := strings.ToLower(route.Host) + route.Prefix
	other, taken := routeByHostAndPrefix[hostAndPrefix]
	v.check(!taken, key+".prefix", "give each route a place of its own",
		"routes %q and %q have the same host and prefix", other, route.Name)
	routeByHostAndPrefix[hostAndPrefix] = route.Name
	v.check(route.Host != "", key+".host", "name the host that callers send to", "route %q has no host", route.Name)
	v.check(route.Kind == RouteIdempotent || route.Kind == RouteAtMostOnce || route.Kind == RouteStream, key+".kind",
		`write "idempotent", "once" or "stream"`, "route %q has the kind %q", route.Name, route.Kind)
	v.check(!route.Resumable || route.Kind == RouteStream, key+".resume", "only streams can be resumed", "route %q is no stream", route.Name)
	v.check(route.Timeout > 0, key+".timeout", `write how long callers are kept waiting, as "10s"`, "route %q has no timeout", route.Name)
	v.check(route.LatencyObjective >= 0 && route.MaxEventGap >= 0 && route.MaxAttempts >= 0 && route.Priority >= 0, key, "give no negative figures",
		"route %q has a negative figure", route.Name)
	totalWeight := 0
	for _, pool := range route.Pools {
		v.check(poolNames[pool.Pool], key+".pools", fmt.Sprintf("declare [[pool]] %q or take it out", pool.Pool),
			"route %q names the unknown pool %q", route.Name, pool.Pool)
		v.check(pool.Weight >= 0, key+".pools", "give weights of 0 or more", "route %q has a negative weight", route.Name)
		totalWeight += pool.Weight
	}
	v.check(totalWeight > 0, key+".pools", `give at least one pool a weight, as pools = [{ pool = "a", weight = 1 }]`,
		"the weights of route %q add up to nothing", route.Name)
}
