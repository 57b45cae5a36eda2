package keeperclient

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/message"
	"laburnumfall/internal/standin"
)

// Guards against a router that uses a configuration replaced seconds ago. The leader and other
// keepers lose power, a new leader accepts a configuration, and the router must not wait for each
// failed keeper in turn.
func TestDeadKeepersDoNotDelayLeaderSearch(t *testing.T) {
	oldLeader, newLeader := startKeeper(t), startKeeper(t)
	dead := []*fakeKeeper{startKeeper(t), startKeeper(t)}
	follower := startKeeper(t)
	seeds := []string{oldLeader.address, dead[0].address, dead[1].address, follower.address}
	oldLeader.response = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: packedConfig(t, 1), Keepers: seeds}
	client, _ := startClient(t, &fakeList{}, seeds...)
	require.Eventually(t, client.hasConfig(1), waitLimit, pollInterval)
	for _, keeper := range dead {
		keeper.update(func(keeper *fakeKeeper) { keeper.silent = true })
	}
	follower.update(func(keeper *fakeKeeper) { keeper.response = message.RenewResponse{Leader: newLeader.address} })
	newLeader.update(func(keeper *fakeKeeper) {
		keeper.response = message.RenewResponse{Leads: true, Term: 2, Number: 2, PackedConfig: packedConfig(t, 2)}
	})
	oldLeader.update(func(keeper *fakeKeeper) { keeper.silent, keeper.requestCount = true, 0 })
	require.Eventually(t, client.hasConfig(2), waitLimit, pollInterval)
	oldLeader.update(func(keeper *fakeKeeper) {
		require.LessOrEqual(t, keeper.requestCount, 1, "the new leader must be found before the first request is given up")
	})
}

// Guards against a key lease that lapses although the leader runs. The connection to the leader
// becomes silent without a reset while other keepers still name that leader, so the router must
// ask it over a new connection.
func TestReplacesSilentLeaderConn(t *testing.T) {
	leader, follower := startKeeper(t), startKeeper(t)
	leader.response = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: packedConfig(t, 1)}
	follower.response = message.RenewResponse{Leader: leader.address}
	proxy, err := standin.StartProxy("127.0.0.1:0", leader.address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	leader.update(func(keeper *fakeKeeper) { keeper.response.Keepers = []string{proxy.Address(), follower.address} })
	follower.update(func(keeper *fakeKeeper) { keeper.response.Leader = proxy.Address() })
	client, _ := startClient(t, &fakeList{}, proxy.Address(), follower.address)
	require.Eventually(t, client.hasConfig(1), waitLimit, pollInterval)
	proxy.StallOpenConnections()
	leader.update(func(keeper *fakeKeeper) {
		keeper.response = message.RenewResponse{Leads: true, Term: 1, Number: 2, PackedConfig: packedConfig(t, 2)}
	})
	require.Eventually(t, client.hasConfig(2), waitLimit, pollInterval)
	require.True(t, client.State().KeyLeaseExpiry.After(client.Clock.Now()), "the key lease must not lapse")
}

// Guards against routers that have no configuration for a second after a leader is elected. After
// a restart of the whole fleet, routers know only the seeds, which start last and do not know the
// leader, another keeper.
func TestLearnsKeepersFromKeeperWithoutLeader(t *testing.T) {
	seed, leader := startKeeper(t), startKeeper(t)
	seed.response = message.RenewResponse{Keepers: []string{seed.address, leader.address}}
	leader.response = message.RenewResponse{Leads: true, Term: 1, Number: 3, PackedConfig: packedConfig(t, 3), Keepers: []string{seed.address, leader.address}}
	client, _ := startClient(t, &fakeList{}, seed.address)
	require.Eventually(t, client.hasConfig(3), waitLimit, pollInterval)
}

func TestBoundsKnownKeepers(t *testing.T) {
	client := &Client{keepers: []string{"a"}}
	var addresses []string
	for i := range 10 * maxKnownKeepers {
		addresses = append(addresses, fmt.Sprint("k", i))
	}
	client.addKeepers([]string{"a", "b", "", "b"})
	require.Equal(t, []string{"a", "b"}, client.keepers)
	client.addKeepers(addresses)
	require.Len(t, client.keepers, maxKnownKeepers)
}
