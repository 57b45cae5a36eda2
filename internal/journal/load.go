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
	rec, _, size, ok := decodeRecord(data)
	if !ok || size != len(data) || rec.Snapshot == nil {
		return &CorruptionError{File: name}
	}
	j.snapshot = *rec.Snapshot
	j.generation = fileGeneration(name)
	return nil
}

// loadLog replays the complete batches of a log. Only the last log may end in a batch that a crash
// interrupted; none of that batch was acknowledged, and the log is truncated before it.
func (j *Journal) loadLog(name string, isLastLog bool) error {
	data, err := j.Disk.Read(name)
	if err != nil {
		return &DiskError{Op: "read " + name, Err: err}
	}
	var batch []record
	mark := batchMark{last: true}
	j.lastBatch = 0 // batches are numbered by file
	offset, batchEnd := 0, 0
	for offset < len(data) {
		rec, nextMark, size, ok := decodeRecord(data[offset:])
		if !ok && (!isLastLog || !isTornWrite(data, offset, mark)) {
			return &CorruptionError{File: name, Offset: offset}
		}
		if !ok {
			break
		}
		mark = nextMark
		offset += size
		batch = append(batch, rec)
		if !mark.last {
			continue
		}
		if err := j.replay(batch); err != nil {
			return &CorruptionError{File: name, Offset: batchEnd}
		}
		batch, batchEnd = nil, offset
		j.lastBatch = mark.number
	}
	switch {
	case batchEnd == len(data):
		return nil
	case !isLastLog:
		return &CorruptionError{File: name, Offset: batchEnd}
	default:
		return j.truncateLog(name, batchEnd)
	}
}

var errMissingEntry = errors.New("an entry is missing")

func (j *Journal) replay(batch []record) error {
	for _, rec := range batch {
		switch {
		case rec.Identity != nil:
			j.identity = *rec.Identity
		case rec.State != nil:
			j.state = *rec.State
		case rec.Entry != nil:
			if err := j.replayEntry(*rec.Entry); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

func (j *Journal) replayEntry(entry quorum.Entry) error {
	if entry.Index <= j.snapshot.Index {
		return nil
	}
	position := entry.Index - j.snapshot.Index - 1
	if position > uint64(len(j.entries)) {
		return errMissingEntry
	}
	j.entries = append(j.entries[:position], entry)
	return nil
}

func (j *Journal) truncateLog(name string, offset int) error {
	file, err := j.Disk.Open(name)
	if err != nil {
		return &DiskError{Op: "open " + name, Err: err}
	}
	if err := file.Truncate(int64(offset)); err != nil {
		return &DiskError{Op: "truncate " + name, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &DiskError{Op: "sync " + name, Err: err}
	}
	return file.Close()
}

func sortFileNames(names []string) (logs, snapshots []string) {
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix):
		case strings.HasPrefix(name, logPrefix):
			logs = append(logs, name)
		case strings.HasPrefix(name, snapshotPrefix):
			snapshots = append(snapshots, name)
		default:
		}
	}
	slices.Sort(logs)
	slices.Sort(snapshots)
	return logs, snapshots
}

func fileGeneration(name string) uint64 {
	var generation uint64
	suffix := strings.TrimPrefix(strings.TrimPrefix(name, logPrefix), snapshotPrefix)
	if _, err := fmt.Sscanf(suffix, "%d", &generation); err != nil {
		return 0
	}
	return generation
}
