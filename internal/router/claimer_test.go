package router

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/message"
)

// Guards against a settlement that a stopping router does not wait for: one that is queued must count
// as open already.
func TestQueuedSettlementCountsAsOpen(t *testing.T) {
	c := newClaimer(nil, nil, hclog.NewNullLogger())
	c.settlements = make(chan message.Settlement) // each settlement is taken as it is queued, or lost
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				c.settle(message.Settlement{Key: "k"})
			}
		}
	}()
	early := 0
	for range 10_000 {
		<-c.settlements
		if len(c.unsettled) == 0 {
			early++
		}
		<-c.unsettled // it is delivered
	}
	close(stop)
	<-stopped
	require.Zero(t, early, "taken before they counted as open")
}

// Guards against a settlement that is lost and counts as open forever, so that each stop takes as long
// as it may.
func TestLostSettlementIsNotOpen(t *testing.T) {
	c := newClaimer(nil, nil, hclog.NewNullLogger())
	for range settleQueueSize + 1 {
		c.settle(message.Settlement{Key: "k"})
	}
	require.Len(t, c.unsettled, settleQueueSize)
}
