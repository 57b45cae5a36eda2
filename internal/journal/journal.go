// Package journal stores a keeper's identity, term, vote, log and snapshots in checksummed files of
// one data folder.
//
// The files are log-N, a write-ahead log that is synced once per batch, and snap-N, a snapshot that
// is written to a temporary file and then renamed. N is the generation, which increases with each
// snapshot. The state consists of the snap-N with the highest N and the logs from log-N on.
package journal

import (
	"fmt"
	"slices"
	"strings"

	"laburnumfall/internal/quorum"
)

// An Identity identifies the keeper that owns a data folder and records how far its group has been
// founded. FoundingMembers is empty in the folder of a learner.
type Identity struct {
	Name string `json:"name"`
	ID   string `json:"id"`
	// FoundingPeerIDs maps the name of each founding peer to the first ID that it sent.
	FoundingPeerIDs map[string]string `json:"bound,omitempty"`
	Founded         bool              `json:"founded,omitempty"`
	// ProposedMembers are the members of the group that this keeper has proposed to found without
	// the peers that it cannot reach.
	ProposedMembers []quorum.Member `json:"proposed,omitempty"`
	FoundingMembers []quorum.Member `json:"members,omitempty"`
}

// A CorruptionError means that a file does not hold the data that was written to it.
type CorruptionError struct {
	File   string
	Offset int
}

// Error returns the position of the corruption and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d (the disk lost acknowledged data: empty the data folder and start without --init, so that this keeper joins as a replacement)", e.File, e.Offset)
}

// A DiskError means that an operation on the disk failed. The keeper must stop: the data that it
// wrote may or may not be durable.
type DiskError struct {
	Op  string
	Err error
}

// Error returns the failed operation and the remedy.
func (e *DiskError) Error() string {
	return fmt.Sprintf("%s: %v (free space on the disk or repair it, then start the keeper again)", e.Op, e.Err)
}

// Unwrap returns the underlying error of the disk.
func (e *DiskError) Unwrap() error {
	return e.Err
}

// A Journal is an open data folder. It is not safe for concurrent use.
type Journal struct {
	Disk Disk

	identity   Identity
	state      quorum.State
	snapshot   quorum.Snapshot
	entries    []quorum.Entry
	generation uint64
	logFile    File
	lastBatch  uint32 // number of the last batch in logFile
	failure    error
}

const (
	logPrefix      = "log-"
	snapshotPrefix = "snap-"
	tempSuffix     = ".tmp"
)

// Open reads the folder and reports whether it was in use before. It returns a CorruptionError if a
// file is corrupted, or the error of the disk.
func (j *Journal) Open() (used bool, err error) {
	names, err := j.Disk.List()
	if err != nil {
		return false, err
	}
	logs, snapshots := sortFileNames(names)
	if len(logs) == 0 {
		if len(snapshots) > 0 {
			return true, &CorruptionError{File: snapshots[len(snapshots)-1]}
		}
		return false, nil
	}
	if len(snapshots) > 0 {
		if err := j.loadSnapshot(snapshots[len(snapshots)-1]); err != nil {
			return true, err
		}
	}
	for i, name := range logs {
		if fileGeneration(name) < j.generation {
			continue
		}
		if err := j.loadLog(name, i == len(logs)-1); err != nil {
			return true, err
		}
	}
	if j.identity.ID == "" {
		if j.holdsData() {
			return true, &CorruptionError{File: logs[len(logs)-1]}
		}
		// The very first batch was torn, so nothing was ever acknowledged.
		return false, j.Disk.Remove(logs[len(logs)-1])
	}
	j.generation = fileGeneration(logs[len(logs)-1])
	j.logFile, err = j.Disk.Open(logs[len(logs)-1])
	if err != nil {
		return true, &DiskError{Op: "open " + logs[len(logs)-1], Err: err}
	}
	return true, nil
}

// holdsData reports whether the folder holds data that may have been acknowledged. A folder with such
// data but without an identity must not pass for an unused one, which would lose votes and entries.
func (j *Journal) holdsData() bool {
	return j.snapshot.Index > 0 || len(j.entries) > 0 || j.state != quorum.State{}
}

// Identity returns the identity of the keeper that owns the folder.
func (j *Journal) Identity() Identity {
	return j.identity
}

// Recovered returns the state, the snapshot and the entries after it, from which a Node starts.
func (j *Journal) Recovered() (quorum.State, quorum.Snapshot, []quorum.Entry) {
	return j.state, j.snapshot, slices.Clone(j.entries)
}

