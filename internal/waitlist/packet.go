package waitlist

import (
	"encoding/json"
	"fmt"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/peerlink"
)

const (
	packetAsk    peerlink.Kind = "place"  // does a request have a place?
	packetAnswer peerlink.Kind = "placed" // to packetAsk
)

// A packet is a datagram between two routers. Times are durations, since routers have different clocks.
// A reader ignores unknown fields.
type packet struct {
	Kind  peerlink.Kind  `json:"kind"`
	Key   string         `json:"id"`
	Seq   uint64         `json:"seq"`
	State State          `json:"state,omitempty"` // in an answer
	In    fleet.Duration `json:"in,omitempty"`    // until the place that is offered, or that the request has
	Age   fleet.Duration `json:"age,omitempty"`   // in an answer, since the place was issued
	Late  bool           `json:"late,omitempty"`  // in an answer
}

// A datagram is a packet to or from another router.
type datagram struct {
	address string
	packet  packet
}

// packetDuration returns a duration as precise as packets state it.
func packetDuration(d time.Duration) fleet.Duration {
	return fleet.Duration(d.Round(time.Millisecond))
}

func parsePacket(text []byte) (packet, error) {
	var decoded packet
	if err := json.Unmarshal(text, &decoded); err != nil {
		return decoded, fmt.Errorf("decode a packet (the router may run an incompatible version): %w", err)
	}
	return decoded, nil
}
