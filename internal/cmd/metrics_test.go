package cmd

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// metricsPort is the port where every process on the platform serves its metrics.
const metricsPort = "9464"

// Guards against a router that ignores changed settings because it cannot serve metrics: another
// process has taken the address. The failed task stopped the others of its group, and its error
// was logged only when the router exited.
func TestRouterReloadsSettingsWithoutMetricsServer(t *testing.T) {
	processes := newPlatformFleet(t)
	occupied, err := net.Listen("tcp4", net.JoinHostPort(processes.routerIP(0), metricsPort))
	require.NoError(t, err)
	defer func() { _ = occupied.Close() }() // The test is over.
	processes.startRouter(0)
	logContains := func(text string) func() bool {
		return func() bool { return strings.Contains(processes.logs(), text) }
	}
	require.Eventually(t, logContains("address already in use"), 10*time.Second, 10*time.Millisecond)
	require.NoError(t, processes.running["r0"].Process.Signal(syscall.SIGHUP))
	require.Eventually(t, logContains(`"reload"`), 10*time.Second, 10*time.Millisecond)
	require.NoError(t, processes.signalAndWait("r0", syscall.SIGTERM))
}
