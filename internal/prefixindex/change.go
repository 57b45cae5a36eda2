package prefixindex

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/fleet"
)

// A Key identifies a part fleet-wide: the lower 48 bits of its ID. Two parts with the same key are
// taken for one, which is harmless.
type Key uint64

// KeyOf returns the key of a part.
func KeyOf(partID uint64) Key {
	return Key(partID & (1<<48 - 1))
}

// tagOf returns a 24-bit hash of a target's ID and start time. Targets of the same tag are not told
// of.
func tagOf(id fleet.Incarnation) uint32 {
	var start [8]byte
	binary.LittleEndian.PutUint64(start[:], uint64(id.StartMillis))
	return uint32(xxhash.Sum64(append([]byte(id.ID), start[:]...)) & (1<<24 - 1))
}

const (
	// EntrySize is the size of an encoded change in bytes: key, target's tag, size of the part.
	EntrySize = 6 + 3 + 2
	// sizeUnit is the unit in which the size of a part is told, in tokens.
	sizeUnit = 16
)

// A Change says that a target keeps a part of a prompt, or no longer does.
type Change struct {
	Key    Key
	Tag    uint32
	Tokens int // 0 if the part is gone
}

// Encode returns the changes in EntrySize bytes each. Sizes are rounded up to sizeUnit.
func Encode(changes []Change) []byte {
	data := make([]byte, 0, len(changes)*EntrySize)
	var buf [8]byte
	for _, c := range changes {
		binary.BigEndian.PutUint64(buf[:], uint64(c.Key))
		data = append(data, buf[2:]...)
		data = append(data, byte(c.Tag>>16), byte(c.Tag>>8), byte(c.Tag))
		data = binary.BigEndian.AppendUint16(data, uint16(min((c.Tokens+sizeUnit-1)/sizeUnit, 1<<16-1)))
	}
	return data
}

// Decode is the inverse of Encode. It fails if the data are cut off.
func Decode(data []byte) ([]Change, error) {
	if len(data)%EntrySize != 0 {
		return nil, fmt.Errorf("decode changes of kept parts: %d bytes are not a multiple of %d (the sender may run an incompatible version)", len(data), EntrySize)
	}
	changes := make([]Change, 0, len(data)/EntrySize)
	for ; len(data) > 0; data = data[EntrySize:] {
		changes = append(changes, Change{
			Key:    Key(binary.BigEndian.Uint16(data))<<32 | Key(binary.BigEndian.Uint32(data[2:])),
			Tag:    uint32(data[6])<<16 | uint32(data[7])<<8 | uint32(data[8]),
			Tokens: int(binary.BigEndian.Uint16(data[9:])) * sizeUnit,
		})
	}
	return changes, nil
}
