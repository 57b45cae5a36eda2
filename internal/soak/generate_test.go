package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/standin"
)

// defaultSize is the size of fleet that CI tests.
var defaultSize = fleetSize{Keepers: 4, Routers: 2, Targets: 3, Callers: 16, Zones: 2}

const (
	// stopDuration is approximately how long a router takes to stop.
	stopDuration = 3 * time.Second
	// rejoinDuration is the least time between the loss of a keeper's disk and other faults of
	// keepers: if a second disk is lost before the group is complete again, accepted data may be lost.
	rejoinDuration = 10 * time.Second
)

var (
	linkActions   = []string{actionDelay, actionReset, actionBlockInbound, actionBlockOutbound, actionBlockBoth}
	clockVariants = []string{variantClockAhead, variantClockBehind, variantClockFast, variantClockSlow}
)

// A generator builds a random scenario. Its times are offsets from the start of the scenario.
type generator struct {
	*rand.Rand
	scenario
	at time.Duration // of the next step
	// busyUntil is the end of each victim's last fault, by kind and index: faults of different victims
	// may overlap, faults of the same victim do not.
	busyUntil map[string]time.Duration
	// diskLossUntil is the end of the time in which a keeper recovers from the loss of its disk and no
	// other keeper may fail.
	diskLossUntil time.Duration
	keyRevoked    bool
}

// generateScenario returns the scenario of a seed. Each of its steps is a fault, a change or a
// series of both; some kinds of step are listed twice to be chosen more often.
func generateScenario(seed uint64, size fleetSize, steps int) scenario {
	g := &generator{Rand: rand.New(rand.NewPCG(seed, 1)), scenario: scenario{Seed: seed, Size: size}, busyUntil: make(map[string]time.Duration)}
	stepFuncs := []func(){
		g.changeConfig, g.changeConfig, g.revokeKey, g.replaceTarget, g.restartTarget, g.damageList,
		g.keeperFault, g.keeperFault, g.routerFault, g.routerFault, g.reloadSettings, g.partialRequests,
		func() { g.linkFault(kindTargetLink, size.Targets) }, func() { g.linkFault(kindRouterLink, size.Routers) },
		func() { g.linkFault(kindKeeperLink, size.Keepers) },
		g.crashRequests, g.rollingRestart, g.stopSeveralRouters, g.restartRouterDuringKeeperOutage, g.killAllKeepers, g.revokeKeyDuringPause, g.evacuateZone,
		g.backOffTargets, g.leaveByResponse, g.pauseDuringRequests, g.pauseDuringRequests, g.breakOffStreams,
	}
	for range steps {
		stepFuncs[g.IntN(len(stepFuncs))]()
		g.at += g.randomDuration(100, 1000)
	}
	slices.SortStableFunc(g.Events, func(a, b event) int { return int(a.At - b.At) })
	return g.scenario
}

// randomDuration returns a duration from minMillis to maxMillis-1 milliseconds.
func (g *generator) randomDuration(minMillis, maxMillis int) time.Duration {
	return time.Duration(minMillis+g.IntN(maxMillis-minMillis)) * time.Millisecond
}

// addEvent appends an event that starts at an offset and lasts for duration.
func (g *generator) addEvent(at time.Duration, kind eventKind, victim int, action, variant string, duration time.Duration) {
	g.Events = append(g.Events, event{At: fleet.Duration(at), Kind: kind, Victim: victim, Action: action, Variant: variant, Duration: fleet.Duration(duration)})
}

// reserve marks a victim as busy from at for duration, and reports false if it is busy at that time
// already.
func (g *generator) reserve(kind eventKind, victim int, at, duration time.Duration) bool {
	key := string(kind) + strconv.Itoa(victim)
	if g.busyUntil[key] > at {
		return false
	}
	g.busyUntil[key] = at + duration
	return true
}

// reserveKeeper does the same for a keeper. It also fails if no majority of healthy keepers
// would remain, or while a keeper recovers from the loss of its disk.
func (g *generator) reserveKeeper(victim int, duration time.Duration) bool {
	otherBusy := 0
	for i := range g.Size.Keepers {
		if i != victim && (g.busyUntil[string(kindKeeper)+strconv.Itoa(i)] > g.at || g.busyUntil[string(kindKeeperLink)+strconv.Itoa(i)] > g.at) {
			otherBusy++
		}
	}
	return g.diskLossUntil <= g.at && otherBusy < (g.Size.Keepers-1)/2 && g.reserve(kindKeeper, victim, g.at, duration)
}

func (g *generator) changeConfig() { g.addEvent(g.at, kindConfig, 0, actionChangeConfig, "", 0) }

func (g *generator) revokeKey() {
	if !g.keyRevoked {
		g.keyRevoked = true
		g.addEvent(g.at, kindConfig, 0, actionRevokeKey, "", 0)
	}
}

func (g *generator) replaceTarget() { g.addEvent(g.at, kindTarget, 0, actionReplace, "", 0) }

