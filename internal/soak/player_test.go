package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"laburnumfall/internal/standin"
)

// recoveryTime is how long after the end of a fault answers may still be cut because of it.
const recoveryTime = time.Second

// A player applies the events of a scenario to a testFleet.
type player struct {
	*testFleet
	history *history
	configs *configUpdater
	pending sync.WaitGroup // events and restarts in progress
	// restartMu is held while a target restarts.
	restartMu sync.Mutex
}

// play applies all events at their times, and returns when all have ended.
func (p *player) play(events []event) {
	start := time.Now()
	for _, ev := range events {
		time.Sleep(time.Until(start.Add(time.Duration(ev.At))))
		p.t.Logf("%s %s", formatTime(time.Now()), ev)
		p.pending.Go(func() { p.playEvent(ev) })
	}
	p.pending.Wait()
}

// playEvent applies an event and returns when it has ended.
func (p *player) playEvent(ev event) {
	switch ev.Kind {
	case kindRouter:
		p.playProcessEvent(ev, p.routers[ev.Victim])
	case kindKeeper:
		p.playProcessEvent(ev, p.keepers[ev.Victim])
	case kindRouterLink:
		p.playLinkEvent(ev, p.routerProxies[ev.Victim], ev.Victim)
	case kindKeeperLink:
		p.playLinkEvent(ev, p.keeperProxies[ev.Victim], noRouter)
	case kindTargetLink:
		p.playLinkEvent(ev, p.testFleet.targetProxy(ev.Victim), anyRouter)
	case kindTarget:
		p.playTargetEvent(ev)
	case kindTargetList:
		p.playListEvent(ev)
	case kindRequest:
		p.playCrashRequests(ev)
	case kindZone:
		p.playEvacuation(ev)
	case kindHost:
		p.pauseHost(ev)
	case kindConfig:
		p.configs.apply(ev.Action == actionRevokeKey)
	default:
		p.violations.add("nobody knows how to play %s", ev)
	}
}

// playProcessEvent applies an event to a process. SIGHUPs, changes of its settings and partial requests
// may coincide with its other faults, which follow one another.
func (p *player) playProcessEvent(ev event, proc *process) {
	switch ev.Action {
	case actionSIGHUP:
		proc.sendSIGHUP()
		return
	case actionChangeSeeds:
		p.changeSeeds(ev, proc)
		return
	case actionPartialRequests:
		p.sendPartialRequests(ev, proc)
		return
	}
	proc.faultMu.Lock()
	defer proc.faultMu.Unlock()
	start := time.Now()
	defer func() { p.history.recordEventOutage(ev, span{start, time.Now()}) }()
	switch ev.Action {
	case actionPause:
		proc.signal(syscall.SIGSTOP, false)
		time.Sleep(time.Duration(ev.Duration))
		proc.signal(syscall.SIGCONT, false)
		pause := span{start, time.Now().Add(recoveryTime)}
		p.history.recordRouterFault(ev, pause)
		if ev.Kind == kindRouter {
			p.history.recordPause(ev.Victim, pause)
		}
	case actionKill:
		proc.kill()
		p.violations.check(p.damageDisk(ev, proc) == nil, "%s could not be played", ev)
		p.restartProcess(ev, proc)
		p.history.recordRouterFault(ev, span{start, time.Now()})
	case actionStop:
		stop := proc.stop(ev.Variant)
		if ev.Variant == variantPauseAfterStop {
			p.history.recordRouterFault(ev, span{stop.start, stop.start.Add(stopPauseDelay + stopPauseDuration + recoveryTime)})
		}
		if ev.Kind == kindRouter {
			p.history.recordStop(ev.Victim, stop)
		}
		p.restartProcess(ev, proc)
	case actionFailDisk:
		p.failDisk(ev, proc)
	default:
		p.violations.add("nobody knows how to play %s", ev)
	}
}

// damageDisk damages the disk of a killed process as the event's variant demands.
func (p *player) damageDisk(ev event, proc *process) error {
	switch ev.Variant {
	case variantDiskLost:
		return os.RemoveAll(proc.settings.Folder)
	case variantTornWrite:
		return proc.tearLog()
	}
	return nil
}

// restartProcess starts a process that has ended, after the event's duration. After a kill its clock
// may be skewed.
func (p *player) restartProcess(ev event, proc *process) {
	time.Sleep(time.Duration(ev.Duration))
	clockVariant := ""
	if ev.Action == actionKill && ev.Variant != variantDiskLost && ev.Variant != variantTornWrite {
		clockVariant = ev.Variant
	}
	proc.settings.First = ev.Kind == kindRouter
	if err := proc.start(clockVariant); err != nil {
		p.violations.add("%s: %v", ev, err)
	}
}

