package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/standin"
)

var (
	firstSeed    = flag.Uint64("soak.first", 1, "first seed of TestSoak")
	seedCount    = flag.Uint64("soak.seeds", 2, "number of seeds of TestSoak")
	stepCount    = flag.Int("soak.steps", 12, "faults, changes and series of each seed of TestSoak")
	keeperCount  = flag.Int("soak.keepers", defaultSize.Keepers, "keepers of TestSoak")
	routerCount  = flag.Int("soak.routers", defaultSize.Routers, "routers of TestSoak")
	targetCount  = flag.Int("soak.targets", defaultSize.Targets, "targets of TestSoak")
	zoneCount    = flag.Int("soak.zones", defaultSize.Zones, "availability zones of the targets of TestSoak")
	callerCount  = flag.Int("soak.callers", defaultSize.Callers, "callers of TestSoak")
	scenarioFile = flag.String("soak.play", "", "file of a scenario that TestSoak plays in place of seeds")
	outputFolder = flag.String("soak.write", "", "folder where TestSoak writes its scenarios")
	logFolder    = flag.String("soak.keep", "", "folder where logs of failed scenarios are kept; logs in the module's root by default")
	maxParallel  = flag.Int("soak.beside", 3, "scenarios that are played beside each other")
)

// places bounds the scenarios that are played beside each other.
var scenarioSlots = sync.OnceValue(func() chan struct{} { return make(chan struct{}, *maxParallel) })

// TestSoak plays scenarios that are drawn from seeds, or one as written, and checks the
// promises by what callers and targets saw.
func TestSoak(t *testing.T) {
	if *scenarioFile != "" {
		runScenario(t, readScenario(t, *scenarioFile))
		return
	}
	size := fleetSize{Keepers: *keeperCount, Routers: *routerCount, Targets: *targetCount, Callers: *callerCount, Zones: *zoneCount}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := generateScenario(seed, size, *stepCount)
			if *outputFolder != "" {
				require.NoError(t, os.WriteFile(filepath.Join(*outputFolder, fmt.Sprintf("%d.toml", seed)), []byte(s.String()), 0o600))
			}
			runScenario(t, s)
		})
	}
}

// TestSoakRegressions plays the scenarios that ever failed, as they were. Each file
// begins with the cause.
func TestSoakRegressions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			t.Parallel()
			runScenario(t, readScenario(t, file))
		})
	}
}

func readScenario(t *testing.T, file string) scenario {
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	s, err := parseScenario(text)
	require.NoError(t, err)
	return s
}

func runScenario(t *testing.T, s scenario) {
	scenarioSlots() <- struct{}{}
	t.Cleanup(func() { <-scenarioSlots() })
	f := newTestFleet(t, s.Size)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the scenario, to be played again by -soak.play or shrunk:\n%s", s)
		}
	})
	p := &player{testFleet: f, history: newHistory()}
	f.site.Fault = p.delayResponse
	p.configs = &configUpdater{testFleet: f, history: p.history, guestHasKey: true}
	t.Cleanup(func() {
		if t.Failed() {
			p.logStalls()
		}
	})
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go p.watchStalls(watchCtx)
	p.startAll()
	p.configs.apply(false)
	p.requireConfigServed()
	callers := p.newCallers()
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for i := range s.Size.Callers {
		workers.Go(func() { callers.Run(ctx, i) })
	}
	workers.Go(func() { p.configs.watchKeepers(ctx) })
	workers.Go(func() { p.configs.watchRouters(ctx, p) })
	p.play(s.Events)
	p.logPhase("events are over")
	p.configs.apply(false)
	p.requireConfigServed() // it recovers
	p.logPhase("all routers serve")
	for i := range targetSlots * s.Size.Targets { // now each target is needed
		workers.Go(func() { callers.Run(ctx, s.Size.Callers+i) })
	}
	p.requireTargetsServe()
	p.logPhase("all targets work")
	cancel()
	workers.Wait()
	p.stopAll()
	p.requirePromises(callers.Taken())
}

func (p *player) logPhase(phase string) {
	p.t.Logf("%s %s", formatTime(time.Now()), phase)
}

// startAll starts all processes at once.
func (p *player) startAll() {
	var group errgroup.Group
	for _, proc := range p.processes() {
		group.Go(func() error { return proc.start("") })
	}
	require.NoError(p.t, group.Wait())
}

// stopAll stops all processes, routers before keepers.
func (p *player) stopAll() {
	for _, processes := range [][]*process{p.routers, p.keepers} {
		var stopping sync.WaitGroup
		for _, proc := range processes {
			stopping.Go(func() { proc.stop("") })
		}
		stopping.Wait()
	}
}

func (p *player) requireConfigServed() {
	for i := range p.routers {
		require.Eventually(p.t, func() bool { return p.serves(i, p.configs.latestVersion()) }, waitTimeout, pollInterval,
			"router %d does not serve configuration %d", i, p.configs.latestVersion())
	}
}

// requireWork checks that each target that stands as ready in the list gets work, while
// there is enough for all.
func (p *player) requireTargetsServe() {
	for _, target := range p.liveTargets {
		runCount := len(target.Runs())
		require.Eventually(p.t, func() bool { return len(target.Runs()) > runCount }, waitTimeout, pollInterval,
			"%s, born at %s, gets no work", target.ID, formatTime(time.UnixMilli(target.Born)))
	}
}

// callers returns callers of all routers by turns, of all manners.
func (p *player) newCallers() *standin.Callers {
	return &standin.Callers{
		Paths: []string{"/once/x", "/keyed/x", streamPath},
		Key: func(caller int) string {
			if caller%4 == 0 {
				return guestKey
			}
			return memberKey
		},
		Door: func(caller, request int) (int, string) {
			router := (caller + request/20) % len(p.routerProxies)
			return router, p.routerProxies[router].Address()
		},
		Alone: func(router int, local string) bool { return p.routerProxies[router].Alone(local) },
		Manner: func(_, request int) standin.Manner {
			switch {
			case request%7 == 3:
				return standin.Pieces
			case request%7 == 5:
				return standin.Slow
			case request%11 == 6:
				return standin.Leaving
			}
			return standin.Prompt
		},
		Patience: overdueMargin + time.Second,
	}
}

// leastServed is how many whole answers a caller whose key counts all along must have got
// on average, lest a run proves little. Their part of all attempts tells nothing: a refusal
// takes milliseconds, and callers come back at once. Of two routers one may stand still for
// most of a run while the other one stops: then 16 callers, of whom 12 are such, got 98 to 106 in
// all (five runs, the first beside load).
const minServedPerCaller = 4

func (p *player) requirePromises(attempts []standin.Attempt) {
	statuses := make(map[int]int)
	served := 0 // of callers whose key counts all along
	for _, attempt := range attempts {
		statuses[attempt.Status]++
		if attempt.Key == memberKey && attempt.Status == http.StatusOK {
			served++
		}
	}
	leaderCount := 0
	for _, keeper := range p.keepers {
		leaderCount += keeper.countInLog(`"@message":"leading"`)
	}
	p.t.Logf("%d attempts by status: %v; %d configurations; %d processes; led %d times",
		len(attempts), statuses, p.configs.latestVersion(), len(p.processes()), leaderCount)
	p.history.checkPromises(attempts, p.site, p.violations)
	require.Empty(p.t, p.violations.list)
	require.Greater(p.t, served, minServedPerCaller*p.size.Callers*3/4, "a soak without service proves little")
}
