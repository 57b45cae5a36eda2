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

// healTime is how long after the end of a fault an answer may still suffer from it.
const healTime = time.Second

// A player plays the events of a scenario on a world.
type player struct {
	*world
	history *history
	changes *changes
	playing sync.WaitGroup
	// restarts is held while a target starts again.
	restarts sync.Mutex
}

// play plays all events at their times, and returns when each is over.
func (p *player) play(events []event) {
	start := time.Now()
	for _, e := range events {
		time.Sleep(time.Until(start.Add(time.Duration(e.At))))
		p.t.Logf("%s %s", clockTime(time.Now()), e)
		p.playing.Go(func() { p.event(e) })
	}
	p.playing.Wait()
}

func (p *player) event(e event) {
	switch e.Kind {
	case onRouter:
		p.process(e, p.routers[e.Victim])
	case onKeeper:
		p.process(e, p.keepers[e.Victim])
	case onDoor:
		p.link(e, p.doors[e.Victim], e.Victim)
	case onPeer:
		p.link(e, p.peers[e.Victim], nobody)
	case onLink:
		p.link(e, p.world.link(e.Victim), anyRouter)
	case onTarget:
		p.target(e)
	case onList:
		p.list(e)
	case onRequest:
		p.crash(e)
	case onZone:
		p.evacuate(e)
	case onMachine:
		p.standStill(e)
	case onConfig:
		p.changes.order(e.Do == doWithdraw)
	default:
		p.notes.add("nobody knows how to play %s", e)
	}
}

// process plays what happens to a process. Signals that do not end it come at any
// moment, beside its other faults.
func (p *player) process(e event, on *process) {
	switch e.Do {
	case doHangup:
		on.hangup()
		return
	case doReseed:
		p.reseed(e, on)
		return
	case doHalf:
		p.half(e, on)
		return
	}
	on.turn.Lock()
	defer on.turn.Unlock()
	from := time.Now()
	defer func() { p.history.away(e, span{from, time.Now()}) }()
	switch e.Do {
	case doPause:
		on.signal(syscall.SIGSTOP, false)
		time.Sleep(time.Duration(e.For))
		on.signal(syscall.SIGCONT, false)
		still := span{from, time.Now().Add(healTime)}
		p.history.fault(e, still)
		if e.Kind == onRouter {
			p.history.sleep(e.Victim, still)
		}
	case doKill:
		on.kill()
		p.notes.check(p.wreck(e, on) == nil, "%s could not be played", e)
		p.again(e, on)
		p.history.fault(e, span{from, time.Now()})
	case doStop:
		s := on.stop(e.How)
		if e.How == howFrozen {
			p.history.fault(e, span{s.from, s.from.Add(frozenAfter + frozenTime + healTime)})
		}
		if e.Kind == onRouter {
			p.history.stop(e.Victim, s)
		}
		p.again(e, on)
	case doDisk:
		p.failDisk(e, on)
	default:
		p.notes.add("nobody knows how to play %s", e)
	}
}

// wreck does to a killed process's disk what the event says.
func (p *player) wreck(e event, on *process) error {
	switch e.How {
	case howLost:
		return os.RemoveAll(on.settings.DataDir)
	case howTorn:
		return on.tear()
	}
	return nil
}

// again starts a process that ended, after the event's time.
func (p *player) again(e event, on *process) {
	time.Sleep(time.Duration(e.For))
	clock := ""
	if e.Do == doKill && e.How != howLost && e.How != howTorn {
		clock = e.How
	}
	on.settings.FirstStart = e.Kind == onRouter
	if err := on.start(clock); err != nil {
		p.notes.add("%s: %v", e, err)
	}
}

// failDisk has a keeper's disk fail for a while. It may end over that; then the platform
// starts it again.
func (p *player) failDisk(e event, on *process) {
	on.mayEnd()
	p.notes.check(os.WriteFile(on.file(".disk"), []byte(e.How), 0o600) == nil, "%s could not be played", e)
	time.Sleep(time.Duration(e.For))
	p.notes.check(os.Remove(on.file(".disk")) == nil, "%s could not be ended", e)
	on.kill()
	on.settings.FirstStart = false
	if err := on.start(""); err != nil {
		p.notes.add("%s: %v", e, err)
	}
}

// reseed names other keepers in a process's settings, and may tell it so.
func (p *player) reseed(e event, on *process) {
	n := len(p.keepers)
	first := int(time.Duration(e.At)/time.Millisecond) % n
	settings := on.settings
	settings.Seeds = p.seeds(first, (first+1)%n, (first+2)%n)
	err := os.WriteFile(on.file(".new"), []byte(settings.TOML()), 0o600)
	if err == nil {
		err = os.Rename(on.file(".new"), on.file(".toml"))
	}
	p.notes.check(err == nil, "%s could not be played: %v", e, err)
	if e.How == howSignal {
		on.hangup()
	}
}

