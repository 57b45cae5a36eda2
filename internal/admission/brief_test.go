package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/placement"
)

// Symptom: engines with a third of their slots free and nothing to read, and thousands of
// short prompts refused as beyond their account's share.
// Sequence: an account asks for ten times its usual and is served three times as much as one
// that lacks service; it is refused wherever a fifth of the slots is taken.
// Cause: slots and reading time were kept free in the measure in which the account had more,
// for nobody.
func TestWhatWouldBeginAtOnceIsLetInWhateverItsAccountHas(t *testing.T) {
	d := desk(64)
	d.Shares.SetFleetDemand([]message.Demand{{Account: "x", Rate: 9000, Served: 900}, {Account: "other", Rate: 900, Served: 300}})
	d.Shares.Spend(start, "x", 5000)
	for range 64*3/4 + 1 {
		c, no := d.Decide(start, request(20))
		require.Nil(t, no, "slots are free, and nothing waits")
		d.Placer.RecordFirstByte(start, c)
	}
	c, no := d.Decide(start, request(20))
	require.NotNil(t, no, "the rest of the slots is for what is within its share: %+v", c)
	require.Equal(t, fleet.ReasonOverShare, no.Reason)
}

func TestBriefIsAPartOfTheAim(t *testing.T) {
	for wait, want := range map[time.Duration]bool{0: true, 100 * time.Millisecond: true, 101 * time.Millisecond: false} {
		require.Equal(t, want, ShortWait{}.Admits(start, nil, Request{Route: route}, &placement.Choice{PredictedTTFB: wait, Load: roomLoad}), wait)
	}
	require.False(t, ShortWait{}.Admits(start, nil, Request{Route: route}, &placement.Choice{Load: roomLoad + 0.01}))
}
