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

// BenchmarkIdle measures the cost of the control plane in a fleet of real processes without
// requests: processor time, memory, and control bytes of a router, of the leader and of a
// follower.
func BenchmarkIdle(b *testing.B) {
	for _, routers := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			processes := newProcessFleet(b)
			for name := range processes.keeperAddresses {
				processes.startKeeper(name, "--init")
			}
			processes.startStandin("s1", "engine", "")
			for i := range routers {
				processes.startRouter(fmt.Sprintf("r%d", i))
			}
			processes.eventually("all routers", func() bool { return len(processes.status().Routers) == routers })
			code, out := processes.runCtl("apply", "--wait", processes.writeConfig(1, "", "s1"))
			require.Equal(b, exitOK, code, out)
			time.Sleep(2 * time.Second)
			leaderName := processes.leaderName()
			followerName := map[string]string{"k1": "k2", "k2": "k3", "k3": "k1"}[leaderName]
			router, leader, follower := processes.measureUsage("r0"), processes.measureUsage(leaderName), processes.measureUsage(followerName)
			const duration = 10 * time.Second
			b.ResetTimer()
			time.Sleep(duration)
			router, leader, follower = processes.measureUsage("r0").since(router), processes.measureUsage(leaderName).since(leader), processes.measureUsage(followerName).since(follower)
			b.ReportMetric(100*follower.cpu.Seconds()/duration.Seconds(), "follower-cpu-%")
			b.ReportMetric(follower.memory/1e6, "follower-MB")
			b.ReportMetric(follower.controlBytes/duration.Seconds(), "follower-B/s")
			b.ReportMetric(100*router.cpu.Seconds()/duration.Seconds(), "router-cpu-%")
			b.ReportMetric(router.memory/1e6, "router-MB")
			b.ReportMetric(router.controlBytes/duration.Seconds(), "router-B/s")
			b.ReportMetric(100*leader.cpu.Seconds()/duration.Seconds(), "leader-cpu-%")
			b.ReportMetric(leader.memory/1e6, "leader-MB")
			b.ReportMetric(leader.controlBytes/duration.Seconds(), "leader-B/s")
		})
	}
}

// processUsage is the resource usage of a process.
type processUsage struct {
	cpu          time.Duration
	memory       float64 // resident set size in bytes
	controlBytes float64 // control plane bytes sent and received
}

func (u processUsage) since(start processUsage) processUsage {
	u.cpu -= start.cpu
	u.controlBytes -= start.controlBytes
	return u
}

// measureUsage reads the resource usage of a process from the operating system and from its
// metrics.
func (p *processFleet) measureUsage(name string) processUsage {
	var usage processUsage
	pid := p.running[name].Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(p.t, err)
	fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
	const userTicks, systemTicks, residentPages, ticksPerSecond = 11, 12, 21, 100
	for _, i := range []int{userTicks, systemTicks} {
		ticks, err := strconv.Atoi(fields[i])
		require.NoError(p.t, err)
		usage.cpu += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	pages, err := strconv.Atoi(fields[residentPages])
	require.NoError(p.t, err)
	usage.memory = float64(pages * os.Getpagesize())
	resp, err := http.Get("http://" + p.adminAddresses[name] + "/metrics")
	require.NoError(p.t, err)
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "lf_control_"); ok && strings.Contains(text, "_bytes_total ") {
			count, err := strconv.ParseFloat(text[strings.IndexByte(text, ' ')+1:], 64)
			require.NoError(p.t, err)
			usage.controlBytes += count
		}
	}
	return usage
}
