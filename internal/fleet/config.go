package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"laburnumfall/internal/tomlfile"
)

const (
	maxNameLength = 64
	maxSlots      = 1 << 16
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)
	keyPattern  = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// ParseConfig reads a TOML configuration. Its errors are *tomlfile.Error and
// name file, line, key and remedy.
func ParseConfig(file string, data []byte) (Config, error) {
	var c Config
	lines, err := tomlfile.Decode(file, data, &c)
	if err != nil {
		return Config{}, err
	}
	for i := range c.Targets {
		if c.Targets[i].State == "" {
			c.Targets[i].State = TargetLive
		}
	}
	c.dropEmpty()
	v := validator{lines: lines}
	v.config(c)
	if v.err != nil {
		return Config{}, v.err
	}
	return c, nil
}

// dropEmpty makes lists that are empty like those that are left out, since a configuration
// that is read back writes them as empty, and must have the digest that it had.
func (c *Config) dropEmpty() {
	c.Accounts, c.Targets, c.Events = orNone(c.Accounts), orNone(c.Targets), orNone(c.Events)
	c.Pools, c.Routes = orNone(c.Pools), orNone(c.Routes)
	for i := range c.Accounts {
		c.Accounts[i].Keys = orNone(c.Accounts[i].Keys)
	}
	for i := range c.Events {
		c.Events[i].Accounts, c.Events[i].Targets = orNone(c.Events[i].Accounts), orNone(c.Events[i].Targets)
	}
	for i := range c.Pools {
		c.Pools[i].Targets = orNone(c.Pools[i].Targets)
	}
	for i := range c.Routes {
		c.Routes[i].Pools = orNone(c.Routes[i].Pools)
	}
}

func orNone[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Check returns the first fault of a configuration that was not read from a
// file.
func (c Config) Validate() error {
	var v validator
	v.config(c)
	return v.err
}

// Digest returns the digest of the configuration's content, its number
// included. Comments and layout of the file do not count.
func (c Config) Digest() string {
	sum := sha256.Sum256(c.JSON())
	return hex.EncodeToString(sum[:16])
}

// JSON returns the configuration in the form that is stored and sent.
func (c Config) JSON() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("a configuration holds only plain fields: %v", err))
	}
	return data
}

// TOML returns the configuration as an operator would write it.
func (c Config) TOML() ([]byte, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	if err := enc.Encode(c); err != nil {
		return nil, fmt.Errorf("encode configuration %d: %w", c.Number, err)
	}
	return b.Bytes(), nil
}

// validator keeps the first fault that it finds.
type validator struct {
	lines tomlfile.Lines
	err   error
}

func (v *validator) check(ok bool, key, remedy, format string, args ...any) {
	if ok || v.err != nil {
		return
	}
	v.err = v.lines.Errorf(key, remedy, format, args...)
}

func (v *validator) config(c Config) {
	v.check(c.Number > 0, "number", "give a number above the one in force", "the number is missing or 0")
	accounts := make(map[string]bool, len(c.Accounts))
	keys := make(map[string]string)
	for i, a := range c.Accounts {
		v.account(fmt.Sprintf("account.%d", i), a, accounts, keys)
	}
	targets := make(map[string]bool, len(c.Targets))
	addresses := make(map[string]string, len(c.Targets))
	for i, t := range c.Targets {
		v.target(fmt.Sprintf("target.%d", i), t, targets, addresses)
	}
	events := make(map[string]bool, len(c.Events))
	for i, e := range c.Events {
		v.event(fmt.Sprintf("event.%d", i), e, events, accounts, targets)
	}
	v.check(c.Capacity >= 0, "capacity", "give the engines' tokens a second, or leave it out", "the capacity is %v", c.Capacity)
	v.limits(c.Limits)
	pools := make(map[string]bool, len(c.Pools))
	for i, p := range c.Pools {
		v.pool(fmt.Sprintf("pool.%d", i), p, pools, targets)
	}
	routes, places := make(map[string]bool, len(c.Routes)), make(map[string]string, len(c.Routes))
	for i, r := range c.Routes {
		v.route(fmt.Sprintf("route.%d", i), r, routes, pools, places)
	}
}

func (v *validator) account(key string, a Account, seen map[string]bool, keys map[string]string) {
	v.name(key+".name", a.Name, seen)
	v.check(a.Share > 0 && a.Share <= 1e6, key+".share", "give a share above 0, up to 1000000",
		"account %q has the share %v", a.Name, a.Share)
	v.check(a.QueueLimit >= 0, key+".queue", "give 0 for the default, or a positive bound",
		"account %q has the queue bound %d", a.Name, a.QueueLimit)
	for _, k := range a.Keys {
		v.check(keyPattern.MatchString(k), key+".keys", `write "sha256:" and 64 hex digits; lfctl digest prints it for a key`,
			"account %q has a key that is no digest", a.Name)
		other, taken := keys[k]
		v.check(!taken, key+".keys", "give each account keys of its own",
			"accounts %q and %q have a key in common", other, a.Name)
		keys[k] = a.Name
	}
}

func (v *validator) target(key string, t Target, seen map[string]bool, addresses map[string]string) {
	v.name(key+".name", t.Name, seen)
	v.check(validAddress(t.Address), key+".address", `write "IP:PORT"`,
		"target %q has the address %q", t.Name, t.Address)
	other, taken := addresses[t.Address]
	v.check(!taken, key+".address", "name each address once, or its slots would be counted twice",
		"targets %q and %q have the same address", other, t.Name)
	addresses[t.Address] = t.Name
	v.check(t.Zone != "", key+".zone", "name the target's availability zone", "target %q has no zone", t.Name)
	v.check(t.Kind == TargetEngine || t.Kind == TargetService, key+".kind", `write "engine" or "service"`,
		"target %q has the kind %q", t.Name, t.Kind)
	v.check(t.Slots > 0 && t.Slots <= maxSlots, key+".slots", "give the requests it takes at a time, 1 to 65536",
		"target %q has %d slots", t.Name, t.Slots)
	v.check(t.State == TargetLive || t.State == TargetLeaving, key+".state", `write "live" or "leaving"`,
		"target %q has the state %q", t.Name, t.State)
}

func (v *validator) event(key string, e Event, seen, accounts, targets map[string]bool) {
	v.name(key+".name", e.Name, seen)
	v.check(e.Start.IsZero() || e.End.IsZero() || e.Start.Before(e.End), key+".end", "let the event end after its start",
		"event %q ends before it starts", e.Name)
	owner := fmt.Sprintf("event %q", e.Name)
	v.references(key+".accounts", "account", owner, e.Accounts, accounts)
	v.references(key+".targets", "target", owner, e.Targets, targets)
}

func (v *validator) references(key, what, owner string, names []string, known map[string]bool) {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		v.check(known[n], key, fmt.Sprintf("declare [[%s]] %q or take it out", what, n),
			"%s names the unknown %s %q", owner, what, n)
		v.check(!seen[n], key, "name it once", "%s names the %s %q twice", owner, what, n)
		seen[n] = true
	}
}

func (v *validator) name(key, name string, seen map[string]bool) {
	v.check(len(name) <= maxNameLength && namePattern.MatchString(name), key,
		"use up to 64 of a-z, 0-9, '.', '_' and '-'", "%q is no name", name)
	v.check(!seen[name], key, "give each its own name", "the name %q stands twice", name)
	seen[name] = true
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" || strings.HasPrefix(port, "-") {
		return false
	}
	return net.ParseIP(host) != nil
}
