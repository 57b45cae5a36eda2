package keeper

import (
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

const (
	// peersSettleTime is how long a leader collects routers before it sends their list to those that have
	// the list of the leader before.
	peersSettleTime = 3 * time.Second
	// minPeersInterval is the least time between two changes of the list. It grows by
	// peersIntervalStep for each router, since each change is sent to all of them.
	minPeersInterval  = time.Second
	peersIntervalStep = 5 * time.Millisecond
)

// A peer is where a router listens for other routers.
type peer struct {
	zone    fleet.Zone
	address string
}

// A peerList holds the addresses at which routers listen for each other, as their renewals report them.
type peerList struct {
	term    uint64
	since   time.Time       // of the first renewal in term
	peers   map[string]peer // by router
	changed bool            // since the list was built
	builtAt time.Time
	packed  []byte
	digest  uint32
}

// record adds the router of a renewal.
func (l *peerList) record(now time.Time, term uint64, request message.RenewRequest) {
	if l.term != term || l.peers == nil {
		l.term, l.since, l.peers = term, now, make(map[string]peer)
	}
	if reported := (peer{request.Zone, request.PeerAddress}); l.peers[request.Router] != reported {
		l.peers[request.Router], l.changed = reported, true
	}
}

// remove removes a router that has not renewed for long.
func (l *peerList) remove(router string) {
	if _, ok := l.peers[router]; ok {
		delete(l.peers, router)
		l.changed = true
	}
}

// forRouter returns the packed list and its digest if the router of a request does not have it.
func (l *peerList) forRouter(now time.Time, request message.RenewRequest) ([]byte, uint32) {
	if request.PeersDigest != 0 && now.Sub(l.since) < peersSettleTime {
		return nil, 0
	}
	if l.changed && now.Sub(l.builtAt) >= minPeersInterval+time.Duration(len(l.peers))*peersIntervalStep {
		l.build(now)
	}
	if l.digest == request.PeersDigest {
		return nil, 0
	}
	return l.packed, l.digest
}

func (l *peerList) build(now time.Time) {
	byZone := make(map[fleet.Zone][]string)
	var lines []string
	for _, listed := range l.peers {
		byZone[listed.zone] = append(byZone[listed.zone], listed.address)
		lines = append(lines, string(listed.zone)+" "+listed.address)
	}
	for _, zone := range slices.Collect(maps.Keys(byZone)) {
		slices.Sort(byZone[zone])
		byZone[zone] = slices.Compact(byZone[zone])
	}
	slices.Sort(lines)
	packed, err := codec.CompressJSON(byZone)
	if err != nil {
		return // strings can be encoded
	}
	l.changed, l.builtAt, l.packed, l.digest = false, now, packed, message.Digest(slices.Compact(lines))
}
