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

// BenchmarkLoad runs a fleet of real processes under more callers than it has
// slots, every fifth request not repeatable, with a keeper and a router lost on
// the way, and counts what the callers were told.
func BenchmarkLoad(b *testing.B) {
	const (
		callers = 96
		span    = 15 * time.Second
	)
	for b.Loop() {
		p := newProcesses(b)
		for name := range p.keepers {
			p.startKeeper(name, "--init")
		}
		var targets, routers []string
		for i := range 4 {
			targets = append(targets, fmt.Sprintf("s%d", i))
			p.startStandin(targets[i], "engine", "pace = \"2ms\"\ndelay = \"20ms\"\ntokens = 40")
		}
		for i := range 6 {
			routers = append(routers, fmt.Sprintf("r%d", i))
			p.startRouter(routers[i])
		}
		p.eventually("all routers", func() bool { return len(p.status().Routers) == len(routers) })
		code, out := p.ctl("apply", "--wait", p.config(1, "", targets...))
		require.Equal(b, exitOK, code, out)
		l := &loadCount{told: map[string]int{}, times: hdrhistogram.New(1, int64(time.Minute), 3)}
		end := time.Now().Add(span)
		var g sync.WaitGroup
		for i := range callers {
			g.Go(func() { l.call(p, i, routers, end) })
		}
		time.Sleep(span / 3)
		p.kill(p.leader())
		time.Sleep(span / 3)
		p.kill("r5")
		g.Wait()
		for what, n := range l.told {
			b.Logf("%s: %d", what, n)
		}
		for _, name := range targets {
			c := p.counts(name)
			require.LessOrEqual(b, c.Most, 8)
			for key, n := range c.Runs {
				l.runs(key, n)
			}
		}
		require.Zero(b, l.twice, "keys that ran twice")
		b.ReportMetric(float64(l.told["200 ran"])/span.Seconds(), "whole/s")
		b.ReportMetric(float64(l.times.ValueAtQuantile(50))/1e6, "p50-ms")
		b.ReportMetric(float64(l.times.ValueAtQuantile(99))/1e6, "p99-ms")
	}
}

// loadCount is what the callers were told.
type loadCount struct {
	mu    sync.Mutex
	told  map[string]int
	times *hdrhistogram.Histogram
	keys  map[string]int
	twice int
}

func (l *loadCount) call(p *processes, caller int, routers []string, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		headers := []string{"Lf-Cost", "40"}
		if n%5 == 0 {
			headers = append(headers, "Lf-Repeat", "never", "Idempotency-Key", fmt.Sprintf("load-%d-%d", caller, n))
		}
		start := time.Now()
		mine := fmt.Sprintf("mine-%d-%d", caller, n)
		status, outcome, body, err := p.ask(routers[(caller+n)%len(routers)], mine, headers...)
		what := fmt.Sprintf("%d %s", status, outcome)
		switch {
		case err != nil:
			what = "broken"
		case status == http.StatusOK && !strings.Contains(body, mine+`"`):
			what = "not mine"
		}
		l.mu.Lock()
		l.told[what]++
		if status == http.StatusOK {
			// A time over a minute would be out of the histogram's range.
			_ = l.times.RecordValue(time.Since(start).Nanoseconds())
		}
		l.mu.Unlock()
		if status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (l *loadCount) runs(key string, n int) {
	if l.keys == nil {
		l.keys = make(map[string]int)
	}
	l.keys[key] += n
	if l.keys[key] == 2 && strings.HasPrefix(key, "load-") {
		l.twice++
	}
}
