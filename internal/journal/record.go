package journal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"

	"laburnumfall/internal/quorum"
)

// A record is one unit of a journal file: a header of 16 bytes and a JSON body. The header consists of
// the length of the body, the CRC-32C of the body, the batch mark and the CRC-32C of these three
// fields, each as a little-endian uint32.
type record struct {
	// Identity is the first record of a log and a later record whenever the identity changes.
	Identity *Identity     `json:"identity,omitempty"`
	State    *quorum.State `json:"state,omitempty"`
	Entry    *quorum.Entry `json:"entry,omitempty"`
	// Snapshot is the only record of a snapshot file.
	Snapshot *quorum.Snapshot `json:"snapshot,omitempty"`
}

const (
	headerSize    = 16
	sectorSize    = 512
	maxRecordSize = 1 << 30
)

// A batchMark identifies the batch of a file that a record belongs to. All records of a batch are
// written together and synced before the next batch is written.
type batchMark struct {
	number uint32
	// last means that the record is the last of its batch.
	last bool
}

const lastInBatchBit = 1 << 31

func (m batchMark) encode() uint32 {
	if m.last {
		return m.number | lastInBatchBit
	}
	return m.number
}

// followingBatch returns the number of the batch that the next record belongs to.
func (m batchMark) followingBatch() uint32 {
	if m.last {
		return m.number + 1
	}
	return m.number
}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// appendBatch appends the encoded records to dst as one batch.
func appendBatch(dst []byte, number uint32, records ...record) ([]byte, error) {
	for i, rec := range records {
		body, err := json.Marshal(rec)
		if err != nil {
			return nil, fmt.Errorf("encode a record: %w", err)
		}
		mark := batchMark{number: number, last: i == len(records)-1}
		var header [headerSize]byte
		binary.LittleEndian.PutUint32(header[:4], uint32(len(body)))
		binary.LittleEndian.PutUint32(header[4:8], crc32.Checksum(body, crcTable))
		binary.LittleEndian.PutUint32(header[8:12], mark.encode())
		binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], crcTable))
		dst = append(append(dst, header[:]...), body...)
	}
	return dst, nil
}

// decodeHeader decodes the header at the start of data and returns the length of the body. It returns
// false if the header is incomplete or corrupted.
func decodeHeader(data []byte) (size int, mark batchMark, ok bool) {
	if len(data) < headerSize {
		return 0, mark, false
	}
	if crc32.Checksum(data[:12], crcTable) != binary.LittleEndian.Uint32(data[12:headerSize]) {
		return 0, mark, false
	}
	encodedMark := binary.LittleEndian.Uint32(data[8:12])
	mark = batchMark{number: encodedMark &^ lastInBatchBit, last: encodedMark&lastInBatchBit != 0}
	size = int(binary.LittleEndian.Uint32(data[:4]))
	return size, mark, size <= maxRecordSize
}

// decodeRecord decodes the record at the start of data and returns its size. It returns false if the
// record is incomplete or corrupted.
func decodeRecord(data []byte) (rec record, mark batchMark, size int, ok bool) {
	length, mark, ok := decodeHeader(data)
	if !ok || headerSize+length > len(data) {
		return record{}, mark, 0, false
	}
	body := data[headerSize : headerSize+length]
	if crc32.Checksum(body, crcTable) != binary.LittleEndian.Uint32(data[4:8]) {
		return record{}, mark, 0, false
	}
	if err := json.Unmarshal(body, &rec); err != nil {
		return record{}, mark, 0, false
	}
	return rec, mark, headerSize + length, true
}

// isTornWrite reports whether the invalid record at offset belongs to a batch that a crash
// interrupted. Previous is the mark of the record before it.
//
// If a record of a later batch follows, the invalid record was synced before and is corrupted. In
// the last batch, a crash leaves a record that is cut off by the end of the file, or a sector that
// was never written. A complete record with a wrong checksum is corrupted: its data may have been
// acknowledged and must not be dropped.
func isTornWrite(data []byte, offset int, previous batchMark) bool {
	tail := data[offset:]
	if hasLaterBatch(tail, previous.followingBatch()) {
		return false
	}
	if len(tail) < headerSize {
		return true
	}
	size, _, ok := decodeHeader(tail)
	switch {
	case ok && headerSize+size > len(tail):
		return true
	case ok:
		return hasZeroSector(data[:offset+headerSize+size], offset)
	default:
		return hasZeroSector(data, offset)
	}
}

// hasZeroSector reports whether, from offset on, the data of any sector consists only of zeros.
func hasZeroSector(data []byte, offset int) bool {
	for start := offset; start < len(data); {
		end := min((start/sectorSize+1)*sectorSize, len(data))
		if allZero(data[start:end]) {
			return true
		}
		start = end
	}
	return false
}

func allZero(data []byte) bool {
	for _, value := range data {
		if value != 0 {
			return false
		}
	}
	return true
}

// hasLaterBatch reports whether tail holds, at any position after its first byte, a valid record of
// a batch after number.
func hasLaterBatch(tail []byte, number uint32) bool {
	for i := 1; i+headerSize < len(tail); i++ {
		if _, mark, _, ok := decodeRecord(tail[i:]); ok && mark.number > number {
			return true
		}
	}
	return false
}
