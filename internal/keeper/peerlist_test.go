package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

func peerRequest(router, zone, address string) message.RenewRequest {
	return message.RenewRequest{Router: router, Zone: fleet.Zone(zone), PeerAddress: address}
}

func unpackPeers(t *testing.T, packed []byte) map[fleet.Zone][]string {
	peers, err := codec.DecompressJSON[map[fleet.Zone][]string](packed)
	require.NoError(t, err)
	return peers
}

// Guards against a list of few routers from a new leader, by which routers would ask others than those
// that were told.
func TestPeerListOfNewLeaderIsComplete(t *testing.T) {
	var list peerList
	now := time.Unix(1e9, 0)
	first, second, started := peerRequest("r1", "z1", "10.0.0.1:1"), peerRequest("r2", "z2", "10.0.0.2:1"), peerRequest("r2", "z2", "10.0.0.2:1")
	first.PeersDigest, second.PeersDigest = 7, 7
	list.record(now, 1, first)
	packed, digest := list.forRouter(now, first)
	require.Nil(t, packed, "the router has the list of the leader before")
	require.Zero(t, digest)
	list.record(now.Add(time.Second), 1, started)
	packed, _ = list.forRouter(now.Add(time.Second), started)
	require.Equal(t, map[fleet.Zone][]string{"z1": {"10.0.0.1:1"}, "z2": {"10.0.0.2:1"}}, unpackPeers(t, packed), "the router has none")
	packed, _ = list.forRouter(now.Add(peersSettleTime-1), first)
	require.Nil(t, packed)
	now = now.Add(peersSettleTime)
	packed, digest = list.forRouter(now, first)
	require.Equal(t, map[fleet.Zone][]string{"z1": {"10.0.0.1:1"}, "z2": {"10.0.0.2:1"}}, unpackPeers(t, packed))
	first.PeersDigest = digest
	packed, _ = list.forRouter(now, first)
	require.Nil(t, packed, "the router has it")

	list.record(now, 2, first)
	packed, _ = list.forRouter(now, second)
	require.Nil(t, packed, "the leader of a new term collects again")
}

// Guards against a list that is sent to all routers for each of many that start.
func TestPeerListChangesAreLimited(t *testing.T) {
	var list peerList
	now := time.Unix(1e9, 0)
	request := peerRequest("r0", "z1", "10.0.0.0:1")
	list.record(now, 1, request)
	changes, digest := 0, uint32(0)
	for i := range 500 {
		now = now.Add(20 * time.Millisecond)
		list.record(now, 1, peerRequest(string(rune('a'+i)), "z1", string(rune('a'+i))))
		request.PeersDigest = digest
		if packed, next := list.forRouter(now, request); packed != nil {
			changes, digest = changes+1, next
		}
	}
	require.Positive(t, changes)
	require.LessOrEqual(t, changes, 7)
	list.remove("a")
	now = now.Add(time.Minute)
	_, next := list.forRouter(now, request)
	require.NotEqual(t, digest, next)
}
