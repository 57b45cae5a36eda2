package cmd

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A partLoad sends requests that crash targets, no two of them alike but for a part of their prompts.
type partLoad struct {
	interval time.Duration
	count    int // 0 for no bound
	// parts returns the parts of the prompt of a request but for the last one, which it has for itself.
	parts func(requestNumber int) []string
}

func (f *promptPartFleet) sendCrashing(ctx context.Context, name string, load partLoad) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; load.count == 0 || i < load.count; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(load.interval):
		}
		running.Go(func() {
			id := fmt.Sprintf("crash-%s-%d", name, i)
			f.stream(i%promptPartRouters, id, append(load.parts(i), fmt.Sprintf("d%s%x", name, i))...)
		})
	}
}

// servedFraction returns which fraction of the requests that crash nothing were served, of those sent
// within a period, and how many there were.
func (f *promptPartFleet) servedFraction(from, until time.Time) (fraction float64, count int) {
	served := 0
	for _, request := range f.requests {
		if request.sentAt.Before(from) || request.sentAt.After(until) {
			continue
		}
		count++
		if request.served {
			served++
		}
	}
	return float64(served) / float64(max(count, 1)), count
}

// lateSends returns how many requests with a part reached targets after all routers had to know of it.
func (f *promptPartFleet) lateSends(part string) int {
	crashes := f.crashes[part]
	if len(crashes) < crashesAllowed {
		return 0
	}
	late := 0
	for _, at := range f.sends[part] {
		if at.After(crashes[crashesAllowed-1].Add(partContact)) {
			late++
		}
	}
	return late
}

// decisiveCrash returns the time from which on the period counts in which others must be served again: the
// latest fifth crash of a part, or its last one if there are fewer.
func (f *promptPartFleet) decisiveCrash() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var decisive time.Time
	for _, crashes := range f.crashes {
		at := crashes[min(len(crashes), crashesAllowed)-1]
		if at.After(decisive) {
			decisive = at
		}
	}
	return decisive
}

// requireHeldBack runs loads and checks that the fleet stops sending the parts that crash targets, and
// that it serves the other requests.
func (f *promptPartFleet) requireHeldBack(disturb func(), loads ...partLoad) {
	ctx, cancel := context.WithTimeout(context.Background(), usualServiceTime+maxPartLoadTime)
	defer cancel()
	started := time.Now()
	var callers sync.WaitGroup
	callers.Go(func() { f.sendSound(ctx) })
	time.Sleep(usualServiceTime)
	loadStarted := time.Now()
	for i, load := range loads {
		callers.Go(func() { f.sendCrashing(ctx, fmt.Sprint(i), load) })
	}
	if disturb != nil {
		disturb()
	}
	time.Sleep(time.Until(loadStarted.Add(partLoadTime)))
	for ctx.Err() == nil && time.Now().Before(f.decisiveCrash().Add(2*partContact+usualServiceTime)) {
		time.Sleep(pollInterval)
	}
	loadEnded := time.Now()
	cancel()
	callers.Wait()

	decisive := f.decisiveCrash()
	f.mu.Lock()
	defer f.mu.Unlock()
	usual, usualCount := f.servedFraction(started, loadStarted)
	later, laterCount := f.servedFraction(decisive.Add(2*partContact), loadEnded)
	for _, part := range []string{crashingPart, otherCrashingPart} {
		f.t.Logf("part %s: %d targets crashed, %d requests sent, %d of them late", part, len(f.crashes[part]), len(f.sends[part]), f.lateSends(part))
	}
	f.t.Logf("others served whole: %.2f of %d before, %.2f of %d later", usual, usualCount, later, laterCount)
	require.NotEmpty(f.t, f.crashes)
	require.GreaterOrEqual(f.t, min(usualCount, laterCount), minSoundRequests)
	for part := range f.crashes {
		require.LessOrEqual(f.t, f.lateSends(part), maxLateSends, "part %s is still sent", part)
	}
	require.GreaterOrEqual(f.t, later, minBegunRatio*usual, "others are served")
}

func sharedSecondPart(requestNumber int) string {
	return fmt.Sprintf("b%d", requestNumber%secondPartCount)
}

// Guards against requests that crash one target after the other, no two of them alike, because they
// share a part of their prompts.
func TestPromptPartThatCrashesTargetsIsHeldBack(t *testing.T) {
	const burst = 125 * time.Millisecond
	second := func(int) []string { return []string{firstPart, crashingPart} }
	tests := []struct {
		name       string
		pathPrefix string
		unframed   bool
		loads      []partLoad
		disturb    func(f *promptPartFleet)
	}{
		{name: "second part", loads: []partLoad{{interval: burst, parts: second}}},
		{name: "first part", loads: []partLoad{{interval: burst, parts: func(i int) []string { return []string{crashingPart, sharedSecondPart(i)} }}}},
		{name: "last part but one, resumable", pathPrefix: "/resumable/", loads: []partLoad{
			{interval: burst, parts: func(i int) []string { return []string{firstPart, sharedSecondPart(i), crashingPart} }},
		}},
		{name: "slowly", loads: []partLoad{{interval: time.Second, parts: second}}},
		{name: "beside a shared part", loads: []partLoad{
			{interval: burst, parts: second},
			{interval: 100 * time.Millisecond, count: 60, parts: func(int) []string { return []string{firstPart, sharedSecondPart(0), crashingPart} }},
		}},
		{name: "answers end with their connections", unframed: true, loads: []partLoad{{interval: burst, parts: second}}},
		{name: "two parts", loads: []partLoad{
			{interval: burst, parts: second},
			{interval: burst, parts: func(int) []string { return []string{firstPart, otherCrashingPart} }},
		}},
		{name: "leader is killed", loads: []partLoad{{interval: burst, parts: second}}, disturb: func(f *promptPartFleet) {
			time.Sleep(200 * time.Millisecond)
			leader := f.leadingKeeper()
			_ = f.signalAndWait(fmt.Sprint("k", leader), syscall.SIGKILL) // it was killed
			time.Sleep(partContact)
			f.startKeeper(leader, false)
		}},
		{name: "router is killed", loads: []partLoad{{interval: burst, parts: second}}, disturb: func(f *promptPartFleet) {
			time.Sleep(400 * time.Millisecond)
			_ = f.signalAndWait("r1", syscall.SIGKILL) // it was killed
			time.Sleep(time.Second)
			f.startProcess("lf-router", "r1", f.routerIP(1), false)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			prefix := test.pathPrefix
			if prefix == "" {
				prefix = "/drafts/"
			}
			f := newPromptPartFleet(t, prefix)
			f.unframed = test.unframed
			var disturb func()
			if test.disturb != nil {
				disturb = func() { test.disturb(f) }
			}
			f.requireHeldBack(disturb, test.loads...)
		})
	}
}