// half sends halves of requests to a process, of the head and of the body, and holds
// their connections.
func (p *player) half(e event, on *process) {
	const some = 4
	port, head := standin.CallerPort, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: half\r\nAuthorization: Bearer "+memberKey
	if e.Kind == onKeeper {
		port, head = standin.OperatorPort, "PUT /laburnumfall/config HTTP/1.1\r\nHost: k"
	}
	for i := range some {
		c, err := net.DialTimeout("tcp4", on.settings.Address(port), time.Second)
		if err != nil {
			return // nobody is there
		}
		defer func() { _ = c.Close() }() // it is never answered
		text := head
		if i%2 == 0 {
			text += "\r\nContent-Length: 100\r\n\r\n{"
		}
		_, _ = io.WriteString(c, text) // the process may just end
	}
	time.Sleep(time.Duration(e.For))
}

// link plays a fault of the connections through a proxy.
func (p *player) link(e event, proxy *standin.Proxy, router int) {
	const late = 150 * time.Millisecond
	from := time.Now()
	switch e.Do {
	case doDelay:
		proxy.SetDelay(late)
	case doReset:
		proxy.ResetConnections()
	case doIn:
		proxy.Block(standin.ToTarget)
	case doOut:
		proxy.Block(standin.ToCaller)
	case doBoth:
		proxy.Block(standin.ToTarget)
		proxy.Block(standin.ToCaller)
	default:
		p.notes.add("nobody knows how to play %s", e)
	}
	time.Sleep(time.Duration(e.For))
	proxy.ClearFaults()
	p.history.away(e, span{from, time.Now()})
	p.history.faultAt(router, span{from, time.Now().Add(healTime)})
}

// target plays the comings and goings of targets.
func (p *player) target(e event) {
	if e.Do == doReplace {
		p.notes.check(p.addTarget() == nil, "%s could not be played", e)
		p.mu.Lock()
		oldest := p.live[0]
		p.live = p.live[1:]
		p.mu.Unlock()
		oldest.Drain()
		p.history.leaves(oldest)
		return
	}
	p.restarts.Lock() // one target at a time, so that there is another
	defer p.restarts.Unlock()
	p.mu.Lock()
	place := len(p.live) - 1 - e.Victim
	former := p.live[place]
	p.mu.Unlock()
	from := time.Now()
	switch e.How {
	case howAway:
		p.site.Remove(former)
	case howDrain:
		former.Drain()
		p.history.leaves(former)
	}
	if e.How != "" {
		time.Sleep(time.Duration(e.For))
	}
	next, err := p.site.Restart(former)
	p.notes.check(err == nil, "%s could not be played: %v", e, err)
	p.history.faultAt(anyRouter, span{from, time.Now().Add(healTime)})
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.live, former); i >= 0 && err == nil {
		p.live[i] = next
	}
}

// list plays what is wrong with the list of targets.
func (p *player) list(e event) {
	from := time.Now()
	if e.Do == doGarble {
		p.site.SetListBody("\xff{")
	} else {
		p.site.SetDamagedEntries(standin.DamagedEntries...)
	}
	time.Sleep(time.Duration(e.For))
	if e.Do == doGarble {
		p.site.SetListBody("")
		p.history.unread(span{from, time.Now()})
	} else {
		p.site.SetDamagedEntries()
	}
}

// served reports whether a router serves a configuration, keyed requests included.
func (p *player) served(router, version int) bool {
	for _, path := range []string{fmt.Sprintf("/open%d/x", version), "/keyed/x"} {
		if p.ask(router, path) != http.StatusOK {
			return false
		}
	}
	return true
}

var askClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// askID is the form of the IDs of what the soak itself asks: router, time.
const askID = "ask-%d-%d"

// askedRouter returns the router that the soak itself asked by an ID.
func askedRouter(id string) int {
	var router, at int
	if _, err := fmt.Sscanf(id, askID, &router, &at); err != nil {
		return nobody
	}
	return router
}

// ask sends a request past the proxies and returns the status, 0 without an answer.
func (p *player) ask(router int, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.routers[router].settings.Address(standin.CallerPort)+path, nil)
	if err != nil {
		p.notes.add("ask for %s: %v", path, err)
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", fmt.Sprintf(askID, router, time.Now().UnixNano()))
	req.Header.Set("Authorization", "Bearer "+memberKey)
	resp, err := askClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode
}
