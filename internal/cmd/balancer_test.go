package cmd

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// Guards against lost or refused requests during a rolling restart of the routers behind a load
// balancer with kept-alive connections. A stopping router could stay ready, close connections
// that callers still use, or refuse callers before the load balancer has noticed that it is not
// ready.
func TestRollingRouterRestartBehindLoadBalancer(t *testing.T) {
	const callerCount = 6
	processes := newPlatformFleet(t)
	for i := range platformKeepers {
		processes.startKeeper(i, true)
	}
	balancer := &standin.LoadBalancer{CheckPeriod: time.Second}
	for i := range 2 {
		processes.startRouter(i)
		balancer.Routers = append(balancer.Routers, standin.BalancedRouter{ReadinessAddress: processes.address(processes.routerIP(i), 3), CallerAddress: processes.address(processes.routerIP(i), 2)})
	}
	processes.putConfig(1)
	processes.requireConfigAtRouters(1)
	require.NoError(t, balancer.Start("127.0.4.1:0"))
	t.Cleanup(balancer.Close)
	callers := &standin.Callers{
		Paths:        []string{"/keyed/x", "/open1/x"},
		Key:          func(int) string { return "good-key" },
		ChooseRouter: func(int, int) (int, string) { return 0, balancer.Address() },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range callerCount {
		running.Go(func() { callers.Run(ctx, i) })
	}
	for i, name := range []string{"r0", "r1"} {
		require.Eventually(t, func() bool { return len(balancer.Rotation()) == 2 }, waitTimeout, pollInterval)
		require.NoError(t, processes.running[name].Process.Signal(syscall.SIGTERM))
		require.Eventually(t, func() bool { return !slices.Contains(balancer.Rotation(), i) }, waitTimeout, pollInterval, "the router leaves the rotation")
		require.NoError(t, processes.running[name].Wait(), "the router exits cleanly")
		processes.startRouter(i)
	}
	require.Eventually(t, func() bool { return len(balancer.Rotation()) == 2 }, waitTimeout, pollInterval)
	cancel()
	running.Wait()
	statuses := map[int]int{}
	for _, attempt := range callers.Attempts() {
		statuses[attempt.Status]++
		require.Empty(t, attempt.Violation)
	}
	require.Len(t, statuses, 1, "%v", statuses)
	require.Greater(t, statuses[http.StatusOK], 10*callerCount)
}
