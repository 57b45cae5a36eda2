package origin

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"laburnumfall/internal/fleet"
)

// maxPacketBytes is the size of a datagram that no common network splits.
const maxPacketBytes = 1200

// A packetKind says what a packet is for.
type packetKind string

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

const macBytes = 16

var (
	errPacketTooLong = errors.New("the IDs and names of a stream exceed a datagram (use shorter ones)")
	errForged        = errors.New("a datagram does not prove the fleet's secret (give all routers the same)")
)

// encode returns the bytes of a packet, which begin with a proof that the sender has the secret.
func (p packet) encode(secret []byte) ([]byte, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode a packet: %w", err)
	}
	if macBytes+len(text) > maxPacketBytes {
		return nil, errPacketTooLong
	}
	return append(mac(text, secret), text...), nil
}

func decodePacket(data, secret []byte) (packet, error) {
	var decoded packet
	if len(data) < macBytes || !hmac.Equal(data[:macBytes], mac(data[macBytes:], secret)) {
		return decoded, errForged
	}
	if err := json.Unmarshal(data[macBytes:], &decoded); err != nil {
		return decoded, fmt.Errorf("decode a packet (the router may run an incompatible version): %w", err)
	}
	return decoded, nil
}

func mac(text, secret []byte) []byte {
	hash := hmac.New(sha256.New, secret)
	_, _ = hash.Write(text) // a hash never returns an error
	return hash.Sum(nil)[:macBytes]
}
