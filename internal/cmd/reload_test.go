package cmd

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stopping process that a reload signal kills, so that requests in progress get
// no response and the log does not show why. The task that handles SIGHUP stopped first, and
// without a handler the signal terminates the process.
func TestReloadSignalDoesNotInterruptShutdown(t *testing.T) {
	processes := newPlatformFleet(t)
	processes.startKeeper(0, true)
	operatorAddress := processes.address(processes.keeperIP(0), 1)
	var conn net.Conn // a connection with a request in progress
	require.Eventually(t, func() bool {
		var err error
		conn, err = net.Dial("tcp4", operatorAddress)
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
	defer func() { _ = conn.Close() }() // The test is over.
	_, err := io.WriteString(conn, "PUT /laburnumfall/config HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // The keeper is reading the request.
	require.NoError(t, processes.running["k0"].Process.Signal(syscall.SIGTERM))
	time.Sleep(200 * time.Millisecond) // The process has begun to stop.
	require.NoError(t, processes.signalAndWait("k0", syscall.SIGHUP))
	require.Contains(t, processes.logs(), `"stop"`)
}