func (g *generator) restartTarget() {
	victim, duration := g.IntN(g.Size.Targets), g.randomDuration(100, 4000)
	variant := []string{"", variantUnlisted, variantDrain}[g.IntN(3)]
	if g.reserve(kindTarget, victim, g.at, duration+time.Second) {
		g.addEvent(g.at, kindTarget, victim, actionRestart, variant, duration)
	}
}

// backOffTargets makes a target, or all of them, turn requests away, regardless of other faults.
func (g *generator) backOffTargets() {
	variant := []string{"", "", variantAll}[g.IntN(3)]
	g.addEvent(g.at, kindTarget, g.IntN(g.Size.Targets), actionBackOff, variant, g.randomDuration(500, 5000))
}

// leaveByResponse replaces a target whose responses say that it leaves before the list shows it.
func (g *generator) leaveByResponse() {
	g.addEvent(g.at, kindTarget, 0, actionLeave, "", g.randomDuration(0, 8000))
}

func (g *generator) damageList() {
	if duration := g.randomDuration(500, 4000); g.reserve(kindTargetList, 0, g.at, duration) {
		g.addEvent(g.at, kindTargetList, 0, []string{actionDamageEntries, actionDamageEntries, actionGarbleList}[g.IntN(3)], "", duration)
	}
}

func (g *generator) keeperFault() {
	victim, duration := g.IntN(g.Size.Keepers), g.randomDuration(300, 2800)
	action := []string{actionPause, actionKill, actionKill, actionKill, actionStop, actionFailDisk}[g.IntN(6)]
	variant := ""
	switch action {
	case actionKill:
		variant = []string{"", variantDiskLost, variantTornWrite, clockVariants[g.IntN(len(clockVariants))]}[g.IntN(4)]
	case actionFailDisk:
		variant = []string{variantDiskFull, variantSyncError}[g.IntN(2)]
	}
	if !g.reserveKeeper(victim, duration+2*time.Second) {
		return
	}
	if variant == variantDiskLost {
		for _, busyUntil := range g.otherKeepersBusyUntil(victim) {
			if busyUntil+rejoinDuration > g.at {
				return
			}
		}
		g.diskLossUntil = g.at + duration + rejoinDuration
	}
	g.addEvent(g.at, kindKeeper, victim, action, variant, duration)
}

// otherKeepersBusyUntil returns the ends of the last faults of all keepers except one.
func (g *generator) otherKeepersBusyUntil(except int) []time.Duration {
	var times []time.Duration
	for i := range g.Size.Keepers {
		for _, kind := range []eventKind{kindKeeper, kindKeeperLink} {
			if busyUntil := g.busyUntil[string(kind)+strconv.Itoa(i)]; i != except && busyUntil > 0 {
				times = append(times, busyUntil)
			}
		}
	}
	return times
}

func (g *generator) routerFault() {
	victim, duration := g.IntN(g.Size.Routers), g.randomDuration(300, 2800)
	action := []string{actionPause, actionKill, actionStop, actionStop}[g.IntN(4)]
	variant := ""
	switch action {
	case actionKill:
		variant = []string{"", clockVariants[g.IntN(len(clockVariants))]}[g.IntN(2)]
	case actionStop:
		variant = []string{"", variantTwice, variantPauseAfterStop}[g.IntN(3)]
	}
	if g.reserve(kindRouter, victim, g.at, duration+stopDuration) {
		g.addEvent(g.at, kindRouter, victim, action, variant, duration)
	}
}

// reloadSettings sends SIGHUP to a process or changes its settings, regardless of its other faults.
func (g *generator) reloadSettings() {
	kind, count := kindRouter, g.Size.Routers
	if g.IntN(3) == 0 {
		kind, count = kindKeeper, g.Size.Keepers
	}
	action := []string{actionSIGHUP, actionChangeSeeds, actionChangeSeeds}[g.IntN(3)]
	variant := ""
	if action == actionChangeSeeds {
		variant = []string{"", variantSIGHUP}[g.IntN(2)]
	}
	g.addEvent(g.at, kind, g.IntN(count), action, variant, 0)
}

// partialRequests opens connections that send only a part of a request to a process. The process may
// be stopped meanwhile.
func (g *generator) partialRequests() {
	kind, victim, duration := kindRouter, g.IntN(g.Size.Routers), g.randomDuration(500, 9000)
	if g.IntN(2) == 0 {
		kind, victim = kindKeeper, g.IntN(g.Size.Keepers)
	}
	g.addEvent(g.at, kind, victim, actionPartialRequests, "", duration)
	mayStop := kind == kindRouter || g.reserveKeeper(victim, stopDuration)
	if stopAt := g.at + g.randomDuration(100, 700); mayStop && g.IntN(2) == 0 && (kind == kindKeeper || g.reserve(kind, victim, stopAt, stopDuration)) {
		g.addEvent(stopAt, kind, victim, actionStop, "", 0)
	}
}

