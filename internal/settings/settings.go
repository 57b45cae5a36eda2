// Package settings reads and checks the TOML settings of each program before
// anything starts.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/tomlfile"
)

// A Router is the settings of lf-router.
type Router struct {
	Name    string     `toml:"name"`
	Zone    fleet.Zone `toml:"zone"`
	Listen  string     `toml:"listen"`
	Admin   string     `toml:"admin"`
	Keepers []string   `toml:"keepers"`
	Secret  string     `toml:"secret"`
	Level   string     `toml:"level"`
	Format  string     `toml:"format"`
	// Hosts is the address where callers of routes come in, or "".
	RouteListen string `toml:"hosts"`
	// Routes are the settings of a router of routes; nil where it serves events
	// only.
	Routing *Routing `toml:"-"`
}

// A Keeper is the settings of lf-keeper.
type Keeper struct {
	Name   string     `toml:"name"`
	Zone   fleet.Zone `toml:"zone"`
	Listen string     `toml:"listen"`
	Admin  string     `toml:"admin"`
	Data   string     `toml:"data"`
	Peers  []string   `toml:"peers"`
	Secret string     `toml:"secret"`
	// List is the URL of the platform's list of VMs, or "".
	VMListURL string `toml:"list"`
	Level     string `toml:"level"`
	Format    string `toml:"format"`
	// Open lets peers in without proof of a shared secret: the network alone
	// keeps strangers out.
	AllowUnauthenticated bool `toml:"-"`
	// Zones are the availability zones that the platform names, beside those of targets.
	Zones []fleet.Zone `toml:"-"`
	// AutoMembers lets keepers take each other in and out of the group by themselves;
	// else that is an operator's order.
	AutoMembers bool `toml:"-"`
}

// A Peer is a keeper as named in the settings of another.
type Peer struct {
	Name    string
	Address string
}

// PeerList returns the peers in the order of the settings.
func (k Keeper) PeerList() []Peer {
	peers := make([]Peer, 0, len(k.Peers))
	for _, p := range k.Peers {
		name, address, _ := strings.Cut(p, "=")
		peers = append(peers, Peer{Name: name, Address: address})
	}
	return peers
}

// ReadRouter reads and checks the settings of a router.
func ReadRouter(file string) (Router, error) {
	var r Router
	c, err := read(file, &r)
	if err != nil {
		return Router{}, err
	}
	c.text("name", r.Name)
	c.text("zone", string(r.Zone))
	c.address("listen", r.Listen)
	c.address("admin", r.Admin)
	c.require(len(r.Keepers) > 0, "keepers", "list the keepers' addresses", "no keeper is named")
	for _, k := range r.Keepers {
		c.address("keepers", k)
	}
	c.secret("secret", r.Secret)
	c.logging(r.Level, r.Format)
	if r.RouteListen != "" {
		c.address("hosts", r.RouteListen)
		r.Routing = DefaultRouting()
	}
	return r, c.err
}

// ReadKeeper reads and checks the settings of a keeper.
func ReadKeeper(file string) (Keeper, error) {
	var k Keeper
	c, err := read(file, &k)
	if err != nil {
		return Keeper{}, err
	}
	c.text("name", k.Name)
	c.text("zone", string(k.Zone))
	c.address("listen", k.Listen)
	c.address("admin", k.Admin)
	c.text("data", k.Data)
	c.peers(k)
	c.secret("secret", k.Secret)
	c.require(k.VMListURL == "" || strings.HasPrefix(k.VMListURL, "http://"), "list",
		`write "http://IP:PORT/PATH", or leave it out`, "%q is no URL of a list of VMs", k.VMListURL)
	c.logging(k.Level, k.Format)
	return k, c.err
}

// Logger returns a logger as the settings ask for it.
func NewLogger(name, level, format string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(orDefault(level, "info")),
		JSONFormat: format == "json",
		Output:     os.Stderr,
	})
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// checker keeps the first fault that it finds.
type checker struct {
	lines tomlfile.KeyLines
	err   error
}

func read(file string, v any) (*checker, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &tomlfile.Error{File: file, Message: err.Error(), Remedy: "name a readable settings file with --config"}
	}
	lines, err := tomlfile.Decode(file, data, v)
	if err != nil {
		return nil, err
	}
	return &checker{lines: lines}, nil
}

func (c *checker) require(ok bool, key, remedy, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	c.err = c.lines.Errorf(key, remedy, format, args...)
}

func (c *checker) text(key, value string) {
	c.require(value != "", key, fmt.Sprintf("set %s", key), "the setting is missing or empty")
}

func (c *checker) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	ok := err == nil && port != "" && net.ParseIP(host) != nil
	c.require(ok, key, `write "IP:PORT"`, "%q is no address", value)
}

func (c *checker) secret(key, file string) {
	c.text(key, file)
	info, err := os.Stat(file)
	c.require(err == nil, key, "create the file; all processes of a fleet share it", "the secret %q cannot be read", file)
	c.require(err != nil || info.Size() >= minSecretSize, key, "put at least 16 random bytes into it",
		"the secret %q is too short", file)
}

const minSecretSize = 16

func (c *checker) logging(level, format string) {
	c.require(level == "" || hclog.LevelFromString(level) != hclog.NoLevel, "level",
		"write trace, debug, info, warn or error", "%q is no log level", level)
	c.require(format == "" || format == "text" || format == "json", "format",
		"write text or json", "%q is no log format", format)
}

func (c *checker) peers(k Keeper) {
	seen := make(map[string]bool)
	for _, p := range k.PeerList() {
		c.require(p.Name != "" && !seen[p.Name], "peers", `write each peer once, as "name=IP:PORT"`, "the peer %q is wrong", p.Name)
		c.address("peers", p.Address)
		seen[p.Name] = true
	}
	c.require(seen[k.Name], "peers", "name this keeper among its peers", "the keeper %q is not among its peers", k.Name)
}
