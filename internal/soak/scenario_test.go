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
type kind string

// The kinds. Victims are counted from 0; targets from the one added last.
const (
	onRouter kind = "router" // the process
	onKeeper kind = "keeper" // the process
	onDoor   kind = "door"   // connections of callers to a router
	onPeer   kind = "peer"   // connections of all other processes to a keeper
	onLink   kind = "link"   // connections of routers to a target
	onTarget kind = "target"
	onConfig kind = "config"
	onList   kind = "list" // of targets
	onZone   kind = "zone" // its targets
	// onMachine is all processes at once, the soak's own among them.
	onMachine kind = "machine"
	// onRequest is a caller that sends one request again and again, through all routers.
	onRequest kind = "request"
)

// What is done. Links know all of delay, reset, in, out and both: in silences what is
// sent to the victim, out what it sends.
const (
	doPause    = "pause"
	doKill     = "kill"
	doStop     = "stop"
	doHangup   = "hup"    // SIGHUP
	doReseed   = "reseed" // its settings file names other keepers
	doDisk     = "disk"   // a keeper's disk fails
	doHalf     = "half"   // somebody sends it halves of requests and no more
	doDelay    = "delay"
	doReset    = "reset"
	doIn       = "in"
	doOut      = "out"
	doBoth     = "both"
	doReplace  = "replace" // a target comes, the oldest leaves
	doRestart  = "restart" // a target starts again under its ID and address
	doDamage   = "damage"  // entries that cannot be used stand in the list
	doGarble   = "garble"  // the list cannot be read
	doChange   = "change"
	doWithdraw = "withdraw"
	doCrash    = "crash" // the request ends each target that runs it
	doEvacuate = "evacuate"
)

// How it is done, where there is more than one way.
const (
	howLost   = "lost"   // a killed keeper's disk is lost
	howTorn   = "torn"   // its last write is torn
	howAhead  = "ahead"  // it starts again with a time of day that is ahead
	howBehind = "behind" // or behind
	howFast   = "fast"   // or with a clock that runs fast
	howSlow   = "slow"
	howTwice  = "twice"  // SIGTERM, or the order, comes twice
	howFrozen = "frozen" // or is followed by a standstill
	howSignal = "hup"    // SIGHUP tells of changed settings
	howFull   = "full"   // the disk is full
	howSync   = "sync"   // what is written cannot be made to last
	howAway   = "away"   // a target is gone, from the list too, between its lives
	howDrain  = "drain"  // or stands there as leaving
)

// An event is one fault or change.
type event struct {
	At     fleet.Duration `toml:"at"` // since the callers began
	Kind   kind           `toml:"kind"`
	Victim int            `toml:"victim"`
	Do     string         `toml:"do"`
	How    string         `toml:"how,omitempty"`
	For    fleet.Duration `toml:"for,omitempty"`
}

// String returns the event as a scenario's file has it.
func (e event) String() string {
	text := fmt.Sprintf("at = %q, kind = %q, victim = %d, do = %q", time.Duration(e.At), e.Kind, e.Victim, e.Do)
	if e.How != "" {
		text += fmt.Sprintf(", how = %q", e.How)
	}
	if e.For > 0 {
		text += fmt.Sprintf(", for = %q", time.Duration(e.For))
	}
	return "{" + text + "}"
}

// A size is of what a scenario's fleet consists.
type size struct {
	Keepers int `toml:"keepers"`
	Routers int `toml:"routers"`
	Targets int `toml:"targets"`
	Callers int `toml:"callers"`
	Zones   int `toml:"zones,omitempty"` // of targets; 0 is one
}

// A scenario is all that a run is given: what runs, and what happens to it when.
type scenario struct {
	Seed   uint64  `toml:"seed"` // that it was drawn from; tells nothing else
	Size   size    `toml:"size"`
	Events []event `toml:"events"`
}

// String returns the text of the scenario's file, an event a line, so that it can be
// shrunk by hand.
func (s scenario) String() string {
	var b strings.Builder
	zones := ""
	if s.Size.Zones > 0 {
		zones = fmt.Sprintf(", zones = %d", s.Size.Zones)
	}
	fmt.Fprintf(&b, "seed = %d\nsize = {keepers = %d, routers = %d, targets = %d, callers = %d%s}\nevents = [\n",
		s.Seed, s.Size.Keepers, s.Size.Routers, s.Size.Targets, s.Size.Callers, zones)
	for _, e := range s.Events {
		fmt.Fprintf(&b, "  %s,\n", e)
	}
	b.WriteString("]\n")
	return b.String()
}

func parseScenario(text []byte) (scenario, error) {
	var s scenario
	d := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("read a scenario: %w", err)
	}
	return s, nil
}

// TestScenarioIsReadAsWritten holds the form of files: what was drawn is played again.
func TestScenarioIsReadAsWritten(t *testing.T) {
	for seed := range uint64(200) {
		want := draw(seed, usual, 20)
		got, err := parseScenario([]byte(want.String()))
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Equal(t, want, draw(seed, usual, 20), "a seed draws one scenario")
	}
	_, err := parseScenario([]byte("seed = 1\nvictims = 2\n"))
	require.Error(t, err)
}
