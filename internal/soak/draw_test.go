package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/standin"
)

// usual is the size that CI plays.
var usual = size{Keepers: 4, Routers: 2, Targets: 3, Callers: 16, Zones: 2}

const (
	// stopTime is about how long a router takes to stop.
	stopTime = 3 * time.Second
	// rejoinTime is kept around the loss of a keeper's disk: two that are lost before
	// the group is whole again may take what was accepted with them.
	rejoinTime = 10 * time.Second
)

var (
	linkFaults = []string{doDelay, doReset, doIn, doOut, doBoth}
	clocks     = []string{howAhead, howBehind, howFast, howSlow}
)

// A drawing is a scenario in the making. Times are counted from its start.
type drawing struct {
	*rand.Rand
	scenario
	now time.Duration
	// busy is until when a victim is in trouble: faults of different victims overlap,
	// those of one follow each other.
	busy map[string]time.Duration
	// lost is until when no keeper may be in trouble beside one whose disk is lost.
	lost      time.Duration
	withdrawn bool
}

// draw draws a scenario of a number of steps, each a fault, a change or a series.
func draw(seed uint64, of size, steps int) scenario {
	d := &drawing{Rand: rand.New(rand.NewPCG(seed, 1)), scenario: scenario{Seed: seed, Size: of}, busy: make(map[string]time.Duration)}
	kinds := []func(){
		d.change, d.change, d.withdraw, d.replace, d.restart, d.damage,
		d.keeperFault, d.keeperFault, d.routerFault, d.routerFault, d.settings, d.half,
		func() { d.linkFault(onLink, of.Targets) }, func() { d.linkFault(onDoor, of.Routers) },
		func() { d.linkFault(onPeer, of.Keepers) },
		d.crash, d.rolling, d.together, d.beside, d.blackout, d.forgotten, d.evacuate,
	}
	for range steps {
		kinds[d.IntN(len(kinds))]()
		d.now += d.between(100, 1000)
	}
	slices.SortStableFunc(d.Events, func(a, b event) int { return int(a.At - b.At) })
	return d.scenario
}

func (d *drawing) between(from, to int) time.Duration {
	return time.Duration(from+d.IntN(to-from)) * time.Millisecond
}

func (d *drawing) add(at time.Duration, k kind, victim int, do, how string, length time.Duration) {
	d.Events = append(d.Events, event{At: fleet.Duration(at), Kind: k, Victim: victim, Do: do, How: how, For: fleet.Duration(length)})
}

// take reports whether a victim is free at a time, and takes it for a while.
func (d *drawing) take(k kind, victim int, at, length time.Duration) bool {
	key := string(k) + strconv.Itoa(victim)
	if d.busy[key] > at {
		return false
	}
	d.busy[key] = at + length
	return true
}

// takeKeeper does so for a keeper, and leaves most keepers alone.
func (d *drawing) takeKeeper(victim int, length time.Duration) bool {
	others := 0
	for i := range d.Size.Keepers {
		if i != victim && (d.busy[string(onKeeper)+strconv.Itoa(i)] > d.now || d.busy[string(onPeer)+strconv.Itoa(i)] > d.now) {
			others++
		}
	}
	return d.lost <= d.now && others < (d.Size.Keepers-1)/2 && d.take(onKeeper, victim, d.now, length)
}

func (d *drawing) change() { d.add(d.now, onConfig, 0, doChange, "", 0) }

func (d *drawing) withdraw() {
	if !d.withdrawn {
		d.withdrawn = true
		d.add(d.now, onConfig, 0, doWithdraw, "", 0)
	}
}

func (d *drawing) replace() { d.add(d.now, onTarget, 0, doReplace, "", 0) }

func (d *drawing) restart() {
	victim, length := d.IntN(d.Size.Targets), d.between(100, 4000)
	how := []string{"", howAway, howDrain}[d.IntN(3)]
	if d.take(onTarget, victim, d.now, length+time.Second) {
		d.add(d.now, onTarget, victim, doRestart, how, length)
	}
}

func (d *drawing) damage() {
	if length := d.between(500, 4000); d.take(onList, 0, d.now, length) {
		d.add(d.now, onList, 0, []string{doDamage, doDamage, doGarble}[d.IntN(3)], "", length)
	}
}

func (d *drawing) keeperFault() {
	victim, length := d.IntN(d.Size.Keepers), d.between(300, 2800)
	do := []string{doPause, doKill, doKill, doKill, doStop, doDisk}[d.IntN(6)]
	how := ""
	switch do {
	case doKill:
		how = []string{"", howLost, howTorn, clocks[d.IntN(len(clocks))]}[d.IntN(4)]
	case doDisk:
		how = []string{howFull, howSync}[d.IntN(2)]
	}
	if !d.takeKeeper(victim, length+2*time.Second) {
		return
	}
	if how == howLost {
		for _, until := range d.keepersBusy(victim) {
			if until+rejoinTime > d.now {
				return
			}
		}
		d.lost = d.now + length + rejoinTime
	}
	d.add(d.now, onKeeper, victim, do, how, length)
}

// keepersBusy returns until when other keepers are or were in trouble.
func (d *drawing) keepersBusy(but int) []time.Duration {
	var list []time.Duration
	for i := range d.Size.Keepers {
		for _, k := range []kind{onKeeper, onPeer} {
			if until := d.busy[string(k)+strconv.Itoa(i)]; i != but && until > 0 {
				list = append(list, until)
			}
		}
	}
	return list
}

