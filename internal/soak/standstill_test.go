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
	stallPeriod = 20 * time.Millisecond
	stallLimit  = 50 * time.Millisecond
	// flowTime is what the slowest caller needs for a stream, with a margin. Of a caller's
	// time, so much must be left beside stalls, or its deadline may pass in the stream.
	flowTime = time.Second
	// tellStall is from which length on a stall of the soak is told when a run fails.
	tellStall = 250 * time.Millisecond
)

// pauseAll stops processes for a time: the second argument, behind which their IDs follow.
// The soak is among them, so that targets and callers stand still as well.
func pauseAll(args []string) int {
	length, err := time.ParseDuration(args[0])
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
	each := func(s syscall.Signal) {
		for _, pid := range pids {
			_ = syscall.Kill(pid, s) // it may have ended
		}
	}
	defer each(syscall.SIGCONT)
	each(syscall.SIGSTOP)
	time.Sleep(length)
	return 0
}

// standStill stops all processes of the world for a time, and this one, as an overloaded or
// frozen machine does.
func (p *player) standStill(e event) {
	args := []string{time.Duration(e.For).String(), strconv.Itoa(os.Getpid())}
	for _, process := range p.all() {
		if r := process.current(); r != nil {
			args = append(args, strconv.Itoa(r.cmd.Process.Pid))
		}
	}
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), programEnv+"="+pauseProgram)
	from := time.Now()
	err := c.Run()
	p.notes.check(err == nil, "%s could not be played: %v", e, err)
	s := span{from, time.Now().Add(healTime)}
	p.history.outOfTouch(anyRouter, s)
	for i := range p.routers {
		p.history.sleep(i, s)
	}
}

// watchStalls notes when this process does not run.
func (p *player) watchStalls(ctx context.Context) {
	w := &stall.Monitor{Log: hclog.NewNullLogger(), Period: stallPeriod, Threshold: stallLimit, OnStall: func(s stall.Stall) {
		p.history.stall(s)
		if s.Duration() >= tellStall {
			p.t.Logf("%s the soak stood still from %s on: %+v", clockTime(s.To), clockTime(s.From), s.Usage)
		}
	}}
	p.notes.check(w.Run(ctx) == nil, "nobody watches for stalls")
}

// tellStalls prints what the processes wrote of standstills and slow disks.
func (p *player) tellStalls() {
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

func (h *history) stall(s stall.Stall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stalls = append(h.stalls, span{s.From, s.To})
}

// stalled returns for how much of a stretch of time the soak itself stood still.
func (h *history) stalled(from, to time.Time) time.Duration {
	total := time.Duration(0)
	for _, s := range h.stalls {
		if s.overlaps(from, to) {
			total += earlier(s.to, to).Sub(later(s.from, from))
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
func TestSoakStandstills(t *testing.T) {
	files, err := filepath.Glob("testdata/standstill/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			playScenario(t, readScenario(t, file))
		})
	}
}
