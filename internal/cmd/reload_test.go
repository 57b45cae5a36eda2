package cmd

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: a process that was told to stop ends at once by a signal; what it had in
// progress gets no answer, and its log does not tell why.
// Sequence: it is told to stop, and then that its settings have changed.
// Cause: the duty that heeds that signal ends first, and without it the signal kills.
func TestChangedSettingsDoNotEndAStoppingProcess(t *testing.T) {
	g := newGround(t)
	g.keeper(0, true)
	operators := g.address(g.keeperIP(0), 1)
	var half net.Conn // what is in progress
	require.Eventually(t, func() bool {
		var err error
		half, err = net.Dial("tcp4", operators)
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
	defer func() { _ = half.Close() }() // the test is over
	_, err := io.WriteString(half, "PUT /laburnumfall/config HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // it is being read
	require.NoError(t, g.running["k0"].Process.Signal(syscall.SIGTERM))
	time.Sleep(200 * time.Millisecond) // the process has begun to stop
	require.NoError(t, g.end("k0", syscall.SIGHUP))
	require.Contains(t, g.logs(), `"stop"`)
}
