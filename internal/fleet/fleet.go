// Package fleet has the domain types that all processes of the fleet share: VMs, availability
// zones, client accounts, targets, events, routes, and the configuration that declares them.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// A Zone is the name of an availability zone.
type Zone string

// A VM is a machine in the platform's list of VMs. Address is its IP address. Leaving says
// that the VM is about to stop.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    Zone   `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// An Account is a client account. Share is its weight in the fair division of capacity between
// accounts. Keys are the "sha256:" digests of its API keys.
type Account struct {
	Name  string   `json:"name" toml:"name"`
	Share float64  `json:"share" toml:"share"`
	Keys  []string `json:"keys" toml:"keys"`
	// QueueLimit is how many requests may wait in one router; 0 means DefaultQueueLimit.
	QueueLimit int `json:"queue,omitempty" toml:"queue,omitempty"`
}

// DefaultQueueLimit is how many requests of one account may wait in one router by default.
const DefaultQueueLimit = 1024

// EffectiveQueueLimit returns how many requests of the account may wait in one router.
func (a Account) EffectiveQueueLimit() int {
	if a.QueueLimit > 0 {
		return a.QueueLimit
	}
	return DefaultQueueLimit
}

// A TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// A TargetState says whether a target accepts new work.
type TargetState string

// The states of a target.
const (
	TargetLive    TargetState = "live"
	TargetLeaving TargetState = "leaving"
)

// A Target is a back end that runs up to Slots requests at a time. Fenced says that it rejects
// requests with an outdated fencing token.
type Target struct {
	Name    string      `json:"name" toml:"name"`
	Address string      `json:"address" toml:"address"`
	Zone    Zone        `json:"zone" toml:"zone"`
	Kind    TargetKind  `json:"kind" toml:"kind"`
	Slots   int         `json:"slots" toml:"slots"`
	Fenced  bool        `json:"fenced" toml:"fenced"`
	State   TargetState `json:"state" toml:"state"`
}

// Instance returns the target as an instance of no pool. Its start time is not known.
func (t Target) Instance() Instance {
	return Instance{Incarnation: Incarnation{ID: t.Name}, Address: t.Address, Zone: t.Zone, Slots: t.Slots, Leaving: !t.Live()}
}

// Live reports whether the target accepts new work.
func (t Target) Live() bool {
	return t.State == TargetLive
}

// An Event is a period in which accounts share a set of targets. If Start or End is zero, the
// period has no bound on that side.
type Event struct {
	Name     string    `json:"name" toml:"name"`
	Start    time.Time `json:"start,omitzero" toml:"start,omitempty"`
	End      time.Time `json:"end,omitzero" toml:"end,omitempty"`
	Accounts []string  `json:"accounts" toml:"accounts"`
	Targets  []string  `json:"targets" toml:"targets"`
}

// Admits reports whether the account may use the event.
func (e Event) Admits(account string) bool {
	return slices.Contains(e.Accounts, account)
}

// Open reports whether the event accepts requests at now.
func (e Event) Open(now time.Time) bool {
	if !e.Start.IsZero() && now.Before(e.Start) {
		return false
	}
	return e.End.IsZero() || now.Before(e.End)
}

// A Config is one complete configuration. It is immutable once parsed.
type Config struct {
	Number   uint64    `json:"number" toml:"number"`
	Accounts []Account `json:"account" toml:"account,omitempty"`
	Targets  []Target  `json:"target" toml:"target,omitempty"`
	Events   []Event   `json:"event" toml:"event,omitempty"`
	// Capacity is the throughput of the engines of all pools in tokens per second; 0 if it is
	// not given.
	Capacity float64     `json:"capacity,omitempty" toml:"capacity,omitempty"`
	Limits   LimitSpec   `json:"limits,omitzero" toml:"limits,omitempty"`
	Pools    []PoolSpec  `json:"pool,omitempty" toml:"pool,omitempty"`
	Routes   []RouteSpec `json:"route,omitempty" toml:"route,omitempty"`
}

// WithNumber returns a copy of the configuration with another number.
func (c Config) WithNumber(number uint64) Config {
	c.Number = number
	return c
}

// WithTargetState returns a copy of the configuration in which the named target has the state.
func (c Config) WithTargetState(name string, state TargetState) Config {
	c.Targets = slices.Clone(c.Targets)
	for i := range c.Targets {
		if c.Targets[i].Name == name {
			c.Targets[i].State = state
		}
	}
	return c
}

// KeyDigest returns the digest by which a configuration identifies a caller's API key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + hex.EncodeToString(sum[:])
}

const keyPrefix = "sha256:"
