// Package journal keeps a keeper's identity, term, vote, log and snapshots in
// checksummed files of one data folder.
//
// The files are log-N, appended to and synced once per batch, and snap-N, which
// is written whole and put in place by a rename. N counts up with each
// snapshot; the highest snap-N that is whole, and the logs from log-N on, are
// what counts.
package journal

import (
	"fmt"
	"slices"
	"strings"

	"laburnumfall/internal/quorum"
)

// An Identity is who a data folder belongs to. Members are the founding ones;
// they are empty in the folder of a learner.
type Identity struct {
	Name string `json:"name"`
	ID   string `json:"id"`
	// FoundingPeerIDs holds the first ID heard of each founding peer.
	FoundingPeerIDs map[string]string `json:"bound,omitempty"`
	Founded         bool              `json:"founded,omitempty"`
	// ProposedMembers are the members of a group that this keeper has proposed to found
	// without those of its peers that it cannot reach.
	ProposedMembers []quorum.Member `json:"proposed,omitempty"`
	FoundingMembers []quorum.Member `json:"members,omitempty"`
}

// A CorruptionError says that a file does not hold what was written to it.
type CorruptionError struct {
	File   string
	Offset int
}

// Error returns the place of the damage and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d (the disk lost promised data: empty the data folder and start without --init, so that this keeper joins as a replacement)", e.File, e.Offset)
}

// A DiskError says that the disk refused a write or a sync. The keeper must
// stop: what it wrote may or may not last.
type DiskError struct {
	Op  string
	Err error
}

// Error returns the failed operation and the remedy.
func (e *DiskError) Error() string {
	return fmt.Sprintf("%s: %v (free or mend the disk, then start the keeper again)", e.Op, e.Err)
}

// Unwrap returns the disk's own error.
func (e *DiskError) Unwrap() error {
	return e.Err
}

// A Journal is an open data folder. It is used by one goroutine.
type Journal struct {
	Disk Disk

	identity Identity
	state    quorum.State
	base     quorum.Snapshot
	entries  []quorum.Entry
	number   uint64
	file     File
	batch    uint32 // number of the last batch in the file
	broken   error
}

const (
	logPrefix  = "log-"
	snapPrefix = "snap-"
	tempSuffix = ".tmp"
)

// Open reads the folder. It reports whether the folder was in use before.
func (j *Journal) Open() (used bool, err error) {
	names, err := j.Disk.List()
	if err != nil {
		return false, err
	}
	logs, snaps := sortNames(names)
	if len(logs) == 0 {
		if len(snaps) > 0 {
			return true, &CorruptionError{File: snaps[len(snaps)-1]}
		}
		return false, nil
	}
	if len(snaps) > 0 {
		if err := j.loadSnapshot(snaps[len(snaps)-1]); err != nil {
			return true, err
		}
	}
	for i, name := range logs {
		if numberOf(name) < j.number {
			continue
		}
		if err := j.loadLog(name, i == len(logs)-1); err != nil {
			return true, err
		}
	}
	if j.identity.ID == "" {
		if j.holds() {
			return true, &CorruptionError{File: logs[len(logs)-1]}
		}
		// The very first batch was torn: nothing was ever promised.
		return false, j.Disk.Remove(logs[len(logs)-1])
	}
	j.number = numberOf(logs[len(logs)-1])
	j.file, err = j.Disk.Open(logs[len(logs)-1])
	if err != nil {
		return true, &DiskError{Op: "open " + logs[len(logs)-1], Err: err}
	}
	return true, nil
}

// holds reports whether anything was read that may have been promised. Without the batch
// that says whose it is, it would be taken for a folder that never was in use, and votes
// and entries be forgotten.
func (j *Journal) holds() bool {
	return j.base.Index > 0 || len(j.entries) > 0 || j.state != quorum.State{}
}

// Identity returns who the folder belongs to.
func (j *Journal) Identity() Identity {
	return j.identity
}

// Recovered returns what a Node starts from.
func (j *Journal) Recovered() (quorum.State, quorum.Snapshot, []quorum.Entry) {
	return j.state, j.base, slices.Clone(j.entries)
}

