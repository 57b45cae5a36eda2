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
	// crashMark begins the body of a request that ends each target that runs it.
	crashBodyPrefix = "crash-"
	// crashPause is between two sends of it, and crashAway how long a target is away.
	crashRequestInterval = 150 * time.Millisecond
	crashDowntime        = 500 * time.Millisecond
	// crashesAllowed is how many targets may end under it, and crashesLater how many sends may
	// follow once all routers in touch can know, knownTime later.
	maxCrashedTargets = 3
	maxLateCrashRuns  = 3
	propagationTime   = 3 * time.Second
)

// crash sends a request again and again, through all routers by turns.
func (p *player) playCrashRequests(ev event) {
	body := fmt.Sprint(crashBodyPrefix, ev.Victim)
	for deadline, i := time.Now().Add(time.Duration(ev.Duration)), 0; time.Now().Before(deadline); i++ {
		router := i % len(p.routers)
		req, err := http.NewRequest(http.MethodPost, "http://"+p.routerProxies[router].Address()+"/keyed/x", strings.NewReader(body))
		if err != nil {
			p.violations.add("%s: %v", ev, err)
			return
		}
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", fmt.Sprintf(probeIDFormat, router, time.Now().UnixNano()))
		req.Header.Set("Authorization", "Bearer "+memberKey)
		if resp, err := probeClient.Do(req); err == nil {
			_ = resp.Body.Close() // what targets ran is judged
			p.violations.check(resp.StatusCode != http.StatusOK, "%s was answered in whole", body)
		}
		time.Sleep(crashRequestInterval)
	}
}

// crashes ends a target as in a crash if it has begun a request that does that. Another start
// follows under its ID, if it still stands as ready.
func (p *player) crashIfRequested(target *standin.SiteTarget, run standin.SiteRun) bool {
	if !strings.HasPrefix(run.Body, crashBodyPrefix) {
		return false
	}
	now := time.Now()
	p.history.recordCutSpan(anyRouter, span{now, now.Add(crashDowntime + recoveryTime)})
	p.site.Remove(target)
	p.pending.Go(func() {
		time.Sleep(crashDowntime)
		p.restartMu.Lock() // an event may start it again as well
		defer p.restartMu.Unlock()
		p.mu.Lock()
		defer p.mu.Unlock()
		index := slices.Index(p.liveTargets, target)
		if index < 0 {
			return // it left, or was started again
		}
		restarted, err := p.site.Restart(target)
		if err != nil {
			p.violations.add("%s does not start again: %v", target.ID, err)
			return
		}
		p.liveTargets[index] = restarted
	})
	panic(http.ErrAbortHandler)
}

// judgeCrashes holds the runs of each request that ends targets against what is allowed.
func (h *history) checkCrashRequests(site *standin.Site, found *violations) {
	crashTimes := make(map[string][]time.Time) // of targets, by body
	runsByBody := make(map[string][]standin.SiteRun)
	for _, target := range site.All() {
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

func (h *history) checkCrashCounts(crashTimes map[string][]time.Time, runsByBody map[string][]standin.SiteRun, found *violations) {
	for body, times := range crashTimes {
		slices.SortFunc(times, time.Time.Compare)
		if len(times) < maxCrashedTargets {
			continue
		}
		knownAt := times[maxCrashedTargets-1].Add(propagationTime)
		lateRuns := 0
		for _, run := range runsByBody[body] {
			if run.At.After(knownAt) && h.isHealthy(probedRouter(run.ID), run.At) {
				lateRuns++
			}
		}
		found.check(lateRuns <= maxLateCrashRuns, "%s ran %d times after all routers could know, %d in all", body, lateRuns, len(runsByBody[body]))
	}
}
