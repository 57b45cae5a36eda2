package uplink

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/message"
)

// Guards against renewals that a keeper of the version before cannot read.
func TestRenewalsArePackedOnlyWhereAKeeperTakesThem(t *testing.T) {
	for name, packs := range map[string]bool{"takes them": true, "of the version before": false} {
		t.Run(name, func(t *testing.T) {
			k := startKeeper(t)
			k.answer = message.Renewal{Leads: true, Term: 1, Number: 1, Text: text(t, 1), Packs: packs}
			u, _ := startUplink(t, &fakeList{}, k.address)
			require.Eventually(t, u.has(1), 5*time.Second, time.Millisecond)
			require.Eventually(t, func() bool {
				k.mu.Lock()
				defer k.mu.Unlock()
				return k.asked >= 5 && (k.packed >= 3 || !packs)
			}, 5*time.Second, time.Millisecond)
			k.mu.Lock()
			defer k.mu.Unlock()
			require.Equal(t, packs, k.packed > 0)
			require.Less(t, k.packed, k.asked, "the first is plain")
			require.Equal(t, "r1", k.last.Router)
		})
	}
}

// Guards against a router that forgets the keepers where an answer does not name them, and
// against one that is never told of all again once it has added hearsay.
func TestKeepersStayUntilOthersAreTold(t *testing.T) {
	u := newUplink(&fakeList{})
	now := time.Now()
	told := []string{"a", "b"}
	u.take(now, "a", nil, message.Renewal{Leads: true, Keepers: told})
	require.Equal(t, message.DigestMembers(told), u.members)
	u.take(now, "a", nil, message.Renewal{Leads: true})
	require.Equal(t, told, u.keepers)
	u.learn([]string{"c"})
	require.Zero(t, u.members)
	u.take(now, "a", nil, message.Renewal{Leads: true, Keepers: told})
	require.Equal(t, told, u.keepers)
}
