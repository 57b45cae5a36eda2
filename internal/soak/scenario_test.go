package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// An eventKind is the kind of component that an event affects.
type eventKind string

// The kinds of event, in the words of scenario files. An event's victim is an index from 0; targets
// count from the one added last.
const (
	kindRouter     eventKind = "router" // a router's process
	kindKeeper     eventKind = "keeper" // a keeper's process
	kindRouterLink eventKind = "door"   // the connections of callers to a router
	kindKeeperLink eventKind = "peer"   // the connections of all other processes to a keeper
	kindTargetLink eventKind = "link"   // the connections of routers to a target
	kindTarget     eventKind = "target"
	kindConfig     eventKind = "config"
	kindTargetList eventKind = "list" // the list of targets
	kindZone       eventKind = "zone" // the targets of a zone
	// kindHost is all processes at the same time, including the test process.
	kindHost eventKind = "machine"
	// kindRequest is a caller that sends one request repeatedly, through all routers.
	kindRequest eventKind = "request"
)

// The actions of events, in the words of scenario files. actionDelay to actionBlockBoth apply to
// connections; inbound data is sent to the victim, outbound data by the victim.
const (
	actionPause           = "pause"
	actionKill            = "kill"
	actionStop            = "stop"
	actionSIGHUP          = "hup"    // a process gets SIGHUP
	actionChangeSeeds     = "reseed" // the settings file of a process gets other keepers as seeds
	actionFailDisk        = "disk"   // a keeper's disk fails
	actionPartialRequests = "half"   // a process gets requests that are never completed
	actionDelay           = "delay"
	actionReset           = "reset"
	actionBlockInbound    = "in"
	actionBlockOutbound   = "out"
	actionBlockBoth       = "both"
	actionReplace         = "replace"  // a target is added and the oldest one drains
	actionRestart         = "restart"  // a target restarts under its ID and address
	actionBackOff         = "backoff"  // a target turns requests away and asks for a pause
	actionLeave           = "leave"    // like replace, but the oldest target's responses say first that it leaves
	actionTruncate        = "truncate" // a target breaks off its streams inside an event
	actionDamageEntries   = "damage"   // the list contains invalid entries
	actionGarbleList      = "garble"   // the list cannot be decoded
	actionChangeConfig    = "change"
	actionRevokeKey       = "withdraw"
	actionCrashTargets    = "crash" // a request crashes each target that runs it; see variantPart
	actionEvacuate        = "evacuate"
)

// The variants of actions, in the words of scenario files.
const (
	variantDiskLost       = "lost"   // a killed keeper's disk is lost
	variantTornWrite      = "torn"   // a killed keeper's last write is torn
	variantClockAhead     = "ahead"  // a killed process restarts with a time of day that is ahead
	variantClockBehind    = "behind" // or with one that is behind
	variantClockFast      = "fast"   // or with a clock that runs fast
	variantClockSlow      = "slow"
	variantSplitRequests  = "split"  // a router is paused between the two parts of requests
	variantTwice          = "twice"  // SIGTERM, or the order to evacuate, is sent twice
	variantPauseAfterStop = "frozen" // SIGTERM is followed by a pause
	variantSIGHUP         = "hup"    // SIGHUP follows the change of settings
	variantDiskFull       = "full"   // the disk is full
	variantSyncError      = "sync"   // sync of written data fails
	variantUnlisted       = "away"   // a target is down and not listed until it restarts
	variantDrain          = "drain"  // or is listed as draining until it restarts
	variantPart           = "part"   // requests that crash targets only share a part of their prompts
	variantAll            = "all"    // all targets turn requests away
)

// An event is one fault or change in a scenario.
type event struct {
	At       fleet.Duration `toml:"at"` // since the start of the callers
	Kind     eventKind      `toml:"kind"`
	Victim   int            `toml:"victim"`
	Action   string         `toml:"do"`
	Variant  string         `toml:"how,omitempty"`
	Duration fleet.Duration `toml:"for,omitempty"`
}

// String returns the event in the format of scenario files.
func (e event) String() string {
	text := fmt.Sprintf("at = %q, kind = %q, victim = %d, do = %q", time.Duration(e.At), e.Kind, e.Victim, e.Action)
	if e.Variant != "" {
		text += fmt.Sprintf(", how = %q", e.Variant)
	}
	if e.Duration > 0 {
		text += fmt.Sprintf(", for = %q", time.Duration(e.Duration))
	}
	return "{" + text + "}"
}

// A fleetSize is the number of each kind of component in a scenario's fleet.
type fleetSize struct {
	Keepers int `toml:"keepers"`
	Routers int `toml:"routers"`
	Targets int `toml:"targets"`
	Callers int `toml:"callers"`
	Zones   int `toml:"zones,omitempty"` // of targets; 0 means 1
}

// A scenario is the input of a test run: the size of the fleet and the events.
type scenario struct {
	Seed   uint64    `toml:"seed"` // the seed that generated it; for information only
	Size   fleetSize `toml:"size"`
	Events []event   `toml:"events"`
}

// String returns the scenario in the format of scenario files, with one event per line, so that it can
// be shrunk by hand.
func (s scenario) String() string {
	var b strings.Builder
	zonesField := ""
	if s.Size.Zones > 0 {
		zonesField = fmt.Sprintf(", zones = %d", s.Size.Zones)
	}
	fmt.Fprintf(&b, "seed = %d\nsize = {keepers = %d, routers = %d, targets = %d, callers = %d%s}\nevents = [\n",
		s.Seed, s.Size.Keepers, s.Size.Routers, s.Size.Targets, s.Size.Callers, zonesField)
	for _, ev := range s.Events {
		fmt.Fprintf(&b, "  %s,\n", ev)
	}
	b.WriteString("]\n")
	return b.String()
}

// parseScenario decodes a scenario file. Unknown keys are an error.
func parseScenario(text []byte) (scenario, error) {
	var sc scenario
	decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := decoder.Decode(&sc); err != nil {
		return sc, fmt.Errorf("decode scenario: %w", err)
	}
	return sc, nil
}

// TestScenarioFileRoundTrip guards against scenarios that cannot be replayed: a generated scenario is
// the same after it was written and read, and a seed always generates the same scenario.
func TestScenarioFileRoundTrip(t *testing.T) {
	for seed := range uint64(200) {
		want := generateScenario(seed, defaultSize, 20)
		got, err := parseScenario([]byte(want.String()))
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Equal(t, want, generateScenario(seed, defaultSize, 20), "a seed always generates the same scenario")
	}
	_, err := parseScenario([]byte("seed = 1\nvictims = 2\n"))
	require.Error(t, err)
}
