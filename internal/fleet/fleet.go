// Package fleet holds the domain types that every process of the fleet
// shares: VMs, availability zones, client accounts, targets, events and the
// configuration that declares them.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// A Zone is the name of an availability zone.
type Zone string

// A VM is a machine of the platform's list of VMs. Address is its IP address.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    Zone   `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// An Account is a client account. Share is its weight against other accounts;
// Keys are "sha256:" digests of the keys that name it.
type Account struct {
	Name  string   `json:"name" toml:"name"`
	Share float64  `json:"share" toml:"share"`
	Keys  []string `json:"keys" toml:"keys"`
	// Queue bounds the requests that wait in one router; 0 means DefaultQueue.
	QueueLimit int `json:"queue,omitempty" toml:"queue,omitempty"`
}

// DefaultQueue is how many requests of one account may wait in one router.
const DefaultQueueLimit = 1024

// QueueBound returns how many requests of the account may wait in one router.
func (a Account) EffectiveQueueLimit() int {
	if a.QueueLimit > 0 {
		return a.QueueLimit
	}
	return DefaultQueueLimit
}

// A TargetKind tells model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// A TargetState tells whether a target takes new work.
type TargetState string

// The states of a target.
const (
	TargetLive    TargetState = "live"
	TargetLeaving TargetState = "leaving"
)

// A Target is a back end that runs requests, Slots of them at a time.
type Target struct {
	Name    string      `json:"name" toml:"name"`
	Address string      `json:"address" toml:"address"`
	Zone    Zone        `json:"zone" toml:"zone"`
	Kind    TargetKind  `json:"kind" toml:"kind"`
	Slots   int         `json:"slots" toml:"slots"`
	Fenced  bool        `json:"fenced" toml:"fenced"`
	State   TargetState `json:"state" toml:"state"`
}

// Live reports whether the target takes new work.
func (t Target) Live() bool {
	return t.State == TargetLive
}

// An Event is a period in which accounts share a set of targets. A zero Start
// or End leaves that side open.
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

// Open reports whether the event takes requests at now.
func (e Event) Open(now time.Time) bool {
	if !e.Start.IsZero() && now.Before(e.Start) {
		return false
	}
	return e.End.IsZero() || now.Before(e.End)
}

// A Config is one whole configuration. It is never changed once parsed.
type Config struct {
	Number   uint64    `json:"number" toml:"number"`
	Accounts []Account `json:"account" toml:"account,omitempty"`
	Targets  []Target  `json:"target" toml:"target,omitempty"`
	Events   []Event   `json:"event" toml:"event,omitempty"`
	// Capacity is the tokens a second that the engines of all pools produce; 0
	// if nobody states it.
	Capacity float64     `json:"capacity,omitempty" toml:"capacity,omitempty"`
	Limits   LimitSpec   `json:"limits,omitzero" toml:"limits,omitempty"`
	Pools    []PoolSpec  `json:"pool,omitempty" toml:"pool,omitempty"`
	Routes   []RouteSpec `json:"route,omitempty" toml:"route,omitempty"`
}

// WithNumber returns a copy of the configuration under another number.
func (c Config) WithNumber(number uint64) Config {
	c.Number = number
	return c
}

// WithTargetState returns a copy in which the named target has the state.
func (c Config) WithTargetState(name string, state TargetState) Config {
	c.Targets = slices.Clone(c.Targets)
	for i := range c.Targets {
		if c.Targets[i].Name == name {
			c.Targets[i].State = state
		}
	}
	return c
}

// KeyDigest returns the form in which a configuration holds a caller's key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + hex.EncodeToString(sum[:])
}

const keyPrefix = "sha256:"
