package cmd

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkIdle runs a fleet of real processes without requests and measures
// what control alone costs: processor time, memory and control bytes of one
// router, of the leading keeper and of one that follows.
func BenchmarkIdle(b *testing.B) {
	for _, routers := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			p := newProcesses(b)
			for name := range p.keepers {
				p.startKeeper(name, "--init")
			}
			p.startStandin("s1", "engine", "")
			for i := range routers {
				p.startRouter(fmt.Sprintf("r%d", i))
			}
			p.eventually("all routers", func() bool { return len(p.status().Routers) == routers })
			code, out := p.ctl("apply", "--wait", p.config(1, "", "s1"))
			require.Equal(b, exitOK, code, out)
			time.Sleep(2 * time.Second)
			leads := p.leader()
			follows := map[string]string{"k1": "k2", "k2": "k3", "k3": "k1"}[leads]
			router, leader, follower := p.look("r0"), p.look(leads), p.look(follows)
			const span = 10 * time.Second
			b.ResetTimer()
			time.Sleep(span)
			router, leader, follower = p.look("r0").since(router), p.look(leads).since(leader), p.look(follows).since(follower)
			b.ReportMetric(100*follower.cpu.Seconds()/span.Seconds(), "follower-cpu-%")
			b.ReportMetric(follower.memory/1e6, "follower-MB")
			b.ReportMetric(follower.bytes/span.Seconds(), "follower-B/s")
			b.ReportMetric(100*router.cpu.Seconds()/span.Seconds(), "router-cpu-%")
			b.ReportMetric(router.memory/1e6, "router-MB")
			b.ReportMetric(router.bytes/span.Seconds(), "router-B/s")
			b.ReportMetric(100*leader.cpu.Seconds()/span.Seconds(), "leader-cpu-%")
			b.ReportMetric(leader.memory/1e6, "leader-MB")
			b.ReportMetric(leader.bytes/span.Seconds(), "leader-B/s")
		})
	}
}

// usage is what a process has used.
type usage struct {
	cpu    time.Duration
	memory float64 // resident bytes
	bytes  float64 // control bytes sent and received
}

func (u usage) since(before usage) usage {
	u.cpu -= before.cpu
	u.bytes -= before.bytes
	return u
}

// look reads a process's usage from the system and from its metrics.
func (p *processes) look(name string) usage {
	var u usage
	pid := p.running[name].Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(p.t, err)
	fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
	const userTicks, systemTicks, residentPages, ticksPerSecond = 11, 12, 21, 100
	for _, i := range []int{userTicks, systemTicks} {
		ticks, err := strconv.Atoi(fields[i])
		require.NoError(p.t, err)
		u.cpu += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	pages, err := strconv.Atoi(fields[residentPages])
	require.NoError(p.t, err)
	u.memory = float64(pages * os.Getpagesize())
	resp, err := http.Get("http://" + p.admin[name] + "/metrics")
	require.NoError(p.t, err)
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "lf_control_"); ok && strings.Contains(text, "_bytes_total ") {
			n, err := strconv.ParseFloat(text[strings.IndexByte(text, ' ')+1:], 64)
			require.NoError(p.t, err)
			u.bytes += n
		}
	}
	return u
}
