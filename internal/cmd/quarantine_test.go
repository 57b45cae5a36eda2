package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/standin"
)

const (
	// crashMarker is in the body of each request that crashes the target that runs it.
	crashMarker = "crash-me"
	// terminationsAllowed is how many targets a request may terminate before the fleet must
	// quarantine it. maxLaterTerminations is how many more it may terminate after that.
	terminationsAllowed  = 3
	maxLaterTerminations = 3
	// quarantineDelay is the time after a termination within which all routers must know of it.
	quarantineDelay = 3 * time.Second
	// minServedFraction is the fraction of the harmless requests that must be served while the
	// crashing request is quarantined. The rest allows for targets that are still restarting.
	minServedFraction = 0.9
)

// A quarantineLoad has two callers that use all routers in turn: one sends the same crashing request
// again and again, the other sends harmless requests.
type quarantineLoad struct {
	sendCrashing func(requestNumber int) (status int)
	sendHarmless func(requestNumber int) (status int)
	interval     time.Duration

	stopped            chan struct{}
	callers            sync.WaitGroup
	harmlessSent       atomic.Int64 // how many harmless requests were sent
	harmlessServed     atomic.Int64 // how many of them were served
	lastCrashingStatus atomic.Int64 // HTTP status of the last crashing request
}

func (l *quarantineLoad) start() {
	l.stopped = make(chan struct{})
	l.callers.Go(func() {
		for requestNumber := 0; l.waitForNext(); requestNumber++ {
			l.lastCrashingStatus.Store(int64(l.sendCrashing(requestNumber)))
		}
	})
	l.callers.Go(func() {
		for requestNumber := 0; l.waitForNext(); requestNumber++ {
			l.harmlessSent.Add(1)
			if l.sendHarmless(requestNumber) == http.StatusOK {
				l.harmlessServed.Add(1)
			}
		}
	})
}

func (l *quarantineLoad) waitForNext() bool {
	select {
	case <-l.stopped:
		return false
	case <-time.After(l.interval):
		return true
	}
}

func (l *quarantineLoad) stop() {
	close(l.stopped)
	l.callers.Wait()
}

// requireQuarantine runs the load and checks that the fleet quarantines the crashing request once it
// has terminated enough targets, while it still serves the harmless requests.
func (l *quarantineLoad) requireQuarantine(t *testing.T, terminations func() int) {
	t.Helper()
	l.start()
	require.Eventually(t, func() bool { return terminations() >= terminationsAllowed }, waitTimeout, pollInterval)
	time.Sleep(quarantineDelay)
	before := terminations()
	sent, served := l.harmlessSent.Load(), l.harmlessServed.Load()
	time.Sleep(2 * quarantineDelay)
	l.stop()
	later := terminations() - before
	sent, served = l.harmlessSent.Load()-sent, l.harmlessServed.Load()-served
	t.Logf("%d terminations until all routers knew, %d later; %d of %d harmless requests served in that time", before, later, served, sent)
	require.LessOrEqual(t, later, maxLaterTerminations, "the request terminates more targets")
	require.GreaterOrEqual(t, float64(served), minServedFraction*float64(sent), "harmless requests are served")
	require.Equal(t, http.StatusServiceUnavailable, int(l.lastCrashingStatus.Load()), "the crashing request is refused")
}

// A restartingTarget is a target process that is started again shortly after each of its crashes.
type restartingTarget struct {
	processes    *processFleet
	name         string
	terminations *atomic.Int64

	mu      sync.Mutex
	process *os.Process
	stopped bool
}

func (r *restartingTarget) run(file string) {
	const restartDelay = 300 * time.Millisecond
	for r.start(file) {
		_, _ = r.process.Wait() // Only the fact that it has exited matters.
		r.terminations.Add(1)
		time.Sleep(restartDelay)
	}
}

func (r *restartingTarget) start(file string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	command := exec.Command(os.Args[0], "--config", file)
	command.Env = append(os.Environ(), programEnv+"=lf-standin")
	if err := command.Start(); err != nil {
		return false
	}
	r.process = command.Process
	return true
}

func (r *restartingTarget) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	_ = r.process.Kill() // It may have exited already.
}

const crashConfig = `number = 1
[[account]]
name = "regina"
share = 1.0
keys = [%q]
[[account]]
name = "brandon"
share = 1.0
keys = [%q]
%s
[[event]]
name = "tender"
accounts = ["regina", "brandon"]
targets = [%s]
`