// IsMember reports whether the log or its snapshot says that this folder's keeper
// is a member of the group.
func (j *Journal) IsMember() bool {
	members := j.base.Members
	for _, e := range j.entries {
		if e.Kind == quorum.EntryMembers {
			members = e.Members
		}
	}
	return slices.ContainsFunc(members, func(m quorum.Member) bool { return m.ID == j.identity.ID })
}

// SetIdentity makes the identity durable.
func (j *Journal) SetIdentity(id Identity) error {
	if j.file == nil {
		if err := j.createLog(j.number); err != nil {
			return err
		}
	}
	j.identity = id
	return j.write(record{Identity: &id})
}

// Write makes an output durable. After an error the journal takes nothing
// more: a failed sync may have dropped pages that a later one would not see.
func (j *Journal) Write(out quorum.Output) error {
	if j.broken != nil {
		return j.broken
	}
	if out.SaveState {
		j.state = out.State
	}
	if out.Snapshot != nil {
		j.base = *out.Snapshot
		return j.rotate(out)
	}
	var records []record
	if out.SaveState {
		records = append(records, record{State: &j.state})
	}
	for i := range out.Append {
		records = append(records, record{Entry: &out.Append[i]})
	}
	return j.write(records...)
}

// Close closes the open file.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

// rotate puts a snapshot in place and starts a new log behind it. A crash at
// any point leaves either the old snapshot with its whole log, or the new one.
func (j *Journal) rotate(out quorum.Output) error {
	next := j.number + 1
	// The new log comes first: a snapshot without its log would read as damage.
	old := j.file
	if err := j.createLog(next); err != nil {
		return err
	}
	records := []record{{Identity: &j.identity}, {State: &j.state}}
	for i := range out.Append {
		records = append(records, record{Entry: &out.Append[i]})
	}
	if err := j.write(records...); err != nil {
		return err
	}
	if err := j.putSnapshot(next); err != nil {
		return err
	}
	j.number = next
	if old != nil {
		_ = old.Close() // all of it was synced
	}
	return j.clean()
}

func (j *Journal) putSnapshot(number uint64) error {
	name := fileName(snapPrefix, number)
	data, err := appendBatch(nil, 1, record{Snapshot: &j.base})
	if err != nil {
		return j.breakWith("encode "+name, err)
	}
	f, err := j.Disk.Create(name + tempSuffix)
	if err != nil {
		return j.breakWith("create "+name, err)
	}
	if err := writeSync(f, data); err != nil {
		return j.breakWith("write "+name, err)
	}
	if err := f.Close(); err != nil {
		return j.breakWith("close "+name, err)
	}
	if err := j.Disk.Rename(name+tempSuffix, name); err != nil {
		return j.breakWith("rename "+name, err)
	}
	if err := j.Disk.SyncDir(); err != nil {
		return j.breakWith("sync names", err)
	}
	return nil
}

// clean removes what the newest snapshot replaces.
func (j *Journal) clean() error {
	names, err := j.Disk.List()
	if err != nil {
		return j.breakWith("list", err)
	}
	for _, name := range names {
		old := isOurs(name) && numberOf(name) < j.number
		if !old && !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := j.Disk.Remove(name); err != nil {
			return j.breakWith("remove "+name, err)
		}
	}
	return nil
}

func (j *Journal) createLog(number uint64) error {
	name := fileName(logPrefix, number)
	f, err := j.Disk.Create(name)
	if err != nil {
		return j.breakWith("create "+name, err)
	}
	if err := j.Disk.SyncDir(); err != nil {
		return j.breakWith("sync names", err)
	}
	j.file = f
	j.batch = 0
	return nil
}

// write makes the records durable as one batch.
func (j *Journal) write(records ...record) error {
	j.batch++
	buf, err := appendBatch(nil, j.batch, records...)
	if err != nil {
		return j.breakWith("encode", err)
	}
	if err := writeSync(j.file, buf); err != nil {
		return j.breakWith("write the log", err)
	}
	return nil
}

func (j *Journal) breakWith(op string, err error) error {
	j.broken = &DiskError{Op: op, Err: err}
	return j.broken
}

func writeSync(f File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}

func isOurs(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapPrefix)
}

func fileName(prefix string, number uint64) string {
	return fmt.Sprintf("%s%016d", prefix, number)
}
