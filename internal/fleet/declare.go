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
	// Warm is how long a target is cold after it came, and Pace how many requests a second
	// it takes meanwhile. What is left out says that targets are never cold.
	WarmupTime Duration `json:"warm,omitempty" toml:"warm,omitempty"`
	WarmupRate float64  `json:"pace,omitempty" toml:"pace,omitempty"`
}

// A LimitSpec bounds what callers of routes may send, in bytes, and how long they
// may take to send a header and stay idle. What is left out has the router's
// defaults.
type LimitSpec struct {
	MaxHeaderBytes int      `json:"header,omitempty" toml:"header,omitempty"`
	MaxBodyBytes   int      `json:"body,omitempty" toml:"body,omitempty"`
	HeaderTimeout  Duration `json:"time,omitempty" toml:"time,omitempty"`
	IdleTimeout    Duration `json:"idle,omitempty" toml:"idle,omitempty"`
}

// A RouteSpec declares a route. What is left out has the defaults of Table.
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

// A PoolPart is the part of a route's requests that a pool gets.
type PoolWeightSpec struct {
	Pool   string `json:"pool" toml:"pool"`
	Weight int    `json:"weight" toml:"weight"`
}

// aimPart is the part of a route's timeout, as a divisor, that is its aim where
// the configuration states none.
const aimPart = 4

// Table returns the routes of a configuration in the form that routers use.
func (c Config) RoutingTable() (*RoutingTable, error) {
	t := RoutingTable{
		Number: c.Number, Capacity: c.Capacity, AccountCount: len(c.Accounts),
		Limits: CallerLimits{
			MaxHeaderBytes: c.Limits.MaxHeaderBytes, MaxBodyBytes: c.Limits.MaxBodyBytes,
			HeaderTimeout: time.Duration(c.Limits.HeaderTimeout), IdleTimeout: time.Duration(c.Limits.IdleTimeout),
		},
		Pools: make(map[string]Pool, len(c.Pools)), KeyOwners: make(map[string]KeyOwner),
	}
	for _, p := range c.Pools {
		t.Pools[p.Name] = Pool{Name: p.Name, WarmupTime: time.Duration(p.WarmupTime), WarmupRate: p.WarmupRate}
	}
	for _, a := range c.Accounts {
		for _, key := range a.Keys {
			t.KeyOwners[key] = KeyOwner{Account: a.Name}
		}
	}
	routes := make([]Route, 0, len(c.Routes))
	for _, r := range c.Routes {
		routes = append(routes, r.route())
	}
	t, err := t.WithRoutes(routes)
	return &t, err
}

func (r RouteSpec) route() Route {
	out := Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind, Resumable: r.Resumable,
		Timeout: time.Duration(r.Timeout), LatencyObjective: time.Duration(r.LatencyObjective), MaxEventGap: time.Duration(r.MaxEventGap),
		Priority: r.Priority, MaxAttempts: max(r.MaxAttempts, 1), Keyless: r.Keyless,
	}
	if out.LatencyObjective == 0 {
		out.LatencyObjective = out.Timeout / aimPart
	}
	for _, p := range r.Pools {
		out.Pools = append(out.Pools, PoolWeight(p))
	}
	return out
}

// Instances returns the targets of the configuration's pools. Gone are targets
// on VMs that leave.
func (c Config) Instances(gone []string) []Instance {
	var list []Instance
	for _, p := range c.Pools {
		for _, t := range c.Targets {
			if slices.Contains(p.Targets, t.Name) {
				list = append(list, Instance{
					Incarnation: Incarnation{ID: p.Name + "/" + t.Name}, Pool: p.Name, Address: t.Address, Zone: t.Zone, Slots: t.Slots,
					Leaving: !t.Live() || slices.Contains(gone, t.Name),
				})
			}
		}
	}
	return list
}

func (v *validator) limits(l LimitSpec) {
	v.check(l.MaxHeaderBytes >= 0 && l.MaxBodyBytes >= 0 && l.HeaderTimeout >= 0 && l.IdleTimeout >= 0, "limits",
		"give bytes and times above 0, or leave them out", "a limit is negative")
}

func (v *validator) pool(key string, p PoolSpec, seen, targets map[string]bool) {
	v.name(key+".name", p.Name, seen)
	v.references(key+".targets", "target", fmt.Sprintf("pool %q", p.Name), p.Targets, targets)
	v.check(p.WarmupTime >= 0 && p.WarmupRate >= 0 && (p.WarmupTime > 0) == (p.WarmupRate > 0), key+".warm",
		`give both warm, as "3s", and pace, in requests a second, or leave both out`, "pool %q is cold for %v at %v a second", p.Name, time.Duration(p.WarmupTime), p.WarmupRate)
}

func (v *validator) route(key string, r RouteSpec, seen, pools map[string]bool, places map[string]string) {
	v.name(key+".name", r.Name, seen)
	v.check(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), key+".prefix",
		"let it begin and end with a slash", "route %q has the prefix %q", r.Name, r.Prefix)
	place := strings.ToLower(r.Host) + r.Prefix
	other, taken := places[place]
	v.check(!taken, key+".prefix", "give each route a place of its own",
		"routes %q and %q have the same host and prefix", other, r.Name)
	places[place] = r.Name
	v.check(r.Host != "", key+".host", "name the host that callers send to", "route %q has no host", r.Name)
	v.check(r.Kind == RouteIdempotent || r.Kind == RouteAtMostOnce || r.Kind == RouteStream, key+".kind",
		`write "idempotent", "once" or "stream"`, "route %q has the kind %q", r.Name, r.Kind)
	v.check(!r.Resumable || r.Kind == RouteStream, key+".resume", "only streams can be resumed", "route %q is no stream", r.Name)
	v.check(r.Timeout > 0, key+".timeout", `write how long callers are kept waiting, as "10s"`, "route %q has no timeout", r.Name)
	v.check(r.LatencyObjective >= 0 && r.MaxEventGap >= 0 && r.MaxAttempts >= 0 && r.Priority >= 0, key, "give no negative figures",
		"route %q has a negative figure", r.Name)
	total := 0
	for _, p := range r.Pools {
		v.check(pools[p.Pool], key+".pools", fmt.Sprintf("declare [[pool]] %q or take it out", p.Pool),
			"route %q names the unknown pool %q", r.Name, p.Pool)
		v.check(p.Weight >= 0, key+".pools", "give weights of 0 or more", "route %q has a negative weight", r.Name)
		total += p.Weight
	}
	v.check(total > 0, key+".pools", `give at least one pool a weight, as pools = [{ pool = "a", weight = 1 }]`,
		"the weights of route %q add up to nothing", r.Name)
}
