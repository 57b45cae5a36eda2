package stall_test

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/stall"
)

// monitorEnv makes the test binary monitor itself and write its log to standard output.
const monitorEnv = "LF_STALL_WATCH"

func TestMain(m *testing.M) {
	if os.Getenv(monitorEnv) == "" {
		os.Exit(m.Run())
	}
	log := hclog.New(&hclog.LoggerOptions{Output: os.Stdout, JSONFormat: true})
	monitor := &stall.Monitor{Log: log, Period: 20 * time.Millisecond}
	// A stop before the first tick is not a stall, so the test must not stop the process earlier.
	monitor.OnTick = sync.OnceFunc(func() {
		_, _ = os.Stdout.WriteString("watching\n") // a failed write makes the test fail
	})
	if err := monitor.Run(context.Background()); err != nil {
		os.Exit(1)
	}
}

func TestDetectsLateTicks(t *testing.T) {
	detector := stall.Detector{Period: 100 * time.Millisecond, Threshold: 50 * time.Millisecond}
	start := time.Unix(1e9, 0)
	tick := func(at time.Duration, cpuTime time.Duration) (stall.Stall, bool) {
		return detector.Tick(start.Add(at), stall.Usage{CPUTime: cpuTime, GCCycles: uint64(cpuTime)})
	}
	for _, at := range []time.Duration{5 * time.Second, 5100 * time.Millisecond, 5249 * time.Millisecond} {
		_, ok := tick(at, 10*time.Millisecond)
		require.False(t, ok, at)
	}
	stalled, ok := tick(8*time.Second, 30*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, stall.Stall{
		From: start.Add(5349 * time.Millisecond), To: start.Add(8 * time.Second),
		Usage: stall.Usage{CPUTime: 20 * time.Millisecond, GCCycles: uint64(20 * time.Millisecond)},
	}, stalled)
	require.Equal(t, 2651*time.Millisecond, stalled.Duration())
	_, ok = tick(8100*time.Millisecond, 30*time.Millisecond)
	require.False(t, ok, "missed ticks must not be made up for")
}

// Guards against a stall of the process that leaves no trace in its log.
func TestStoppedProcessLogsStall(t *testing.T) {
	const stopTime, tickPeriod = time.Second, 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // a process that logs nothing must not block the test
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), monitorEnv+"=1")
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Wait() }() // the process was killed
	defer cancel()
	lines := bufio.NewScanner(stdout)
	readUntil := func(matches func(line string) bool) {
		for lines.Scan() {
			if matches(lines.Text()) {
				return
			}
		}
		require.Fail(t, "the process ended before it wrote the expected line", "%v", ctx.Err())
	}
	readUntil(func(line string) bool { return line == "watching" })
	require.NoError(t, cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(stopTime)
	require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	readUntil(func(line string) bool {
		// On a busy machine the process may log a shorter stall before it is stopped.
		var entry struct{ Late int64 }
		require.NoError(t, json.Unmarshal([]byte(line), &entry), line)
		if entry.Late < (stopTime - 2*tickPeriod).Milliseconds() {
			return false
		}
		require.Regexp(t, `"@message":"stalled".*"collections":0,"faults":0,"late":\d{3,4},.*"processor":\d{1,2},"suspended":0`, line)
		return true
	})
}
