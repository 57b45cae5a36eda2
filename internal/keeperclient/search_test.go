package keeperclient

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/message"
	"laburnumfall/internal/standin"
)

// Symptom: a router handles requests by a configuration that was replaced seconds ago,
// while others have the new one.
// Sequence: the leader and other keepers lose power; the next leader accepts a
// configuration. The router asks its old leader, then one of the others that are gone,
// then its old leader again with more patience.
// Cause: it waits for each in turn.
func TestKeepersThatAreGoneAreNotWaitedForInTurn(t *testing.T) {
	old, next := startKeeper(t), startKeeper(t)
	gone := []*fakeKeeper{startKeeper(t), startKeeper(t)}
	follower := startKeeper(t)
	seeds := []string{old.address, gone[0].address, gone[1].address, follower.address}
	old.answer = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: text(t, 1), Keepers: seeds}
	u, _ := startUplink(t, &fakeList{}, seeds...)
	require.Eventually(t, u.has(1), wait, tick)
	for _, k := range gone {
		k.set(func(k *fakeKeeper) { k.mute = true })
	}
	follower.set(func(k *fakeKeeper) { k.answer = message.RenewResponse{Leader: next.address} })
	next.set(func(k *fakeKeeper) {
		k.answer = message.RenewResponse{Leads: true, Term: 2, Number: 2, PackedConfig: text(t, 2)}
	})
	old.set(func(k *fakeKeeper) { k.mute, k.asked = true, 0 })
	require.Eventually(t, u.has(2), wait, tick)
	old.set(func(k *fakeKeeper) {
		require.LessOrEqual(t, k.asked, 1, "it is found before the first question is given up")
	})
}

// Symptom: a router's lease on keys lapses though the leader is there.
// Sequence: the link to the leader goes silent without a reset; others name that
// leader.
// Cause: the leader is asked again over the same link only.
func TestALinkThatWentSilentIsReplacedAtOnce(t *testing.T) {
	leader, follower := startKeeper(t), startKeeper(t)
	leader.answer = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: text(t, 1)}
	follower.answer = message.RenewResponse{Leader: leader.address}
	proxy, err := standin.StartProxy("127.0.0.1:0", leader.address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	leader.set(func(k *fakeKeeper) { k.answer.Keepers = []string{proxy.Address(), follower.address} })
	follower.set(func(k *fakeKeeper) { k.answer.Leader = proxy.Address() })
	u, _ := startUplink(t, &fakeList{}, proxy.Address(), follower.address)
	require.Eventually(t, u.has(1), wait, tick)
	proxy.Stall()
	leader.set(func(k *fakeKeeper) {
		k.answer = message.RenewResponse{Leads: true, Term: 1, Number: 2, PackedConfig: text(t, 2)}
	})
	require.Eventually(t, u.has(2), wait, tick)
	require.True(t, u.State().KeysUntil.After(u.Clock.Now()), "the lease never lapsed")
}

// Symptom: after a restart of everything no router has a configuration for a second after
// a leader is there.
// Sequence: routers know the seeds only; the seeds start last, and do not know who leads;
// the leader is another keeper.
// Cause: the members were learned from a leader's answer alone.
func TestMembersAreLearnedFromKeepersThatKnowNoLeader(t *testing.T) {
	seed, leader := startKeeper(t), startKeeper(t)
	seed.answer = message.RenewResponse{Keepers: []string{seed.address, leader.address}}
	leader.answer = message.RenewResponse{Leads: true, Term: 1, Number: 3, PackedConfig: text(t, 3), Keepers: []string{seed.address, leader.address}}
	u, _ := startUplink(t, &fakeList{}, seed.address)
	require.Eventually(t, u.has(3), wait, tick)
}

func TestHearsayOfKeepersIsBounded(t *testing.T) {
	u := &Client{keepers: []string{"a"}}
	var list []string
	for i := range 10 * mostKeepers {
		list = append(list, fmt.Sprint("k", i))
	}
	u.learn([]string{"a", "b", "", "b"})
	require.Equal(t, []string{"a", "b"}, u.keepers)
	u.learn(list)
	require.Len(t, u.keepers, mostKeepers)
}
