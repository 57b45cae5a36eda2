package cmd

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuck is the reader of a log that takes nothing.
type stuck struct{ release chan struct{} }

// Write implements io.Writer.
func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Symptom: a process that was told to stop is killed at the end of its grace; what it
// had in progress gets no answer, and its log does not tell why.
// Sequence: it is told to stop; one of its duties waits for ever, or nobody reads its
// log.
// Cause: nothing bounded the end of the process as a whole.
func TestAProcessEndsBeforeItsGraceIsOver(t *testing.T) {
	stopSelf := func() error { return syscall.Kill(os.Getpid(), syscall.SIGTERM) }
	t.Run("a duty that never ends", func(t *testing.T) {
		var log bytes.Buffer
		code := endOf(t, &log, func(context.Context, *platformProgram) error {
			if err := stopSelf(); err != nil {
				return err
			}
			select {}
		})
		require.Equal(t, exitFailure, code)
		require.Contains(t, log.String(), `"overdue"`)
		require.Contains(t, log.String(), "TestAProcessEndsBeforeItsGraceIsOver", "it tells what hangs")
	})
	t.Run("a log that nobody reads", func(t *testing.T) {
		s := stuck{release: make(chan struct{})}
		defer close(s.release)
		code := endOf(t, s, func(ctx context.Context, _ *platformProgram) error {
			err := stopSelf()
			<-ctx.Done()
			return err
		})
		require.Equal(t, exitOK, code)
	})
}

// Symptom: a process dies of a reload.
// Sequence: the signal to read the settings anew comes while the process starts, or
// ends, or after its duty of heeding it has failed.
// Cause: the signal was caught only while that duty ran; its usual effect is to kill.
func TestASignalToReloadNeverKills(t *testing.T) {
	code := endOf(t, io.Discard, func(context.Context, *platformProgram) error {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond) // it would be dead
		return nil
	})
	require.Equal(t, exitOK, code)
}

// endOf runs a program that is told to stop and returns its exit code.
func endOf(t *testing.T, log io.Writer, run func(ctx context.Context, p *platformProgram) error) int {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	g := &ground{t: t, folder: t.TempDir(), port: 7000, seeds: []int{0}}
	text := g.endSettings()
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	t.Setenv("LABURNUMFALL_CONFIG", path)
	codes := make(chan int, 1)
	go func() { codes <- runPlatform("lf-router", false, log, io.Discard, run) }()
	select {
	case code := <-codes:
		return code
	case <-time.After(20 * time.Second):
		require.Fail(t, "the process did not end")
		return 0
	}
}

// endSettings are settings with a grace of a second.
func (g *ground) endSettings() string {
	text := g.settingsAt("r0", g.ip(1), "z1", true, "127.0.0.1:1")
	return strings.Replace(text, "grace_s = 6", "grace_s = 1", 1)
}
