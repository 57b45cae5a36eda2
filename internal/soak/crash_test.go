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
	crashMark = "crash-"
	// crashPause is between two sends of it, and crashAway how long a target is away.
	crashPause = 150 * time.Millisecond
	crashAway  = 500 * time.Millisecond
	// crashesAllowed is how many targets may end under it, and crashesLater how many sends may
	// follow once all routers in touch can know, knownTime later.
	crashesAllowed = 3
	crashesLater   = 3
	knownTime      = 3 * time.Second
)

// crash sends a request again and again, through all routers by turns.
func (p *player) crash(e event) {
	body := fmt.Sprint(crashMark, e.Victim)
	for end, n := time.Now().Add(time.Duration(e.For)), 0; time.Now().Before(end); n++ {
		router := n % len(p.routers)
		req, err := http.NewRequest(http.MethodPost, "http://"+p.doors[router].Address()+"/keyed/x", strings.NewReader(body))
		if err != nil {
			p.notes.add("%s: %v", e, err)
			return
		}
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", fmt.Sprintf(askID, router, time.Now().UnixNano()))
		req.Header.Set("Authorization", "Bearer "+memberKey)
		if resp, err := askClient.Do(req); err == nil {
			_ = resp.Body.Close() // what targets ran is judged
			p.notes.check(resp.StatusCode != http.StatusOK, "%s was answered in whole", body)
		}
		time.Sleep(crashPause)
	}
}

// crashes ends a target as in a crash if it has begun a request that does that. Another start
// follows under its ID, if it still stands as ready.
func (p *player) crashes(t *standin.PlatformTarget, run standin.TargetRun) bool {
	if !strings.HasPrefix(run.Body, crashMark) {
		return false
	}
	now := time.Now()
	p.history.faultAt(anyRouter, span{now, now.Add(crashAway + healTime)})
	p.site.Remove(t)
	p.playing.Go(func() {
		time.Sleep(crashAway)
		p.restarts.Lock() // an event may start it again as well
		defer p.restarts.Unlock()
		p.mu.Lock()
		defer p.mu.Unlock()
		place := slices.Index(p.live, t)
		if place < 0 {
			return // it left, or was started again
		}
		next, err := p.site.Restart(t)
		if err != nil {
			p.notes.add("%s does not start again: %v", t.ID, err)
			return
		}
		p.live[place] = next
	})
	panic(http.ErrAbortHandler)
}

// judgeCrashes holds the runs of each request that ends targets against what is allowed.
func (h *history) judgeCrashes(site *standin.Platform, n *notes) {
	ends := make(map[string][]time.Time) // of targets, by body
	runs := make(map[string][]standin.TargetRun)
	for _, t := range site.AllIncarnations() {
		ended := make(map[string]bool)
		for _, run := range t.Runs() {
			if !strings.HasPrefix(run.Body, crashMark) {
				continue
			}
			runs[run.Body] = append(runs[run.Body], run)
			if !ended[run.Body] {
				ends[run.Body] = append(ends[run.Body], run.At)
			}
			ended[run.Body] = true
		}
	}
	h.judgeEnds(ends, runs, n)
}

func (h *history) judgeEnds(ends map[string][]time.Time, runs map[string][]standin.TargetRun, n *notes) {
	for body, list := range ends {
		slices.SortFunc(list, time.Time.Compare)
		if len(list) < crashesAllowed {
			continue
		}
		known := list[crashesAllowed-1].Add(knownTime)
		later := 0
		for _, run := range runs[body] {
			if run.At.After(known) && h.inTouch(askedRouter(run.RequestID), run.At) {
				later++
			}
		}
		n.check(later <= crashesLater, "%s ran %d times after all routers could know, %d in all", body, later, len(runs[body]))
	}
}
