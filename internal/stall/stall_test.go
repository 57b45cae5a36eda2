package stall_test

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/stall"
)

// watchEnv has the test binary watch itself, and write its log to standard output.
const watchEnv = "LF_STALL_WATCH"

func TestMain(m *testing.M) {
	if os.Getenv(watchEnv) == "" {
		os.Exit(m.Run())
	}
	log := hclog.New(&hclog.LoggerOptions{Output: os.Stdout, JSONFormat: true})
	w := &stall.Monitor{Log: log, Period: 20 * time.Millisecond}
	_, _ = os.Stdout.WriteString("watching\n") // the test fails otherwise
	if err := w.Run(context.Background()); err != nil {
		os.Exit(1)
	}
}

func TestAMeterFindsTicksThatComeLate(t *testing.T) {
	m := stall.Detector{Period: 100 * time.Millisecond, Threshold: 50 * time.Millisecond}
	start := time.Unix(1e9, 0)
	tick := func(at time.Duration, processor time.Duration) (stall.Stall, bool) {
		return m.Tick(start.Add(at), stall.Usage{CPUTime: processor, GCCycles: uint64(processor)})
	}
	for _, at := range []time.Duration{5 * time.Second, 5100 * time.Millisecond, 5249 * time.Millisecond} {
		_, ok := tick(at, 10*time.Millisecond)
		require.False(t, ok, at)
	}
	s, ok := tick(8*time.Second, 30*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, stall.Stall{
		From: start.Add(5349 * time.Millisecond), To: start.Add(8 * time.Second),
		Usage: stall.Usage{CPUTime: 20 * time.Millisecond, GCCycles: uint64(20 * time.Millisecond)},
	}, s)
	require.Equal(t, 2651*time.Millisecond, s.Duration())
	_, ok = tick(8100*time.Millisecond, 30*time.Millisecond)
	require.False(t, ok, "ticks that were missed are not caught up")
}

// Guards against a standstill that leaves no trace in the log of the process.
func TestAStoppedProcessSaysSoWhenItGoesOn(t *testing.T) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), watchEnv+"=1")
	out, err := c.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	defer func() { _ = c.Wait() }() // it was killed
	defer func() { _ = c.Process.Kill() }()
	var text strings.Builder
	read := func(until string) {
		block := make([]byte, 4096)
		for !strings.Contains(text.String(), until) {
			n, err := out.Read(block)
			require.NoError(t, err, text.String())
			text.Write(block[:n])
		}
	}
	read("watching")
	require.NoError(t, c.Process.Signal(syscall.SIGSTOP))
	time.Sleep(time.Second)
	require.NoError(t, c.Process.Signal(syscall.SIGCONT))
	read("}\n")
	require.Regexp(t, `"@message":"stalled".*"collections":0,"faults":0,"late":\d{3,4},.*"processor":\d{1,2},"suspended":0`, text.String())
}
