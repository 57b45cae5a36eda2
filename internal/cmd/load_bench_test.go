package cmd

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// BenchmarkLoad runs a fleet of real processes with more callers than slots. Every fifth request
// is non-repeatable, and a keeper and a router are killed on the way. It counts the responses and
// checks that no key ran twice.
func BenchmarkLoad(b *testing.B) {
	const (
		callers  = 96
		duration = 15 * time.Second
	)
	for b.Loop() {
		processes := newProcessFleet(b)
		for name := range processes.keeperAddresses {
			processes.startKeeper(name, "--init")
		}
		var targets, routers []string
		for i := range 4 {
			targets = append(targets, fmt.Sprintf("s%d", i))
			processes.startStandin(targets[i], "engine", "pace = \"2ms\"\ndelay = \"20ms\"\ntokens = 40")
		}
		for i := range 6 {
			routers = append(routers, fmt.Sprintf("r%d", i))
			processes.startRouter(routers[i])
		}
		processes.eventually("all routers", func() bool { return len(processes.status().Routers) == len(routers) })
		code, out := processes.runCtl("apply", "--wait", processes.writeConfig(1, "", targets...))
		require.Equal(b, exitOK, code, out)
		stats := &loadStats{responses: map[string]int{}, latencies: hdrhistogram.New(1, int64(time.Minute), 3)}
		endTime := time.Now().Add(duration)
		var running sync.WaitGroup
		for i := range callers {
			running.Go(func() { stats.runCaller(processes, i, routers, endTime) })
		}
		time.Sleep(duration / 3)
		processes.kill(processes.leaderName())
		time.Sleep(duration / 3)
		processes.kill("r5")
		running.Wait()
		for response, count := range stats.responses {
			b.Logf("%s: %d", response, count)
		}
		for _, name := range targets {
			counts := processes.standinCounts(name)
			require.LessOrEqual(b, counts.MaxRunning, 8)
			for key, count := range counts.RunsByKey {
				stats.addRuns(key, count)
			}
		}
		require.Zero(b, stats.repeatedKeys, "keys that ran twice")
		b.ReportMetric(float64(stats.responses["200 ran"])/duration.Seconds(), "whole/s")
		b.ReportMetric(float64(stats.latencies.ValueAtQuantile(50))/1e6, "p50-ms")
		b.ReportMetric(float64(stats.latencies.ValueAtQuantile(99))/1e6, "p99-ms")
	}
}

// loadStats collects the responses and latencies that callers saw, and the runs of each
// idempotency key.
type loadStats struct {
	mu           sync.Mutex
	responses    map[string]int
	latencies    *hdrhistogram.Histogram
	runsByKey    map[string]int
	repeatedKeys int
}

func (l *loadStats) runCaller(processes *processFleet, caller int, routers []string, endTime time.Time) {
	for requestNumber := 0; time.Now().Before(endTime); requestNumber++ {
		headers := []string{"Lf-Cost", "40"}
		if requestNumber%5 == 0 {
			headers = append(headers, "Lf-Repeat", "never", "Idempotency-Key", fmt.Sprintf("load-%d-%d", caller, requestNumber))
		}
		start := time.Now()
		prompt := fmt.Sprintf("mine-%d-%d", caller, requestNumber)
		status, outcome, body, err := processes.sendCompletion(routers[(caller+requestNumber)%len(routers)], prompt, headers...)
		response := fmt.Sprintf("%d %s", status, outcome)
		switch {
		case err != nil:
			response = "broken"
		case status == http.StatusOK && !strings.Contains(body, prompt+`"`):
			response = "wrong response"
		}
		l.mu.Lock()
		l.responses[response]++
		if status == http.StatusOK {
			// A latency above one minute is outside the range of the histogram and is not
			// recorded.
			_ = l.latencies.RecordValue(time.Since(start).Nanoseconds())
		}
		l.mu.Unlock()
		if status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (l *loadStats) addRuns(key string, runs int) {
	if l.runsByKey == nil {
		l.runsByKey = make(map[string]int)
	}
	l.runsByKey[key] += runs
	if l.runsByKey[key] == 2 && strings.HasPrefix(key, "load-") {
		l.repeatedKeys++
	}
}