// failDisk makes a keeper's disk fail for the event's duration. The keeper may exit because of that;
// it is restarted in any case, as the platform would do.
func (p *player) failDisk(ev event, keeper *process) {
	keeper.allowExit()
	p.violations.check(os.WriteFile(keeper.path(".disk"), []byte(ev.Variant), 0o600) == nil, "%s could not be played", ev)
	time.Sleep(time.Duration(ev.Duration))
	p.violations.check(os.Remove(keeper.path(".disk")) == nil, "%s could not be ended: the file of its disk fault remains", ev)
	keeper.kill()
	keeper.settings.First = false
	if err := keeper.start(""); err != nil {
		p.violations.add("%s: %v", ev, err)
	}
}

// changeSeeds writes a process's settings file with other keepers as seeds, and sends SIGHUP if the
// event's variant demands it.
func (p *player) changeSeeds(ev event, proc *process) {
	count := len(p.keepers)
	first := int(time.Duration(ev.At)/time.Millisecond) % count
	settings := proc.settings
	settings.Seeds = p.seedAddresses(first, (first+1)%count, (first+2)%count)
	err := os.WriteFile(proc.path(".new"), []byte(settings.Text()), 0o600)
	if err == nil {
		err = os.Rename(proc.path(".new"), proc.path(".toml"))
	}
	p.violations.check(err == nil, "%s could not be played: %v", ev, err)
	if ev.Variant == variantSIGHUP {
		proc.sendSIGHUP()
	}
}

// sendPartialRequests sends requests with an incomplete header or body to a process, and keeps their
// connections open for the event's duration.
func (p *player) sendPartialRequests(ev event, proc *process) {
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

// playLinkEvent applies a fault to the connections through a proxy. Answers by router may be cut.
func (p *player) playLinkEvent(ev event, proxy *standin.Proxy, router int) {
	const delay = 150 * time.Millisecond
	start := time.Now()
	switch ev.Action {
	case actionDelay:
		proxy.Delay(delay)
	case actionReset:
		proxy.Reset()
	case actionBlockInbound:
		proxy.Silence(standin.ToTarget)
	case actionBlockOutbound:
		proxy.Silence(standin.ToCaller)
	case actionBlockBoth:
		proxy.Silence(standin.ToTarget)
		proxy.Silence(standin.ToCaller)
	default:
		p.violations.add("nobody knows how to play %s", ev)
	}
	time.Sleep(time.Duration(ev.Duration))
	proxy.Heal()
	p.history.recordEventOutage(ev, span{start, time.Now()})
	p.history.recordCutSpan(router, span{start, time.Now().Add(recoveryTime)})
}

// playTargetEvent replaces the oldest target or restarts one, which may be unlisted or draining before.
func (p *player) playTargetEvent(ev event) {
	if ev.Action == actionReplace {
		p.violations.check(p.addTarget() == nil, "%s could not be played", ev)
		p.mu.Lock()
		replaced := p.liveTargets[0]
		p.liveTargets = p.liveTargets[1:]
		p.mu.Unlock()
		replaced.Drain()
		p.history.recordDrain(replaced)
		return
	}
	p.restartMu.Lock() // one target at a time, so that others stay available
	defer p.restartMu.Unlock()
	p.mu.Lock()
	index := len(p.liveTargets) - 1 - ev.Victim
	former := p.liveTargets[index]
	p.mu.Unlock()
	start := time.Now()
	switch ev.Variant {
	case variantUnlisted:
		p.site.Remove(former)
	case variantDrain:
		former.Drain()
		p.history.recordDrain(former)
	}
	if ev.Variant != "" {
		time.Sleep(time.Duration(ev.Duration))
	}
	restarted, err := p.site.Restart(former)
	p.violations.check(err == nil, "%s could not be played: %v", ev, err)
	p.history.recordCutSpan(anyRouter, span{start, time.Now().Add(recoveryTime)})
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.liveTargets, former); i >= 0 && err == nil {
		p.liveTargets[i] = restarted
	}
}

// playListEvent makes the list of targets unreadable, or adds invalid entries to it, for the event's
// duration.
func (p *player) playListEvent(ev event) {
	start := time.Now()
	if ev.Action == actionGarbleList {
		p.site.Garble("\xff{")
	} else {
		p.site.Damage(standin.DamagedEntries...)
	}
	time.Sleep(time.Duration(ev.Duration))
	if ev.Action == actionGarbleList {
		p.site.Garble("")
		p.history.recordListOutage(span{start, time.Now()})
	} else {
		p.site.Damage()
	}
}

// serves reports whether a router serves a version of the configuration, including requests with a
// key.
func (p *player) serves(router, version int) bool {
	for _, path := range []string{fmt.Sprintf("/open%d/x", version), "/keyed/x"} {
		if p.sendProbe(router, path) != http.StatusOK {
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
func (p *player) sendProbe(router int, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.routers[router].settings.Address(standin.CallerPort)+path, nil)
	if err != nil {
		p.violations.add("create a probe of %s: %v", path, err)
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