// Guards against one caller that crashes all targets of an event with copies of one request, so
// that other accounts are hardly served. Judged one by one, the copies sent through several
// routers look like unrelated requests, and each is retried as often as the event allows. The
// targets restart within a moment.
func TestQuarantinesEventRequestThatCrashesTargets(t *testing.T) {
	requireEventQuarantine(t, 5, identicalPrompts)
}

// Guards against one caller that crashes all targets of an event with requests whose prompts only begin
// alike.
func TestQuarantinesEventPromptsThatBeginAlike(t *testing.T) {
	requireEventQuarantine(t, 5, func(requestNumber int) string {
		return fmt.Sprintf("%s %s, question %d", crashMarker, strings.Repeat("the same document ", 100), requestNumber)
	})
}

func identicalPrompts(int) string {
	return crashMarker
}

// Guards against terminations that are not counted because the same target, restarted at once,
// crashes again under the next copy of the request.
func TestQuarantinesRequestThatCrashesSameTargetsAgain(t *testing.T) {
	requireEventQuarantine(t, 2, identicalPrompts)
}

// requireEventQuarantine sends requests that crash each target of an event that runs one of them, and
// checks that the fleet quarantines them. The function crashingPrompt returns the prompt of each.
func requireEventQuarantine(t *testing.T, targetCount int, crashingPrompt func(requestNumber int) string) {
	t.Helper()
	const otherKey = "other-key"
	processes := newProcessFleet(t)
	for name := range processes.keeperAddresses {
		processes.startKeeper(name, "--init")
	}
	routers := []string{"r1", "r2", "r3"}
	for _, name := range routers {
		processes.startRouter(name)
	}
	var terminations atomic.Int64
	var targetTables, targetNames []string
	var running sync.WaitGroup
	t.Cleanup(running.Wait) // The cleanups registered later stop each target first.
	for i := range targetCount {
		target := &restartingTarget{processes: processes, name: fmt.Sprintf("s%d", i), terminations: &terminations}
		processes.listenAddresses[target.name] = processes.freeAddress()
		file := processes.writeFile(target.name+".toml", fmt.Sprintf("name = %q\nlisten = %q\nkind = \"engine\"\ntokens = 5\ndelay = \"20ms\"\ncrash = %q\n", target.name, processes.listenAddresses[target.name], crashMarker))
		targetNames = append(targetNames, fmt.Sprintf("%q", target.name))
		targetTables = append(targetTables, fmt.Sprintf("[[target]]\nname = %q\naddress = %q\nzone = \"z-k1\"\nkind = \"engine\"\nslots = 8", target.name, processes.listenAddresses[target.name]))
		running.Go(func() { target.run(file) })
		t.Cleanup(target.stop)
	}
	file := processes.writeFile("fleet.toml", fmt.Sprintf(crashConfig, fleet.KeyDigest(testKey), fleet.KeyDigest(otherKey),
		strings.Join(targetTables, "\n"), strings.Join(targetNames, ", ")))
	processes.eventually("the configuration", func() bool {
		code, _ := processes.runCtl("apply", "--wait", file)
		return code == exitOK
	})
	processes.eventually("healthy routers", func() bool {
		return processes.isHealthy("r1") && processes.isHealthy("r2") && processes.isHealthy("r3")
	})
	send := func(requestNumber int, key, body string) int {
		status, err := processes.sendRequest(routers[requestNumber%len(routers)], key, body)
		if err != nil {
			return 0
		}
		return status
	}
	load := &quarantineLoad{
		interval: 50 * time.Millisecond,
		sendCrashing: func(requestNumber int) int {
			return send(requestNumber, testKey, `{"messages":[{"content":"`+crashingPrompt(requestNumber)+`"}]}`)
		},
		sendHarmless: func(requestNumber int) int {
			return send(requestNumber, otherKey, fmt.Sprintf(`{"messages":[{"content":"harmless %d"}]}`, requestNumber))
		},
	}
	load.requireQuarantine(t, func() int { return int(terminations.Load()) })
	processes.requireListsAndLiftsQuarantine(t)
}

