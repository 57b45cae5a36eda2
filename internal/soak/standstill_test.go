package soak

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/stall"
)

const (
	// pauseProgram is the program that stops the processes which its arguments name.
	pauseProgram = "pause"
	// stallPeriod and stallLimit are those of the soak's own ticker.
	stallPeriod    = 20 * time.Millisecond
	stallThreshold = 50 * time.Millisecond
	// flowTime is what the slowest caller needs for a stream, with a margin. Of a caller's
	// time, so much must be left beside stalls, or its deadline may pass in the stream.
	streamTime = time.Second
	// tellStall is from which length on a stall of the soak is told when a run fails.
	minLoggedStall = 250 * time.Millisecond
)

// pauseAll stops processes for a time: the second argument, behind which their IDs follow.
// The soak is among them, so that targets and callers stand still as well.
func pauseProcesses(args []string) int {
	duration, err := time.ParseDuration(args[0])
	if err != nil {
		return 1
	}
	var pids []int
	for _, text := range args[1:] {
		pid, err := strconv.Atoi(text)
		if err != nil {
			return 1
		}
		pids = append(pids, pid)
	}
	signalAll := func(sig syscall.Signal) {
		for _, pid := range pids {
			_ = syscall.Kill(pid, sig) // it may have ended
		}
	}
	defer signalAll(syscall.SIGCONT)
	signalAll(syscall.SIGSTOP)
	time.Sleep(duration)
	return 0
}

// standStill stops all processes of the world for a time, and this one, as an overloaded or
// frozen machine does.
func (p *player) pauseHost(ev event) {
	args := []string{time.Duration(ev.Duration).String(), strconv.Itoa(os.Getpid())}
	for _, proc := range p.processes() {
		if run := proc.currentRun(); run != nil {
			args = append(args, strconv.Itoa(run.cmd.Process.Pid))
		}
	}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), programEnv+"="+pauseProgram)
	start := time.Now()
	err := cmd.Run()
	p.violations.check(err == nil, "%s could not be played: %v", ev, err)
	pause := span{start, time.Now().Add(recoveryTime)}
	p.history.recordOutage(anyRouter, pause)
	for i := range p.routers {
		p.history.recordPause(i, pause)
	}
}

// watchStalls notes when this process does not run.
func (p *player) watchStalls(ctx context.Context) {
	monitor := &stall.Monitor{Log: hclog.NewNullLogger(), Period: stallPeriod, Threshold: stallThreshold, OnStall: func(stalled stall.Stall) {
		p.history.recordStall(stalled)
		if stalled.Duration() >= minLoggedStall {
			p.t.Logf("%s the soak stood still from %s on: %+v", formatTime(stalled.To), formatTime(stalled.From), stalled.Usage)
		}
	}}
	p.violations.check(monitor.Run(ctx) == nil, "nobody watches for stalls")
}

// tellStalls prints what the processes wrote of standstills and slow disks.
func (p *player) logStalls() {
	logs, err := filepath.Glob(filepath.Join(p.folder, "*.log"))
	require.NoError(p.t, err)
	for _, file := range logs {
		f, err := os.Open(file)
		require.NoError(p.t, err)
		for lines := bufio.NewScanner(f); lines.Scan(); {
			if line := lines.Text(); strings.Contains(line, `"@message":"stalled"`) || strings.Contains(line, `"@message":"the disk was slow"`) {
				p.t.Logf("%s: %s", filepath.Base(file), line)
			}
		}
		_ = f.Close() // it was only read
	}
}

func (h *history) recordStall(stalled stall.Stall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ownStalls = append(h.ownStalls, span{stalled.From, stalled.To})
}

// stalled returns for how much of a stretch of time the soak itself stood still.
func (h *history) stalledDuring(start, end time.Time) time.Duration {
	total := time.Duration(0)
	for _, stalled := range h.ownStalls {
		if stalled.overlaps(start, end) {
			total += earlier(stalled.end, end).Sub(later(stalled.start, start))
		}
	}
	return total
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestSoakStandstills plays scenarios in which the whole machine stands still. They follow
// each other: this process is among those that are stopped.
func TestSoakHostPauses(t *testing.T) {
	files, err := filepath.Glob("testdata/standstill/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			runScenario(t, readScenario(t, file))
		})
	}
}
