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

// Symptom: a router of which a duty failed hangs instead of ending.
// Sequence: all duties end; then the stop asks the scheduler whether anything is in
// progress.
// Cause: a question to a scheduler that has ended waited for its answer.
func TestAskingADeskThatHasEnded(t *testing.T) {
	d := newDesk(clock.NewRealClock(), &dispatch.Scheduler{Name: "r1"})
	d.meters, d.report = newMeters(&rpc.Counter{}), func(message.Report) {}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, d.run(ctx))
	idle := make(chan bool, 1)
	go func() {
		d.stop()
		idle <- d.idle()
	}()
	select {
	case is := <-idle:
		require.True(t, is, "nothing is in progress where nothing runs")
	case <-time.After(10 * time.Second):
		require.Fail(t, "it hangs")
	}
}
