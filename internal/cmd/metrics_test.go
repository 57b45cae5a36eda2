package cmd

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// groundMetrics is the port at which every process serves its metrics.
const groundMetrics = "9464"

// Symptom: a router goes on with settings that have changed since, has no metrics, and
// says why only when it ends.
// Sequence: another process has the address of its metrics when it starts.
// Cause: the duty that failed ended those beside it, and its error was kept until all
// had ended.
func TestARouterWithoutMetricsSaysSoAndHeedsItsSettings(t *testing.T) {
	g := newGround(t)
	taken, err := net.Listen("tcp4", net.JoinHostPort(g.routerIP(0), groundMetrics))
	require.NoError(t, err)
	defer func() { _ = taken.Close() }() // the test is over
	g.router(0)
	logged := func(text string) func() bool {
		return func() bool { return strings.Contains(g.logs(), text) }
	}
	require.Eventually(t, logged("address already in use"), 10*time.Second, 10*time.Millisecond)
	require.NoError(t, g.running["r0"].Process.Signal(syscall.SIGHUP))
	require.Eventually(t, logged(`"reload"`), 10*time.Second, 10*time.Millisecond)
	require.NoError(t, g.end("r0", syscall.SIGTERM))
}
