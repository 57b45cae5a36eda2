package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumfall/internal/standin"
)

// recoveryTime is how long after the end of a fault answers may still be cut because of it.
const recoveryTime = time.Second

// A driver applies the events of a scenario to a testFleet.
type driver struct {
	*testFleet
	history      *history
	backpressure backpressure
	truncation   truncation
	configs      *configUpdater
	pending      sync.WaitGroup // events and restarts in progress
	splitCount   atomic.Int64   // requests of startSplitRequests
	// restartMu is held while a target restarts.
	restartMu sync.Mutex
}

// applyEvents applies all events at their times, and returns when all have ended.
func (d *driver) applyEvents(events []event) {
	start := time.Now()
	for _, ev := range events {
		time.Sleep(time.Until(start.Add(time.Duration(ev.At))))
		d.t.Logf("%s %s", formatTime(time.Now()), ev)
		d.pending.Go(func() { d.applyEvent(ev) })
	}
	d.pending.Wait()
}

// applyEvent applies an event and returns when it has ended.
func (d *driver) applyEvent(ev event) {
	switch ev.Kind {
	case kindRouter:
		d.applyProcessEvent(ev, d.routers[ev.Victim])
	case kindKeeper:
		d.applyProcessEvent(ev, d.keepers[ev.Victim])
	case kindRouterLink:
		d.applyLinkFault(ev, d.routerProxies[ev.Victim], ev.Victim)
	case kindKeeperLink:
		d.applyLinkFault(ev, d.keeperProxies[ev.Victim], noRouter)
	case kindTargetLink:
		d.applyLinkFault(ev, d.testFleet.targetProxy(ev.Victim), anyRouter)
	case kindTarget:
		d.applyTargetEvent(ev)
	case kindTargetList:
		d.applyListFault(ev)
	case kindRequest:
		d.sendCrashRequests(ev)
	case kindZone:
		d.applyEvacuation(ev)
	case kindHost:
		d.pauseHost(ev)
	case kindConfig:
		d.configs.apply(ev.Action == actionRevokeKey)
	default:
		d.violations.add("unknown kind of event: %s", ev)
	}
}

// applyProcessEvent applies an event to a process. SIGHUPs, changes of the settings and partial
// requests may coincide with the other faults of the process, which follow one another.
func (d *driver) applyProcessEvent(ev event, proc *process) {
	switch ev.Action {
	case actionSIGHUP:
		proc.sendSIGHUP()
		return
	case actionChangeSeeds:
		d.changeSeeds(ev, proc)
		return
	case actionPartialRequests:
		d.sendPartialRequests(ev, proc)
		return
	}
	proc.faultMu.Lock()
	defer proc.faultMu.Unlock()
	start := time.Now()
	defer func() { d.history.recordEventOutage(ev, span{start, time.Now()}) }()
	switch ev.Action {
	case actionPause:
		var requests []*splitRequest
		if ev.Variant == variantSplitRequests {
			requests = d.startSplitRequests(ev, proc)
		}
		proc.signal(syscall.SIGSTOP, false)
		d.sendRest(requests)
		time.Sleep(time.Duration(ev.Duration))
		proc.signal(syscall.SIGCONT, false)
		pause := span{start, time.Now().Add(recoveryTime)}
		if ev.Kind == kindRouter {
			d.history.recordPause(ev.Victim, pause)
			d.history.recordRouterPause(ev.Victim, pause)
		}
		d.endSplitRequests(requests)
	case actionKill:
		proc.kill()
		d.violations.check(d.damageDisk(ev, proc) == nil, "%s could not be applied", ev)
		d.restartProcess(ev, proc)
		d.history.recordRouterFault(ev, span{start, time.Now()})
	case actionStop:
		stop := proc.stop(ev.Variant)
		if ev.Variant == variantPauseAfterStop {
			d.history.recordRouterFault(ev, span{stop.start, stop.start.Add(stopPauseDelay + stopPauseDuration + recoveryTime)})
		}
		if ev.Kind == kindRouter {
			d.history.recordStop(ev.Victim, stop)
		}
		d.restartProcess(ev, proc)
	case actionFailDisk:
		d.failDisk(ev, proc)
	default:
		d.violations.add("unknown action on a process: %s", ev)
	}
}

