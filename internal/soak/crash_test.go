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
	// propagationTime is how long a change may take to reach each healthy router.
	propagationTime = 3 * time.Second
)

// sendCrashRequests repeatedly sends a request that crashes targets, through all routers in turn.
func (d *driver) sendCrashRequests(ev event) {
	body := fmt.Sprint(crashBodyPrefix, ev.Victim)
	for deadline, i := time.Now().Add(time.Duration(ev.Duration)), 0; time.Now().Before(deadline); i++ {
		router := i % len(d.routers)
		req, err := http.NewRequest(http.MethodPost, "http://"+d.routerProxies[router].Address()+"/keyed/x", strings.NewReader(body))
		if err != nil {
			d.violations.add("%s: %v", ev, err)
			return
		}
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", fmt.Sprintf(probeIDFormat, router, time.Now().UnixNano()))
		req.Header.Set("Authorization", "Bearer "+memberKey)
		if resp, err := probeClient.Do(req); err == nil {
			_ = resp.Body.Close() // only the runs recorded by targets are checked
			d.violations.check(resp.StatusCode != http.StatusOK, "%s was answered with status 200 instead of crashing its target", body)
		}
		time.Sleep(crashRequestInterval)
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
	crashTimes := make(map[string][]time.Time) // of targets, by request body
	runsByBody := make(map[string][]standin.TargetRun)
	for _, target := range platform.AllIncarnations() {
		crashed := make(map[string]bool)
		for _, run := range target.Runs() {
			if !strings.HasPrefix(run.Body, crashBodyPrefix) {
				continue
			}
			runsByBody[run.Body] = append(runsByBody[run.Body], run)
			if !crashed[run.Body] {
				crashTimes[run.Body] = append(crashTimes[run.Body], run.At)
			}
			crashed[run.Body] = true
		}
	}
	h.checkCrashCounts(crashTimes, runsByBody, found)
}

// checkCrashCounts checks, for each request body that crashed maxCrashedTargets targets, how often
// healthy routers still sent it after its quarantine must have reached them.
func (h *history) checkCrashCounts(crashTimes map[string][]time.Time, runsByBody map[string][]standin.TargetRun, found *violations) {
	for body, times := range crashTimes {
		slices.SortFunc(times, time.Time.Compare)
		if len(times) < maxCrashedTargets {
			continue
		}
		propagatedAt := times[maxCrashedTargets-1].Add(propagationTime)
		lateRuns := 0
		for _, run := range runsByBody[body] {
			if run.At.After(propagatedAt) && h.isHealthy(probedRouter(run.RequestID), run.At) {
				lateRuns++
			}
		}
		found.check(lateRuns <= maxLateCrashRuns, "%s ran %d times after its quarantine must have reached all routers, %d times in total", body, lateRuns, len(runsByBody[body]))
	}
}
