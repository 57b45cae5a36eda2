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

// blockedWriter is a log writer that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// Guards against a stopping process that the platform kills at the end of the grace period, so
// that requests in progress get no response and the log does not show why. This happens if one of
// its tasks never ends, or if nobody reads its log.
func TestProcessExitsWithinGracePeriod(t *testing.T) {
	terminateSelf := func() error { return syscall.Kill(os.Getpid(), syscall.SIGTERM) }
	t.Run("a task that never ends", func(t *testing.T) {
		var log bytes.Buffer
		code := platformExitCode(t, &log, func(context.Context, *platformProgram) error {
			if err := terminateSelf(); err != nil {
				return err
			}
			select {}
		})
		require.Equal(t, exitFailure, code)
		require.Contains(t, log.String(), `"overdue"`)
		require.Contains(t, log.String(), "TestProcessExitsWithinGracePeriod", "the stacks show which task hangs")
	})
	t.Run("a log that nobody reads", func(t *testing.T) {
		blocked := blockedWriter{release: make(chan struct{})}
		defer close(blocked.release)
		code := platformExitCode(t, blocked, func(ctx context.Context, _ *platformProgram) error {
			err := terminateSelf()
			<-ctx.Done()
			return err
		})
		require.Equal(t, exitOK, code)
	})
}

// Guards against a reload signal that kills the process, because SIGHUP was caught only while the
// task that handles it ran: not during the start, not during the shutdown, and not after that
// task failed.
func TestReloadSignalDoesNotKillProcess(t *testing.T) {
	code := platformExitCode(t, io.Discard, func(context.Context, *platformProgram) error {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond) // An unhandled signal would have killed the process by now.
		return nil
	})
	require.Equal(t, exitOK, code)
}

// platformExitCode runs a program with platform settings and returns its exit code.
func platformExitCode(t *testing.T, log io.Writer, run func(ctx context.Context, p *platformProgram) error) int {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	fleet := &platformFleet{t: t, folder: t.TempDir(), basePort: 7000, seedKeepers: []int{0}}
	settings := fleet.shortGraceSettings()
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	t.Setenv("LABURNUMFALL_CONFIG", path)
	codes := make(chan int, 1)
	go func() { codes <- runPlatform("lf-router", false, log, io.Discard, run) }()
	select {
	case code := <-codes:
		return code
	case <-time.After(20 * time.Second):
		require.Fail(t, "the process did not exit")
		return 0
	}
}

// shortGraceSettings returns settings with a grace period of one second.
func (f *platformFleet) shortGraceSettings() string {
	settings := f.settingsTextWithList("r0", f.hostIP(1), "z1", true, "127.0.0.1:1")
	return strings.Replace(settings, "grace_s = 6", "grace_s = 1", 1)
}