// damageDisk damages the disk of a killed process as the event's variant demands.
func (d *driver) damageDisk(ev event, proc *process) error {
	switch ev.Variant {
	case variantDiskLost:
		return os.RemoveAll(proc.settings.DataDir)
	case variantTornWrite:
		return proc.tearLog()
	}
	return nil
}

// restartProcess starts a process that has ended, after the event's duration. After a kill its clock
// may be skewed.
func (d *driver) restartProcess(ev event, proc *process) {
	time.Sleep(time.Duration(ev.Duration))
	clockVariant := ""
	if ev.Action == actionKill && ev.Variant != variantDiskLost && ev.Variant != variantTornWrite {
		clockVariant = ev.Variant
	}
	proc.settings.FirstStart = ev.Kind == kindRouter
	if err := proc.start(clockVariant); err != nil {
		d.violations.add("%s: %v", ev, err)
	}
}

// failDisk makes a keeper's disk fail for the event's duration. The keeper may exit because of that;
// it is restarted in any case, as the platform would do.
func (d *driver) failDisk(ev event, keeper *process) {
	keeper.allowExit()
	d.violations.check(os.WriteFile(keeper.path(".disk"), []byte(ev.Variant), 0o600) == nil, "%s could not be applied", ev)
	time.Sleep(time.Duration(ev.Duration))
	d.violations.check(os.Remove(keeper.path(".disk")) == nil, "%s could not be ended: the file of its disk fault remains", ev)
	keeper.kill()
	keeper.settings.FirstStart = false
	if err := keeper.start(""); err != nil {
		d.violations.add("%s: %v", ev, err)
	}
}

// changeSeeds writes a process's settings file with other keepers as seeds, and sends SIGHUP if the
// event's variant demands it.
func (d *driver) changeSeeds(ev event, proc *process) {
	count := len(d.keepers)
	first := int(time.Duration(ev.At)/time.Millisecond) % count
	settings := proc.settings
	settings.Seeds = d.seedAddresses(first, (first+1)%count, (first+2)%count)
	err := os.WriteFile(proc.path(".new"), []byte(settings.TOML()), 0o600)
	if err == nil {
		err = os.Rename(proc.path(".new"), proc.path(".toml"))
	}
	d.violations.check(err == nil, "%s could not be applied: %v", ev, err)
	if ev.Variant == variantSIGHUP {
		proc.sendSIGHUP()
	}
}

// sendPartialRequests sends requests with an incomplete header or body to a process, and keeps their
// connections open for the event's duration.
func (d *driver) sendPartialRequests(ev event, proc *process) {
	const count = 4
	port, head := standin.CallerPort, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: half\r\nAuthorization: Bearer "+memberKey
	if ev.Kind == kindKeeper {
		port, head = standin.OperatorPort, "PUT /laburnumfall/config HTTP/1.1\r\nHost: k"
	}
	for i := range count {
		conn, err := net.DialTimeout("tcp4", proc.settings.Address(port), time.Second)
		if err != nil {
			return // the process is down
		}
		defer func() { _ = conn.Close() }() // no answer is expected
		text := head
		if i%2 == 0 {
			text += "\r\nContent-Length: 100\r\n\r\n{"
		}
		_, _ = io.WriteString(conn, text) // the process may exit at this moment
	}
	time.Sleep(time.Duration(ev.Duration))
}

