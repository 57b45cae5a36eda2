package journal

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"laburnumfall/internal/quorum"
)

func (j *Journal) loadSnapshot(name string) error {
	data, err := j.Disk.Read(name)
	if err != nil {
		return &DiskError{Op: "read " + name, Err: err}
	}
	r, _, size, ok := decodeRecord(data)
	if !ok || size != len(data) || r.Snapshot == nil {
		return &CorruptionError{File: name}
	}
	j.base = *r.Snapshot
	j.number = numberOf(name)
	return nil
}

// loadLog replays the whole batches of a log. Only the last one may end in a
// batch that a crash interrupted: none of it was acknowledged, and it is cut
// off.
func (j *Journal) loadLog(name string, last bool) error {
	data, err := j.Disk.Read(name)
	if err != nil {
		return &DiskError{Op: "read " + name, Err: err}
	}
	var batch []record
	mark := batchMark{last: true}
	offset, whole := 0, 0
	for offset < len(data) {
		r, next, size, ok := decodeRecord(data[offset:])
		if !ok && (!last || !torn(data, offset, mark)) {
			return &CorruptionError{File: name, Offset: offset}
		}
		if !ok {
			break
		}
		mark = next
		offset += size
		batch = append(batch, r)
		if !mark.last {
			continue
		}
		if err := j.replay(batch); err != nil {
			return &CorruptionError{File: name, Offset: whole}
		}
		batch, whole = nil, offset
		j.batch = mark.number
	}
	switch {
	case whole == len(data):
		return nil
	case !last:
		return &CorruptionError{File: name, Offset: whole}
	default:
		return j.cutTail(name, whole)
	}
}

var errGap = errors.New("an entry is missing")

func (j *Journal) replay(batch []record) error {
	for _, r := range batch {
		switch {
		case r.Identity != nil:
			j.identity = *r.Identity
		case r.State != nil:
			j.state = *r.State
		case r.Entry != nil:
			if err := j.replayEntry(*r.Entry); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

func (j *Journal) replayEntry(e quorum.Entry) error {
	if e.Index <= j.base.Index {
		return nil
	}
	place := e.Index - j.base.Index - 1
	if place > uint64(len(j.entries)) {
		return errGap
	}
	j.entries = append(j.entries[:place], e)
	return nil
}

func (j *Journal) cutTail(name string, offset int) error {
	f, err := j.Disk.Open(name)
	if err != nil {
		return &DiskError{Op: "open " + name, Err: err}
	}
	if err := f.Truncate(int64(offset)); err != nil {
		return &DiskError{Op: "truncate " + name, Err: err}
	}
	if err := f.Sync(); err != nil {
		return &DiskError{Op: "sync " + name, Err: err}
	}
	return f.Close()
}

func sortNames(names []string) (logs, snaps []string) {
	for _, n := range names {
		switch {
		case strings.HasSuffix(n, tempSuffix):
		case strings.HasPrefix(n, logPrefix):
			logs = append(logs, n)
		case strings.HasPrefix(n, snapPrefix):
			snaps = append(snaps, n)
		default:
		}
	}
	slices.Sort(logs)
	slices.Sort(snaps)
	return logs, snaps
}

func numberOf(name string) uint64 {
	var n uint64
	digits := strings.TrimPrefix(strings.TrimPrefix(name, logPrefix), snapPrefix)
	if _, err := fmt.Sscanf(digits, "%d", &n); err != nil {
		return 0
	}
	return n
}
