package router

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

// Guards against a router that hangs instead of ending when one of its goroutines fails. All
// goroutines end, including the scheduler loop, and then the stop asks the loop whether a request
// is in progress.
func TestStoppedSchedulerLoopDoesNotBlock(t *testing.T) {
	loop := newSchedulerLoop(clock.NewRealClock(), &dispatch.Scheduler{Name: "r1"})
	loop.metrics, loop.report = newMetrics(&rpc.Counter{}), func(message.Report) {}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, loop.run(ctx))
	idle := make(chan bool, 1)
	go func() {
		loop.stop()
		idle <- loop.idle()
	}()
	select {
	case wasIdle := <-idle:
		require.True(t, wasIdle, "after the loop has ended, no request is in progress")
	case <-time.After(10 * time.Second):
		require.Fail(t, "a call to a loop that has ended blocks")
	}
}
