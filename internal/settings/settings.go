// Package settings reads and checks the TOML settings of routers and keepers at their start.
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

// Router holds the settings of lf-router.
type Router struct {
	Name    string     `toml:"name"`
	Zone    fleet.Zone `toml:"zone"`
	Listen  string     `toml:"listen"`
	Admin   string     `toml:"admin"`
	Keepers []string   `toml:"keepers"`
	Secret  string     `toml:"secret"`
	Level   string     `toml:"level"`
	Format  string     `toml:"format"`
	// RouteListen is the address at which callers of routes are served, or "" if there is none.
	RouteListen string `toml:"hosts"`
	// PeerListen is the address (IP:port, UDP) at which other routers reach this one, or "" if it is
	// not reached.
	PeerListen string `toml:"peer"`
	// Routing holds the settings for serving routes; it is nil if the router serves only events.
	Routing *Routing `toml:"-"`
}

// Keeper holds the settings of lf-keeper.
type Keeper struct {
	Name   string     `toml:"name"`
	Zone   fleet.Zone `toml:"zone"`
	Listen string     `toml:"listen"`
	Admin  string     `toml:"admin"`
	Data   string     `toml:"data"`
	Peers  []string   `toml:"peers"`
	Secret string     `toml:"secret"`
	// VMListURL is the URL of the platform's list of VMs, or "" if there is none.
	VMListURL string `toml:"list"`
	Level     string `toml:"level"`
	Format    string `toml:"format"`
	// AllowUnauthenticated accepts peers that do not prove that they hold the secret. Only the network
	// then protects the keeper.
	AllowUnauthenticated bool `toml:"-"`
	// Zones are the availability zones that the platform's settings list, in addition to those of
	// targets.
	Zones []fleet.Zone `toml:"-"`
	// AutoMembers lets keepers add and remove members of the quorum group automatically. Otherwise
	// only operators change it.
	AutoMembers bool `toml:"-"`
}

// A Peer is a keeper in the list of peers of another keeper.
type Peer struct {
	Name    string
	Address string
}

// PeerList returns the peers in the order of the settings.
func (k Keeper) PeerList() []Peer {
	peers := make([]Peer, 0, len(k.Peers))
	for _, peer := range k.Peers {
		name, address, _ := strings.Cut(peer, "=")
		peers = append(peers, Peer{Name: name, Address: address})
	}
	return peers
}

// ReadRouter reads and checks the settings file of a router. The error is a *tomlfile.Error for the first
// invalid setting.
func ReadRouter(file string) (Router, error) {
	var router Router
	check, err := read(file, &router)
	if err != nil {
		return Router{}, err
	}
	check.nonEmpty("name", router.Name)
	check.nonEmpty("zone", string(router.Zone))
	check.address("listen", router.Listen)
	check.address("admin", router.Admin)
	check.require(len(router.Keepers) > 0, "keepers", "list the keepers' addresses", "the list is empty")
	for _, keeper := range router.Keepers {
		check.address("keepers", keeper)
	}
	check.secretFile("secret", router.Secret)
	check.logOptions(router.Level, router.Format)
	if router.RouteListen != "" {
		check.address("hosts", router.RouteListen)
		router.Routing = DefaultRouting()
	}
	return router, check.err
}

// ReadKeeper reads and checks the settings file of a keeper. The error is a *tomlfile.Error for the first
// invalid setting.
func ReadKeeper(file string) (Keeper, error) {
	var keeper Keeper
	check, err := read(file, &keeper)
	if err != nil {
		return Keeper{}, err
	}
	check.nonEmpty("name", keeper.Name)
	check.nonEmpty("zone", string(keeper.Zone))
	check.address("listen", keeper.Listen)
	check.address("admin", keeper.Admin)
	check.nonEmpty("data", keeper.Data)
	check.peers(keeper)
	check.secretFile("secret", keeper.Secret)
	check.require(keeper.VMListURL == "" || strings.HasPrefix(keeper.VMListURL, "http://"), "list",
		`write "http://IP:PORT/PATH", or leave it out`, "%q is not the URL of a list of VMs", keeper.VMListURL)
	check.logOptions(keeper.Level, keeper.Format)
	return keeper, check.err
}

// NewLogger returns a logger to standard error with the level and format ("text" or "json") of the
// settings. The default level is info.
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

// checker checks settings and keeps the first error.
type checker struct {
	lines tomlfile.KeyLines
	err   error
}

// read decodes a settings file into target.
func read(file string, target any) (*checker, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &tomlfile.Error{File: file, Message: err.Error(), Remedy: "name a readable settings file with --config"}
	}
	lines, err := tomlfile.Decode(file, data, target)
	if err != nil {
		return nil, err
	}
	return &checker{lines: lines}, nil
}

// require records an error at the key unless ok is true.
func (c *checker) require(ok bool, key, remedy, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	c.err = c.lines.Errorf(key, remedy, format, args...)
}

func (c *checker) nonEmpty(key, value string) {
	c.require(value != "", key, fmt.Sprintf("set %s", key), "the setting is missing or empty")
}

func (c *checker) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	ok := err == nil && port != "" && net.ParseIP(host) != nil
	c.require(ok, key, `write "IP:PORT"`, "%q is not an address", value)
}

func (c *checker) secretFile(key, file string) {
	c.nonEmpty(key, file)
	info, err := os.Stat(file)
	c.require(err == nil, key, "create the file; all processes of a fleet share it", "the secret file %q cannot be read", file)
	c.require(err != nil || info.Size() >= minSecretSize, key, "put at least 16 random bytes into it",
		"the secret file %q is too short", file)
}

const minSecretSize = 16

func (c *checker) logOptions(level, format string) {
	c.require(level == "" || hclog.LevelFromString(level) != hclog.NoLevel, "level",
		"write trace, debug, info, warn or error", "%q is not a log level", level)
	c.require(format == "" || format == "text" || format == "json", "format",
		"write text or json", "%q is not a log format", format)
}

// peers checks the list of peers, which must include the keeper itself.
func (c *checker) peers(keeper Keeper) {
	seen := make(map[string]bool)
	for _, peer := range keeper.PeerList() {
		c.require(peer.Name != "" && !seen[peer.Name], "peers", `write each peer once, as "name=IP:PORT"`, "the peer %q is invalid or listed twice", peer.Name)
		c.address("peers", peer.Address)
		seen[peer.Name] = true
	}
	c.require(seen[keeper.Name], "peers", "name this keeper among its peers", "the keeper %q is not among its peers", keeper.Name)
}
