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

// A kind is what an event happens to.
type eventKind string

// The kinds. Victims are counted from 0; targets from the one added last.
const (
	kindRouter     eventKind = "router" // the process
	kindKeeper     eventKind = "keeper" // the process
	kindRouterLink eventKind = "door"   // connections of callers to a router
	kindKeeperLink eventKind = "peer"   // connections of all other processes to a keeper
	kindTargetLink eventKind = "link"   // connections of routers to a target
	kindTarget     eventKind = "target"
	kindConfig     eventKind = "config"
	kindTargetList eventKind = "list" // of targets
	kindZone       eventKind = "zone" // its targets
	// onMachine is all processes at once, the soak's own among them.
	kindHost eventKind = "machine"
	// onRequest is a caller that sends one request again and again, through all routers.
	kindRequest eventKind = "request"
)

// What is done. Links know all of delay, reset, in, out and both: in silences what is
// sent to the victim, out what it sends.
const (
	actionPause           = "pause"
	actionKill            = "kill"
	actionStop            = "stop"
	actionSIGHUP          = "hup"    // SIGHUP
	actionChangeSeeds     = "reseed" // its settings file names other keepers
	actionFailDisk        = "disk"   // a keeper's disk fails
	actionPartialRequests = "half"   // somebody sends it halves of requests and no more
	actionDelay           = "delay"
	actionReset           = "reset"
	actionBlockInbound    = "in"
	actionBlockOutbound   = "out"
	actionBlockBoth       = "both"
	actionReplace         = "replace" // a target comes, the oldest leaves
	actionRestart         = "restart" // a target starts again under its ID and address
	actionDamageEntries   = "damage"  // entries that cannot be used stand in the list
	actionGarbleList      = "garble"  // the list cannot be read
	actionChangeConfig    = "change"
	actionRevokeKey       = "withdraw"
	actionCrashTargets    = "crash" // the request ends each target that runs it
	actionEvacuate        = "evacuate"
)

// How it is done, where there is more than one way.
const (
	variantDiskLost    = "lost"   // a killed keeper's disk is lost
	variantTornWrite   = "torn"   // its last write is torn
	variantClockAhead  = "ahead"  // it starts again with a time of day that is ahead
	variantClockBehind = "behind" // or behind
	variantClockFast   = "fast"   // or with a clock that runs fast
	variantClockSlow   = "slow"
	variantTwice       = "twice"  // SIGTERM, or the order, comes twice
	variantThenPause   = "frozen" // or is followed by a standstill
	variantSIGHUP      = "hup"    // SIGHUP tells of changed settings
	variantDiskFull    = "full"   // the disk is full
	variantSyncError   = "sync"   // what is written cannot be made to last
	variantUnlisted    = "away"   // a target is gone, from the list too, between its lives
	variantDrain       = "drain"  // or stands there as leaving
)

// An event is one fault or change.
type event struct {
	At       fleet.Duration `toml:"at"` // since the callers began
	Kind     eventKind      `toml:"kind"`
	Victim   int            `toml:"victim"`
	Action   string         `toml:"do"`
	Variant  string         `toml:"how,omitempty"`
	Duration fleet.Duration `toml:"for,omitempty"`
}

// String returns the event as a scenario's file has it.
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

// A size is of what a scenario's fleet consists.
type fleetSize struct {
	Keepers int `toml:"keepers"`
	Routers int `toml:"routers"`
	Targets int `toml:"targets"`
	Callers int `toml:"callers"`
	Zones   int `toml:"zones,omitempty"` // of targets; 0 is one
}

// A scenario is all that a run is given: what runs, and what happens to it when.
type scenario struct {
	Seed   uint64    `toml:"seed"` // that it was drawn from; tells nothing else
	Size   fleetSize `toml:"size"`
	Events []event   `toml:"events"`
}

// String returns the text of the scenario's file, an event a line, so that it can be
// shrunk by hand.
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

func parseScenario(text []byte) (scenario, error) {
	var s scenario
	decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, fmt.Errorf("read a scenario: %w", err)
	}
	return s, nil
}

// TestScenarioIsReadAsWritten holds the form of files: what was drawn is played again.
func TestScenarioFileRoundTrip(t *testing.T) {
	for seed := range uint64(200) {
		want := generateScenario(seed, defaultSize, 20)
		got, err := parseScenario([]byte(want.String()))
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Equal(t, want, generateScenario(seed, defaultSize, 20), "a seed draws one scenario")
	}
	_, err := parseScenario([]byte("seed = 1\nvictims = 2\n"))
	require.Error(t, err)
}
