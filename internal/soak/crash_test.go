package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"laburnumfall/internal/standin"
)

const (
	// crashBodyPrefix is the prefix of the body of a request that crashes each target that runs it.
	crashBodyPrefix = "crash-"
	// crashRequestInterval is the pause between two requests that crash targets, and crashDowntime
	// the time after which a crashed target restarts.
	crashRequestInterval = 150 * time.Millisecond
	crashDowntime        = 500 * time.Millisecond
	// maxCrashedTargets is the number of crashed targets after which a request must be quarantined, and
	// maxLateCrashRuns the number of times that it may still run once the quarantine must have reached
	// all healthy routers.
	maxCrashedTargets = 3
	maxLateCrashRuns  = 3
	// maxPartCrashes is the same number for requests that share a part of their prompts, and
	// rarePartInterval the pause between two of them that come rarely.
	maxPartCrashes   = 5
	rarePartInterval = time.Second
	draftsPath       = "/drafts/x"
	prefixHeader     = "X-Prefix-Hash"
	// propagationTime is how long a change may take to reach each healthy router.
	propagationTime = 3 * time.Second
)

// A crashLoad is a sequence of requests that crash each target that runs one of them.
type crashLoad struct {
	path     string
	interval time.Duration
	body     func(requestNumber int) string
	prefix   func(requestNumber int) string // the parts of the prompt, or ""
}

// crashLoadOf returns the load of an event: copies of one request, or requests that share nothing but a part
// of their prompts, which is the first or the second one.
func crashLoadOf(ev event) crashLoad {
	key := fmt.Sprint(crashBodyPrefix, ev.Victim)
	if ev.Variant != variantPart {
		return crashLoad{
			path: "/keyed/x", interval: crashRequestInterval,
			body: func(int) string { return key }, prefix: func(int) string { return "" },
		}
	}
	load := crashLoad{path: draftsPath, interval: crashRequestInterval, body: func(i int) string { return fmt.Sprint(key, " ", i) }}
	if ev.Victim%3 == 0 {
		load.interval = rarePartInterval
	}
	load.prefix = func(i int) string {
		if ev.Victim%2 == 0 {
			return fmt.Sprintf("%s:50,%x:20,%x:10", crashPart(ev.Victim), i%4, 1<<20+i)
		}
		return fmt.Sprintf("a:50,%s:20,%x:10", crashPart(ev.Victim), 1<<20+i)
	}
	return load
}

func crashPart(victim int) string {
	return fmt.Sprintf("dead%d", victim)
}

// crashKey returns what the requests of one event have in common, and how many targets they may crash before
// they must be quarantined.
func crashKey(run standin.TargetRun) (key string, allowed int) {
	for _, part := range strings.Split(run.Header.Get(prefixHeader), ",") {
		if strings.HasPrefix(part, "dead") {
			return part, maxPartCrashes
		}
	}
	return run.Body, maxCrashedTargets
}

// sendCrashRequests repeatedly sends requests that crash targets, through all routers in turn.
func (d *driver) sendCrashRequests(ev event) {
	load := crashLoadOf(ev)
	for deadline, i := time.Now().Add(time.Duration(ev.Duration)), 0; time.Now().Before(deadline); i++ {
		router := i % len(d.routers)
		req, err := http.NewRequest(http.MethodPost, "http://"+d.routerProxies[router].Address()+load.path, strings.NewReader(load.body(i)))
		if err != nil {
			d.violations.add("%s: %v", ev, err)
			return
		}
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", fmt.Sprintf(probeIDFormat, router, time.Now().UnixNano()))
		req.Header.Set("Authorization", "Bearer "+memberKey)
		if prefix := load.prefix(i); prefix != "" {
			req.Header.Set(prefixHeader, prefix)
		}
		if resp, err := probeClient.Do(req); err == nil {
			_ = resp.Body.Close() // only the runs recorded by targets are checked
			d.violations.check(resp.StatusCode != http.StatusOK, "%s was answered with status 200 instead of crashing its target", load.body(i))
		}
		time.Sleep(load.interval)
	}
}

// crashIfRequested crashes the target if the body of the request that it has started asks for that:
// it closes the target and aborts the handler by a panic. The target restarts under the same ID
// after crashDowntime, unless it was drained or restarted meanwhile. It returns false for any other
// request.
func (d *driver) crashIfRequested(target *standin.PlatformTarget, run standin.TargetRun) bool {
	if !strings.HasPrefix(run.Body, crashBodyPrefix) {
		return false
	}
	now := time.Now()
	d.history.recordCutSpan(anyRouter, span{now, now.Add(crashDowntime + recoveryTime)})
	d.platform.Remove(target)
	d.pending.Go(func() {
		time.Sleep(crashDowntime)
		d.restartMu.Lock() // an event of the scenario may restart it as well
		defer d.restartMu.Unlock()
		d.mu.Lock()
		defer d.mu.Unlock()
		index := slices.Index(d.liveTargets, target)
		if index < 0 {
			return // it was drained, or an event restarted it
		}
		restarted, err := d.platform.Restart(target)
		if err != nil {
			d.violations.add("%s cannot be restarted after a crash: %v", target.ID, err)
			return
		}
		d.liveTargets[index] = restarted
	})
	panic(http.ErrAbortHandler)
}

// checkCrashRequests checks that requests which crash targets are quarantined in time. It counts one
// crash for each target that ran a request of the same body.
func (h *history) checkCrashRequests(platform *standin.Platform, found *violations) {
	crashTimes := make(map[string][]time.Time) // of targets, by what the requests have in common
	runsByKey := make(map[string][]standin.TargetRun)
	for _, target := range platform.AllIncarnations() {
		crashed := make(map[string]bool)
		for _, run := range target.Runs() {
			if !strings.HasPrefix(run.Body, crashBodyPrefix) {
				continue
			}
			key, _ := crashKey(run)
			runsByKey[key] = append(runsByKey[key], run)
			if !crashed[key] {
				crashTimes[key] = append(crashTimes[key], run.At)
			}
			crashed[key] = true
		}
	}
	h.checkCrashCounts(crashTimes, runsByKey, found)
}

// checkCrashCounts checks, for all requests that have something in common and crashed as many targets as they
// may, how often healthy routers still sent one after their quarantine must have reached them.
func (h *history) checkCrashCounts(crashTimes map[string][]time.Time, runsByKey map[string][]standin.TargetRun, found *violations) {
	for key, times := range crashTimes {
		slices.SortFunc(times, time.Time.Compare)
		_, allowed := crashKey(runsByKey[key][0])
		if len(times) < allowed {
			continue
		}
		propagatedAt := times[allowed-1].Add(propagationTime)
		lateRuns := 0
		for _, run := range runsByKey[key] {
			if run.At.After(propagatedAt) && h.isHealthy(probedRouter(run.RequestID), run.At) {
				lateRuns++
			}
		}
		found.check(lateRuns <= maxLateCrashRuns, "%s ran %d times after its quarantine must have reached all routers, %d times in total", key, lateRuns, len(runsByKey[key]))
	}
}