// requireListsAndLiftsQuarantine checks that an operator can list the quarantined request and
// release it.
func (p *processFleet) requireListsAndLiftsQuarantine(t *testing.T) {
	t.Helper()
	code, out := p.runCtl("held")
	require.Equal(t, exitOK, code)
	require.Regexp(t, `(?m)^\S+ +regina +tender +[3-9] .*held back`, out)
	_, out = p.runCtl("status")
	require.Contains(t, out, "lfctl held")
	code, _ = p.runCtl("lift", "nothing")
	require.Equal(t, exitRejected, code)
	var list message.QuarantineResult
	_, out = p.runCtl("--json", "held")
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	require.NotEmpty(t, list.Entries)
	for _, entry := range list.Entries { // requests that were tried twice may be listed beside what they have in common
		code, out = p.runCtl("lift", string(entry.Fingerprint))
		require.Equal(t, exitOK, code, out)
	}
	_, out = p.runCtl("--json", "held")
	list = message.QuarantineResult{}
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	require.Empty(t, list.Entries)
}

// sendRequest sends a request to an event and returns the response status once the complete
// response has arrived.
func (p *processFleet) sendRequest(router, key, body string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.listenAddresses[router]+"/e/tender/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	return statusOf(req)
}

// statusOf sends a request on a connection of its own and returns the response status.
func statusOf(req *http.Request) (int, error) {
	resp, err := callerClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Guards against one account that crashes all targets of a route with copies of one request. Each
// target returns under a new ID, and each copy has a new request ID, so nothing but the
// fingerprint shows that the copies are alike. In an incident, 16 targets ended under one
// request, ten of them after the third, and each of 56 interrupted attempts was the first attempt
// of a request with its own ID.
func TestQuarantinesRouteRequestThatCrashesTargets(t *testing.T) {
	const extraTargets = 4 // in addition to the targets of newPlatformFleet
	processes := newPlatformFleet(t)
	var terminations atomic.Int64
	var restarts atomic.Int64
	processes.platform.Fault = func(target *standin.PlatformTarget, _ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("Crash") == "" {
			return false
		}
		target.RecordRun(r)
		terminations.Add(1)
		processes.platform.Remove(target)
		go func() {
			const restartDelay = 300 * time.Millisecond
			time.Sleep(restartDelay)
			_, _ = processes.platform.Add(fmt.Sprint("i-again-", restarts.Add(1)), target.Pool, target.Zone, "127.0.3.1:0", target.Slots)
		}()
		panic(http.ErrAbortHandler)
	}
	for i := range extraTargets {
		_, err := processes.platform.Add(fmt.Sprint("i-more-", i), "plain", "z1", "127.0.3.1:0", 8)
		require.NoError(t, err)
	}
	for i := range platformKeepers {
		processes.startKeeper(i, true)
	}
	const routerCount = 3
	for i := range routerCount {
		processes.startRouter(i)
	}
	processes.putConfig(1)
	processes.requireConfigAtRouters(1)
	var requestIDs atomic.Int64
	send := func(requestNumber int, body, crashHeader string) int {
		req, err := http.NewRequest(http.MethodPost, "http://"+processes.address(processes.routerIP(requestNumber%routerCount), standin.CallerPort)+"/keyed/x", strings.NewReader(body))
		if err != nil {
			return 0
		}
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", fmt.Sprint("crowd-", requestIDs.Add(1)))
		req.Header.Set("Authorization", "Bearer good-key")
		if crashHeader != "" {
			req.Header.Set("Crash", crashHeader)
		}
		status, err := statusOf(req)
		if err != nil {
			return 0
		}
		return status
	}
	load := &quarantineLoad{
		interval:     50 * time.Millisecond,
		sendCrashing: func(requestNumber int) int { return send(requestNumber, "the same", "yes") },
		sendHarmless: func(requestNumber int) int { return send(requestNumber, fmt.Sprint("harmless ", requestNumber), "") },
	}
	load.requireQuarantine(t, func() int { return int(terminations.Load()) })
	processes.requireListsQuarantine()
}

// requireListsQuarantine checks that an operator on the platform can list the quarantined
// request.
func (f *platformFleet) requireListsQuarantine() {
	// Processes on the platform do not authenticate each other, so the secret is empty.
	secret := filepath.Join(f.folder, "none")
	require.NoError(f.t, os.WriteFile(secret, nil, 0o600))
	var keepers []string
	for i := range platformKeepers {
		keepers = append(keepers, f.address(f.keeperIP(i), 0))
	}
	var stdout, stderr bytes.Buffer
	require.Equal(f.t, exitOK, Ctl([]string{"--keepers", strings.Join(keepers, ","), "--secret", secret, "held"}, &stdout, &stderr), stderr.String())
	require.Regexp(f.t, `(?m)^\S+ +acme +keyed +[3-9] .*held back`, stdout.String())
}