// applyLinkFault applies a fault to the connections through a proxy. It may cut answers by router, which
// is anyRouter for faults in front of targets and noRouter for those in front of keepers.
func (d *driver) applyLinkFault(ev event, proxy *standin.Proxy, router int) {
	const delay = 150 * time.Millisecond
	start := time.Now()
	switch ev.Action {
	case actionDelay:
		proxy.SetDelay(delay)
	case actionReset:
		proxy.ResetConnections()
	case actionBlockInbound:
		proxy.Block(standin.ToTarget)
	case actionBlockOutbound:
		proxy.Block(standin.ToCaller)
	case actionBlockBoth:
		proxy.Block(standin.ToTarget)
		proxy.Block(standin.ToCaller)
	default:
		d.violations.add("unknown action on connections: %s", ev)
	}
	time.Sleep(time.Duration(ev.Duration))
	proxy.ClearFaults()
	d.history.recordEventOutage(ev, span{start, time.Now()})
	d.history.recordCutSpan(router, span{start, time.Now().Add(recoveryTime)})
}

// applyTargetEvent replaces the oldest target or restarts a target. Before a restart the target may be
// unlisted or draining for the event's duration.
func (d *driver) applyTargetEvent(ev event) {
	switch ev.Action {
	case actionBackOff:
		d.applyBackoff(ev)
		return
	case actionLeave:
		d.applyLeave(ev)
		return
	case actionTruncate:
		d.applyTruncation(ev)
		return
	case actionReplace:
		d.violations.check(d.addTarget() == nil, "%s could not be applied", ev)
		d.mu.Lock()
		replaced := d.liveTargets[0]
		d.liveTargets = d.liveTargets[1:]
		d.mu.Unlock()
		replaced.Drain()
		d.history.recordDrain(replaced)
		return
	}
	d.restartMu.Lock() // one target at a time, so that others stay available
	defer d.restartMu.Unlock()
	d.mu.Lock()
	index := len(d.liveTargets) - 1 - ev.Victim
	former := d.liveTargets[index]
	d.mu.Unlock()
	start := time.Now()
	switch ev.Variant {
	case variantUnlisted:
		d.platform.Remove(former)
	case variantDrain:
		former.Drain()
		d.history.recordDrain(former)
	}
	if ev.Variant != "" {
		time.Sleep(time.Duration(ev.Duration))
	}
	restarted, err := d.platform.Restart(former)
	d.violations.check(err == nil, "%s could not be applied: %v", ev, err)
	d.history.recordCutSpan(anyRouter, span{start, time.Now().Add(recoveryTime)})
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.liveTargets, former); i >= 0 && err == nil {
		d.liveTargets[i] = restarted
	}
}

// applyListFault makes the list of targets unreadable, or adds invalid entries to it, for the event's
// duration.
func (d *driver) applyListFault(ev event) {
	start := time.Now()
	if ev.Action == actionGarbleList {
		d.platform.SetListBody("\xff{")
	} else {
		d.platform.SetDamagedEntries(standin.DamagedEntries...)
	}
	time.Sleep(time.Duration(ev.Duration))
	if ev.Action == actionGarbleList {
		d.platform.SetListBody("")
		d.history.recordListOutage(span{start, time.Now()})
	} else {
		d.platform.SetDamagedEntries()
	}
}

// serves reports whether a router serves a version of the configuration, including requests with a
// key.
func (d *driver) serves(router, version int) bool {
	for _, path := range []string{fmt.Sprintf("/open%d/x", version), "/keyed/x"} {
		if d.sendProbe(router, path) != http.StatusOK {
			return false
		}
	}
	return true
}

var probeClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// probeIDFormat is the format of the IDs of the test's own requests: router and time.
const probeIDFormat = "ask-%d-%d"

// probedRouter returns the router that a request of the test itself was sent to, by its ID. For other
// IDs it returns noRouter.
func probedRouter(id string) int {
	var router, sentAt int
	if _, err := fmt.Sscanf(id, probeIDFormat, &router, &sentAt); err != nil {
		return noRouter
	}
	return router
}

// sendProbe sends a request to a router without a proxy and returns the status, or 0 without an answer.
func (d *driver) sendProbe(router int, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.routers[router].settings.Address(standin.CallerPort)+path, nil)
	if err != nil {
		d.violations.add("create a probe of %s: %v", path, err)
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", fmt.Sprintf(probeIDFormat, router, time.Now().UnixNano()))
	req.Header.Set("Authorization", "Bearer "+memberKey)
	resp, err := probeClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode
}