// IsMember reports whether the keeper is a member of the group according to the log or its snapshot.
func (j *Journal) IsMember() bool {
	members := j.snapshot.Members
	for _, entry := range j.entries {
		if entry.Kind == quorum.EntryMembers {
			members = entry.Members
		}
	}
	return slices.ContainsFunc(members, func(member quorum.Member) bool { return member.ID == j.identity.ID })
}

// SetIdentity makes the identity durable. It starts a log if the folder has none. After an error, it
// returns the same error, as Write does.
func (j *Journal) SetIdentity(identity Identity) error {
	if j.failure != nil {
		return j.failure
	}
	if j.logFile == nil {
		if err := j.startLog(j.generation); err != nil {
			return err
		}
	}
	j.identity = identity
	return j.write(record{Identity: &identity})
}

// Write makes the state, snapshot and entries of an output durable. After an error, each later Write
// returns the same error: a failed sync may have dropped pages that a later sync would not write.
func (j *Journal) Write(output quorum.Output) error {
	if j.failure != nil {
		return j.failure
	}
	if output.SaveState {
		j.state = output.State
	}
	if output.Snapshot != nil {
		j.snapshot = *output.Snapshot
		return j.rotate(output)
	}
	var records []record
	if output.SaveState {
		records = append(records, record{State: &j.state})
	}
	for i := range output.Append {
		records = append(records, record{Entry: &output.Append[i]})
	}
	return j.write(records...)
}

// Close closes the log.
func (j *Journal) Close() error {
	if j.logFile == nil {
		return nil
	}
	return j.logFile.Close()
}

// rotate writes the snapshot and starts a new log that continues it. A crash at any point leaves
// either the old snapshot with its complete log, or the new snapshot with the new log.
func (j *Journal) rotate(output quorum.Output) error {
	nextGeneration := j.generation + 1
	// The new log is written first: a snapshot without its log counts as corruption.
	oldLog := j.logFile
	if err := j.startLog(nextGeneration); err != nil {
		return err
	}
	records := []record{{Identity: &j.identity}, {State: &j.state}}
	for i := range output.Append {
		records = append(records, record{Entry: &output.Append[i]})
	}
	if err := j.write(records...); err != nil {
		return err
	}
	if err := j.writeSnapshot(nextGeneration); err != nil {
		return err
	}
	j.generation = nextGeneration
	if oldLog != nil {
		_ = oldLog.Close() // all its data is synced
	}
	return j.removeObsolete()
}

func (j *Journal) writeSnapshot(generation uint64) error {
	name := fileName(snapshotPrefix, generation)
	data, err := appendBatch(nil, 1, record{Snapshot: &j.snapshot})
	if err != nil {
		return j.fail("encode "+name, err)
	}
	file, err := j.Disk.Create(name + tempSuffix)
	if err != nil {
		return j.fail("create "+name, err)
	}
	if err := writeSync(file, data); err != nil {
		return j.fail("write "+name, err)
	}
	if err := file.Close(); err != nil {
		return j.fail("close "+name, err)
	}
	if err := j.Disk.Rename(name+tempSuffix, name); err != nil {
		return j.fail("rename "+name, err)
	}
	if err := j.Disk.SyncDir(); err != nil {
		return j.fail("make file names durable", err)
	}
	return nil
}

// removeObsolete removes the files that the newest snapshot replaces, and temporary files.
func (j *Journal) removeObsolete() error {
	names, err := j.Disk.List()
	if err != nil {
		return j.fail("list", err)
	}
	for _, name := range names {
		obsolete := isJournalFile(name) && fileGeneration(name) < j.generation
		if !obsolete && !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := j.Disk.Remove(name); err != nil {
			return j.fail("remove "+name, err)
		}
	}
	return nil
}

func (j *Journal) startLog(generation uint64) error {
	name := fileName(logPrefix, generation)
	file, err := j.Disk.Create(name)
	if err != nil {
		return j.fail("create "+name, err)
	}
	if err := j.Disk.SyncDir(); err != nil {
		return j.fail("make file names durable", err)
	}
	j.logFile = file
	j.lastBatch = 0
	return nil
}

// write appends the records to the log as one batch and syncs it.
func (j *Journal) write(records ...record) error {
	j.lastBatch++
	batch, err := appendBatch(nil, j.lastBatch, records...)
	if err != nil {
		return j.fail("encode", err)
	}
	if err := writeSync(j.logFile, batch); err != nil {
		return j.fail("write the log", err)
	}
	return nil
}

// fail records an error of the disk, after which the journal accepts no writes, and returns it.
func (j *Journal) fail(op string, err error) error {
	j.failure = &DiskError{Op: op, Err: err}
	return j.failure
}

func writeSync(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

func isJournalFile(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
}

func fileName(prefix string, generation uint64) string {
	return fmt.Sprintf("%s%016d", prefix, generation)
}
