package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/placement"
)

// Guards against refusing thousands of short prompts while a third of the engines' slots is free.
// An account with 10 times its usual demand gets 3 times the service of an underserved one, so
// its headroom shrinks until a fifth of the slots in use is too much.
func TestShortWaitAdmitsAccountOverItsShare(t *testing.T) {
	controller := newController(64)
	controller.Shares.SetFleetDemand([]message.Demand{{Account: "x", Rate: 9000, Served: 900}, {Account: "other", Rate: 900, Served: 300}})
	controller.Shares.Spend(start, "x", 5000)
	for range 64*3/4 + 1 {
		choice, refusal := controller.Decide(start, request(20))
		require.Nil(t, refusal, "slots are free and the queue is empty")
		controller.Placer.RecordFirstByte(start, choice)
	}
	choice, refusal := controller.Decide(start, request(20))
	require.NotNil(t, refusal, "the remaining slots are kept for requests within their share: %+v", choice)
	require.Equal(t, fleet.ReasonOverShare, refusal.Reason)
}

func TestShortWaitScalesWithLatencyObjective(t *testing.T) {
	for wait, want := range map[time.Duration]bool{0: true, 100 * time.Millisecond: true, 101 * time.Millisecond: false} {
		require.Equal(t, want, ShortWait{}.Admits(start, nil, Request{Route: route}, &placement.Choice{PredictedTTFB: wait, Load: maxLoad}), wait)
	}
	require.False(t, ShortWait{}.Admits(start, nil, Request{Route: route}, &placement.Choice{Load: maxLoad + 0.01}))
}
