package origin

import (
	"encoding/json"
	"fmt"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/peerlink"
)

type packetKind = peerlink.Kind

const (
	packetTell   packetKind = "tell"   // a stream has begun
	packetAsk    packetKind = "ask"    // where did a stream begin?
	packetAnswer packetKind = "answer" // to packetAsk
)

// A packet is a datagram between two routers. Times are durations, since routers have different clocks.
// A reader ignores unknown fields.
type packet struct {
	Kind    packetKind     `json:"kind"`
	Request string         `json:"id"`
	Seq     uint64         `json:"seq,omitempty"`   // of a question and its answer
	Known   bool           `json:"known,omitempty"` // in an answer
	Pool    string         `json:"pool,omitempty"`
	Version string         `json:"version,omitempty"`
	Age     fleet.Duration `json:"age,omitempty"`  // since the stream began
	Left    fleet.Duration `json:"left,omitempty"` // until it may be forgotten
}

// packetDuration returns a duration as precise as packets state it.
func packetDuration(d time.Duration) fleet.Duration {
	return fleet.Duration(d.Round(time.Millisecond))
}

// encode returns the bytes of a packet, which begin with a proof that the sender has the secret.
func (p packet) encode(secret []byte) ([]byte, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode a packet: %w", err)
	}
	return peerlink.Seal(text, secret)
}

func decodePacket(data, secret []byte) (packet, error) {
	text, err := peerlink.Open(data, secret)
	if err != nil {
		return packet{}, err
	}
	return parsePacket(text)
}

func parsePacket(text []byte) (packet, error) {
	var decoded packet
	if err := json.Unmarshal(text, &decoded); err != nil {
		return decoded, fmt.Errorf("decode a packet (the router may run an incompatible version): %w", err)
	}
	return decoded, nil
}