func (g *generator) linkFault(kind eventKind, count int) {
	victim, duration := g.IntN(count), g.randomDuration(300, 2300)
	action := linkActions[g.IntN(len(linkActions))]
	if kind == kindKeeperLink && (g.diskLossUntil > g.at || !g.reserveKeeper(victim, duration+time.Second)) {
		return
	}
	if g.reserve(kind, victim, g.at, duration) {
		g.addEvent(g.at, kind, victim, action, "", duration)
	}
}

// rollingRestart stops all routers in turn, each before the one before it has ended, with new
// configurations and SIGHUPs in between.
func (g *generator) rollingRestart() {
	at, interval := g.at, g.randomDuration(400, 1500)
	for i := range g.Size.Routers {
		if g.reserve(kindRouter, i, at, stopDuration) {
			g.addEvent(at, kindRouter, i, actionStop, []string{"", "", variantTwice}[g.IntN(3)], g.randomDuration(0, 800))
		}
		g.addEvent(at+interval/3, kindConfig, 0, actionChangeConfig, "", 0)
		g.addEvent(at+interval/2, kindRouter, g.IntN(g.Size.Routers), actionSIGHUP, "", 0)
		at += interval
	}
}

// stopSeveralRouters stops several routers at the same time, while a new configuration is applied.
func (g *generator) stopSeveralRouters() {
	g.addEvent(g.at+g.randomDuration(0, 300), kindConfig, 0, actionChangeConfig, "", 0)
	for range 1 + g.Size.Routers/3 {
		if i := g.IntN(g.Size.Routers); g.reserve(kindRouter, i, g.at, stopDuration) {
			g.addEvent(g.at, kindRouter, i, actionStop, "", g.randomDuration(0, 1500))
		}
	}
}

// restartRouterDuringKeeperOutage restarts a router while a keeper is down.
func (g *generator) restartRouterDuringKeeperOutage() {
	keeper, router, duration := g.IntN(g.Size.Keepers), g.IntN(g.Size.Routers), g.randomDuration(2000, 4000)
	if g.reserveKeeper(keeper, duration+time.Second) {
		g.addEvent(g.at, kindKeeper, keeper, actionKill, "", duration)
	}
	if g.reserve(kindRouter, router, g.at+300*time.Millisecond, stopDuration) {
		g.addEvent(g.at+300*time.Millisecond, kindRouter, router, actionStop, "", 0)
		g.addEvent(g.at+500*time.Millisecond, kindRouter, router, actionChangeSeeds, variantSIGHUP, 0)
	}
}

// crashRequests repeatedly sends one or two requests that crash each target that runs them, or requests
// with parts that do.
func (g *generator) crashRequests() {
	for range 1 + g.IntN(2) {
		variant := []string{"", variantPart}[g.IntN(2)]
		g.addEvent(g.at, kindRequest, g.IntN(1000), actionCrashTargets, variant, g.randomDuration(6000, 12000))
	}
}

// revokeKeyDuringPause revokes a key while a router is paused, for longer than a revoked key may stay
// valid.
func (g *generator) revokeKeyDuringPause() {
	victim, duration := g.IntN(g.Size.Routers), maxRevocationLag+standin.CallerTimeout+g.randomDuration(500, 2500)
	if !g.keyRevoked && g.reserve(kindRouter, victim, g.at, duration+time.Second) {
		g.addEvent(g.at, kindRouter, victim, actionPause, "", duration)
		g.at += g.randomDuration(50, 300)
		g.revokeKey()
	}
}

// pauseDuringRequests pauses a router for longer than one of its timeouts, while callers send
// requests in two parts. The pause waits until the router's other faults have ended.
func (g *generator) pauseDuringRequests() {
	timeout := []time.Duration{headerTimeout, headerTimeout, headerTimeout, idleTimeout}[g.IntN(4)]
	victim, duration := g.IntN(g.Size.Routers), timeout+g.randomDuration(200, 1500)
	at := max(g.at, g.busyUntil[string(kindRouter)+strconv.Itoa(victim)])
	if g.reserve(kindRouter, victim, at, duration+stopDuration) {
		g.addEvent(at, kindRouter, victim, actionPause, variantSplitRequests, duration)
	}
}

// killAllKeepers kills all keepers at the same time; they keep their disks.
func (g *generator) killAllKeepers() {
	for i := range g.Size.Keepers {
		if g.diskLossUntil > g.at || g.busyUntil[string(kindKeeper)+strconv.Itoa(i)] > g.at {
			return
		}
	}
	duration := g.randomDuration(200, 2000)
	for i := range g.Size.Keepers {
		g.reserve(kindKeeper, i, g.at, duration+2*time.Second)
		g.addEvent(g.at, kindKeeper, i, actionKill, "", duration)
	}
}

// evacuateZone evacuates a zone of targets for a while. At least one other zone stays in use.
func (g *generator) evacuateZone() {
	if g.Size.Zones < 2 {
		return
	}
	victim, duration := g.IntN(g.Size.Zones), g.randomDuration(1000, 12000)
	variant := []string{"", variantTwice}[g.IntN(2)]
	if g.reserve(kindZone, 0, g.at, duration+stopDuration) {
		g.addEvent(g.at, kindZone, victim, actionEvacuate, variant, duration)
	}
}
