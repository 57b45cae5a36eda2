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

// ParseConfig parses and validates a TOML configuration. Its errors are of type
// *tomlfile.Error and give the file, line, key and remedy.
func ParseConfig(file string, data []byte) (Config, error) {
	var config Config
	lines, err := tomlfile.Decode(file, data, &config)
	if err != nil {
		return Config{}, err
	}
	for i := range config.Targets {
		if config.Targets[i].State == "" {
			config.Targets[i].State = TargetLive
		}
	}
	config.dropEmptyLists()
	v := validator{lines: lines}
	v.config(config)
	if v.err != nil {
		return Config{}, v.err
	}
	return config, nil
}

// dropEmptyLists replaces empty lists by nil. A configuration that is read back writes omitted
// lists as empty ones, and its digest must stay the same.
func (c *Config) dropEmptyLists() {
	c.Accounts, c.Targets, c.Events = nilIfEmpty(c.Accounts), nilIfEmpty(c.Targets), nilIfEmpty(c.Events)
	c.Pools, c.Routes = nilIfEmpty(c.Pools), nilIfEmpty(c.Routes)
	for i := range c.Accounts {
		c.Accounts[i].Keys = nilIfEmpty(c.Accounts[i].Keys)
	}
	for i := range c.Events {
		c.Events[i].Accounts, c.Events[i].Targets = nilIfEmpty(c.Events[i].Accounts), nilIfEmpty(c.Events[i].Targets)
	}
	for i := range c.Pools {
		c.Pools[i].Targets = nilIfEmpty(c.Pools[i].Targets)
	}
	for i := range c.Routes {
		c.Routes[i].Pools = nilIfEmpty(c.Routes[i].Pools)
	}
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Validate returns the first fault of a configuration that was not read from a file, as a
// *tomlfile.Error, or nil.
func (c Config) Validate() error {
	var v validator
	v.config(c)
	return v.err
}

// Digest returns a hash of the configuration's content, including its number. It does not
// depend on comments and layout of the file.
func (c Config) Digest() string {
	sum := sha256.Sum256(c.JSON())
	return hex.EncodeToString(sum[:16])
}

// JSON returns the configuration in the encoding in which it is stored and sent.
func (c Config) JSON() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("encode the configuration as JSON (all its fields must be encodable): %v", err))
	}
	return data
}

// TOML returns the configuration as a TOML file that ParseConfig reads.
func (c Config) TOML() ([]byte, error) {
	var buf bytes.Buffer
	encoder := toml.NewEncoder(&buf)
	if err := encoder.Encode(c); err != nil {
		return nil, fmt.Errorf("encode configuration %d: %w", c.Number, err)
	}
	return buf.Bytes(), nil
}

// validator checks a configuration and keeps the first fault that it finds.
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
	accountNames := make(map[string]bool, len(c.Accounts))
	accountByKey := make(map[string]string)
	for i, account := range c.Accounts {
		v.account(fmt.Sprintf("account.%d", i), account, accountNames, accountByKey)
	}
	targetNames := make(map[string]bool, len(c.Targets))
	targetByAddress := make(map[string]string, len(c.Targets))
	for i, target := range c.Targets {
		v.target(fmt.Sprintf("target.%d", i), target, targetNames, targetByAddress)
	}
	eventNames := make(map[string]bool, len(c.Events))
	for i, event := range c.Events {
		v.event(fmt.Sprintf("event.%d", i), event, eventNames, accountNames, targetNames)
	}
	v.check(c.Capacity >= 0, "capacity", "give the engines' tokens a second, or leave it out", "the capacity is %v", c.Capacity)
	v.limits(c.Limits)
	poolNames := make(map[string]bool, len(c.Pools))
	for i, pool := range c.Pools {
		v.pool(fmt.Sprintf("pool.%d", i), pool, poolNames, targetNames)
	}
	routeNames, routeByHostAndPrefix := make(map[string]bool, len(c.Routes)), make(map[string]string, len(c.Routes))
	for i, route := range c.Routes {
		v.route(fmt.Sprintf("route.%d", i), route, routeNames, poolNames, routeByHostAndPrefix)
	}
}

func (v *validator) account(key string, account Account, seen map[string]bool, accountByKey map[string]string) {
	v.name(key+".name", account.Name, seen)
	v.check(account.Share > 0 && account.Share <= 1e6, key+".share", "give a share above 0, up to 1000000",
		"account %q has the share %v", account.Name, account.Share)
	v.check(account.QueueLimit >= 0, key+".queue", "give 0 for the default, or a positive bound",
		"account %q has the queue bound %d", account.Name, account.QueueLimit)
	for _, digest := range account.Keys {
		v.check(keyPattern.MatchString(digest), key+".keys", `write "sha256:" and 64 hex digits; lfctl digest prints it for a key`,
			"account %q has a key that is no digest", account.Name)
		other, taken := accountByKey[digest]
		v.check(!taken, key+".keys", "give each account keys of its own",
			"accounts %q and %q have a key in common", other, account.Name)
		accountByKey[digest] = account.Name
	}
}

func (v *validator) target(key string, target Target, seen map[string]bool, targetByAddress map[string]string) {
	v.name(key+".name", target.Name, seen)
	v.check(validAddress(target.Address), key+".address", `write "IP:PORT"`,
		"target %q has the address %q", target.Name, target.Address)
	other, taken := targetByAddress[target.Address]
	v.check(!taken, key+".address", "name each address once, or its slots would be counted twice",
		"targets %q and %q have the same address", other, target.Name)
	targetByAddress[target.Address] = target.Name
	v.check(target.Zone != "", key+".zone", "name the target's availability zone", "target %q has no zone", target.Name)
	v.check(target.Kind == TargetEngine || target.Kind == TargetService, key+".kind", `write "engine" or "service"`,
		"target %q has the kind %q", target.Name, target.Kind)
	v.check(target.Slots > 0 && target.Slots <= maxSlots, key+".slots", "give the requests it takes at a time, 1 to 65536",
		"target %q has %d slots", target.Name, target.Slots)
	v.check(target.State == TargetLive || target.State == TargetLeaving, key+".state", `write "live" or "leaving"`,
		"target %q has the state %q", target.Name, target.State)
}

func (v *validator) event(key string, event Event, seen, accountNames, targetNames map[string]bool) {
	v.name(key+".name", event.Name, seen)
	v.check(event.Start.IsZero() || event.End.IsZero() || event.Start.Before(event.End), key+".end", "let the event end after its start",
		"event %q ends before it starts", event.Name)
	referrer := fmt.Sprintf("event %q", event.Name)
	v.references(key+".accounts", "account", referrer, event.Accounts, accountNames)
	v.references(key+".targets", "target", referrer, event.Targets, targetNames)
}

func (v *validator) references(key, kind, referrer string, names []string, known map[string]bool) {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		v.check(known[name], key, fmt.Sprintf("declare [[%s]] %q or take it out", kind, name),
			"%s names the unknown %s %q", referrer, kind, name)
		v.check(!seen[name], key, "name it once", "%s names the %s %q twice", referrer, kind, name)
		seen[name] = true
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
