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

// Symptom: callers lose requests, or are refused, while routers are restarted by turns.
// Sequence: callers come in through a balancer, on kept connections; each router is told
// to stop and started again.
// Cause: a router that stops goes on looking ready, closes connections that callers
// still use, or refuses callers before the balancer has noticed.
func TestRoutersRestartByTurnsBehindTheBalancer(t *testing.T) {
	const callers = 6
	g := newGround(t)
	for i := range groundKeepers {
		g.keeper(i, true)
	}
	b := &standin.LoadBalancer{CheckPeriod: time.Second}
	for i := range 2 {
		g.router(i)
		b.Routers = append(b.Routers, standin.BalancedRouter{ReadinessAddress: g.address(g.routerIP(i), 3), CallerAddress: g.address(g.routerIP(i), 2)})
	}
	g.put(1)
	g.requireServed(1)
	require.NoError(t, b.Start("127.0.4.1:0"))
	t.Cleanup(b.Close)
	c := &standin.Callers{
		Paths:        []string{"/keyed/x", "/open1/x"},
		Key:          func(int) string { return "good-key" },
		ChooseRouter: func(int, int) (int, string) { return 0, b.Address() },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() { c.Run(ctx, i) })
	}
	for i, name := range []string{"r0", "r1"} {
		require.Eventually(t, func() bool { return len(b.Rotation()) == 2 }, patience, poll)
		require.NoError(t, g.running[name].Process.Signal(syscall.SIGTERM))
		require.Eventually(t, func() bool { return !slices.Contains(b.Rotation(), i) }, patience, poll, "it leaves the rotation")
		require.NoError(t, g.running[name].Wait(), "a stop ends well")
		g.router(i)
	}
	require.Eventually(t, func() bool { return len(b.Rotation()) == 2 }, patience, poll)
	cancel()
	running.Wait()
	statuses := map[int]int{}
	for _, a := range c.Attempts() {
		statuses[a.Status]++
		require.Empty(t, a.Violation)
	}
	require.Len(t, statuses, 1, "%v", statuses)
	require.Greater(t, statuses[http.StatusOK], 10*callers)
}