func (d *drawing) routerFault() {
	victim, length := d.IntN(d.Size.Routers), d.between(300, 2800)
	do := []string{doPause, doKill, doStop, doStop}[d.IntN(4)]
	how := ""
	switch do {
	case doKill:
		how = []string{"", clocks[d.IntN(len(clocks))]}[d.IntN(2)]
	case doStop:
		how = []string{"", howTwice, howFrozen}[d.IntN(3)]
	}
	if d.take(onRouter, victim, d.now, length+stopTime) {
		d.add(d.now, onRouter, victim, do, how, length)
	}
}

// settings sends a process SIGHUP, or writes it other settings, whatever happens to it.
func (d *drawing) settings() {
	k, of := onRouter, d.Size.Routers
	if d.IntN(3) == 0 {
		k, of = onKeeper, d.Size.Keepers
	}
	do := []string{doHangup, doReseed, doReseed}[d.IntN(3)]
	how := ""
	if do == doReseed {
		how = []string{"", howSignal}[d.IntN(2)]
	}
	d.add(d.now, k, d.IntN(of), do, how, 0)
}

// half has somebody send halves of requests to a process that may be told to stop
// meanwhile.
func (d *drawing) half() {
	k, victim, length := onRouter, d.IntN(d.Size.Routers), d.between(500, 9000)
	if d.IntN(2) == 0 {
		k, victim = onKeeper, d.IntN(d.Size.Keepers)
	}
	d.add(d.now, k, victim, doHalf, "", length)
	stops := k == onRouter || d.takeKeeper(victim, stopTime)
	if at := d.now + d.between(100, 700); stops && d.IntN(2) == 0 && (k == onKeeper || d.take(k, victim, at, stopTime)) {
		d.add(at, k, victim, doStop, "", 0)
	}
}

func (d *drawing) linkFault(k kind, of int) {
	victim, length := d.IntN(of), d.between(300, 2300)
	do := linkFaults[d.IntN(len(linkFaults))]
	if k == onPeer && (d.lost > d.now || !d.takeKeeper(victim, length+time.Second)) {
		return
	}
	if d.take(k, victim, d.now, length) {
		d.add(d.now, k, victim, do, "", length)
	}
}

// rolling stops all routers in turn, sooner than one has ended, with configurations and
// SIGHUPs between.
func (d *drawing) rolling() {
	at, step := d.now, d.between(400, 1500)
	for i := range d.Size.Routers {
		if d.take(onRouter, i, at, stopTime) {
			d.add(at, onRouter, i, doStop, []string{"", "", howTwice}[d.IntN(3)], d.between(0, 800))
		}
		d.add(at+step/3, onConfig, 0, doChange, "", 0)
		d.add(at+step/2, onRouter, d.IntN(d.Size.Routers), doHangup, "", 0)
		at += step
	}
}

// together stops several routers at once, with a configuration on the way.
func (d *drawing) together() {
	d.add(d.now+d.between(0, 300), onConfig, 0, doChange, "", 0)
	for range 1 + d.Size.Routers/3 {
		if i := d.IntN(d.Size.Routers); d.take(onRouter, i, d.now, stopTime) {
			d.add(d.now, onRouter, i, doStop, "", d.between(0, 1500))
		}
	}
}

// beside restarts a router while a keeper is away.
func (d *drawing) beside() {
	keeper, router, length := d.IntN(d.Size.Keepers), d.IntN(d.Size.Routers), d.between(2000, 4000)
	if d.takeKeeper(keeper, length+time.Second) {
		d.add(d.now, onKeeper, keeper, doKill, "", length)
	}
	if d.take(onRouter, router, d.now+300*time.Millisecond, stopTime) {
		d.add(d.now+300*time.Millisecond, onRouter, router, doStop, "", 0)
		d.add(d.now+500*time.Millisecond, onRouter, router, doReseed, howSignal, 0)
	}
}

// crash has a request come again and again that ends each target that runs it, or two such.
func (d *drawing) crash() {
	for range 1 + d.IntN(2) {
		d.add(d.now, onRequest, d.IntN(1000), doCrash, "", d.between(6000, 12000))
	}
}

// forgotten has a router stand still while a key is withdrawn, for longer than it may
// count.
func (d *drawing) forgotten() {
	victim, length := d.IntN(d.Size.Routers), revokeTime+standin.CallerTimeout+d.between(500, 2500)
	if !d.withdrawn && d.take(onRouter, victim, d.now, length+time.Second) {
		d.add(d.now, onRouter, victim, doPause, "", length)
		d.now += d.between(50, 300)
		d.withdraw()
	}
}

// blackout kills all keepers at once; their disks stay.
func (d *drawing) blackout() {
	for i := range d.Size.Keepers {
		if d.lost > d.now || d.busy[string(onKeeper)+strconv.Itoa(i)] > d.now {
			return
		}
	}
	length := d.between(200, 2000)
	for i := range d.Size.Keepers {
		d.take(onKeeper, i, d.now, length+2*time.Second)
		d.add(d.now, onKeeper, i, doKill, "", length)
	}
}

// evacuate has nothing sent to the targets of a zone for a while. Another zone stays.
func (d *drawing) evacuate() {
	if d.Size.Zones < 2 {
		return
	}
	victim, length := d.IntN(d.Size.Zones), d.between(1000, 12000)
	how := []string{"", howTwice}[d.IntN(2)]
	if d.take(onZone, 0, d.now, length+stopTime) {
		d.add(d.now, onZone, victim, doEvacuate, how, length)
	}
}
