package journal

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/quorum"
)

// promise is what a Journal has acknowledged.
type promise struct {
	id      Identity
	state   quorum.State
	base    quorum.Snapshot
	entries []quorum.Entry
}

// script writes a fixed history and returns what was acknowledged before the
// first error.
func script(j *Journal) (promise, error) {
	var p promise
	id := Identity{Name: "k1", ID: "k1-x", Founded: true}
	if err := j.SetIdentity(id); err != nil {
		return p, err
	}
	p.id = id
	for i := uint64(1); i <= 30; i++ {
		out := quorum.Output{SaveState: i%5 == 1, State: quorum.State{Term: i}}
		out.Append = []quorum.Entry{entry(i)}
		switch i {
		case 10, 20:
			snap := quorum.Snapshot{Index: i - 2, Term: 1, Data: json.RawMessage(fmt.Sprintf(`"at %d"`, i-2))}
			out.Snapshot = &snap
			out.Append = []quorum.Entry{entry(i - 1), entry(i)}
		case 15:
			out.Append = []quorum.Entry{rewritten(13), rewritten(14), rewritten(15)}
		}
		if err := j.Write(out); err != nil {
			return p, err
		}
		p.note(out)
	}
	return p, nil
}

func (p *promise) note(out quorum.Output) {
	if out.SaveState {
		p.state = out.State
	}
	if out.Snapshot != nil {
		p.base = *out.Snapshot
		p.entries = nil
	}
	place := out.Append[0].Index - p.base.Index - 1
	p.entries = append(p.entries[:place:place], out.Append...)
}

func entry(i uint64) quorum.Entry {
	return quorum.Entry{Index: i, Term: 1, Kind: quorum.EntryData, Data: json.RawMessage(fmt.Sprintf(`"%s %d"`, strings.Repeat("x", 60), i))}
}

func rewritten(i uint64) quorum.Entry {
	e := entry(i)
	e.Term = 9
	return e
}

// requireKept checks that all of p is there. More may be: what was written but
// not acknowledged may last or not.
func requireKept(t require.TestingT, p promise, j *Journal) {
	state, base, entries := j.Recovered()
	require.Equal(t, p.id, j.Identity())
	require.GreaterOrEqual(t, state.Term, p.state.Term)
	require.GreaterOrEqual(t, base.Index, p.base.Index)
	have := make(map[uint64]quorum.Entry)
	for _, e := range entries {
		have[e.Index] = e
	}
	for _, e := range p.entries {
		if e.Index <= base.Index || entries[len(entries)-1].Term > e.Term {
			continue // stands in the snapshot, or was being rewritten
		}
		require.Equal(t, e, have[e.Index])
	}
}

func TestReopenFindsAll(t *testing.T) {
	disk := &MockDisk{}
	j := &Journal{Disk: disk}
	used, err := j.Open()
	require.NoError(t, err)
	require.False(t, used)
	p, err := script(j)
	require.NoError(t, err)
	again := &Journal{Disk: disk}
	used, err = again.Open()
	require.NoError(t, err)
	require.True(t, used)
	state, base, entries := again.Recovered()
	require.Equal(t, p.state, state)
	require.Equal(t, p.base, base)
	require.Equal(t, p.entries, entries)
}

// Symptom: a keeper forgets an entry, a vote or a snapshot that it promised.
// Sequence: the machine crashes at any one write, rename or sync, and what was
// not synced is lost in part, with holes.
// Cause: something is acknowledged, or its predecessor removed, before it is
// durable.
func TestCrashAtEveryOperationKeepsPromises(t *testing.T) {
	whole := &MockDisk{}
	_, err := script(&Journal{Disk: whole})
	require.NoError(t, err)
	require.Greater(t, whole.Ops, 60)
	for at := 1; at <= whole.Ops; at++ {
		for seed := range uint64(20) {
			disk := &MockDisk{Seed: seed, FailFromOp: at, Fault: ErrCrash}
			p, err := script(&Journal{Disk: disk})
			require.Error(t, err)
			disk.Crash()
			again := &Journal{Disk: disk}
			_, err = again.Open()
			require.NoError(t, err, "crash at %d, seed %d", at, seed)
			if p.id.ID != "" {
				requireKept(t, p, again)
			}
			require.NoError(t, again.SetIdentity(Identity{ID: "k1-x"}), "the journal goes on")
		}
	}
}

// Symptom: a keeper goes on after losing what it promised, and a quorum
// forgets it.
// Sequence: one bit of a synced file flips; the keeper restarts.
// Cause: the damage is taken for a torn write and cut off.
func TestAnyFlippedBitIsRefused(t *testing.T) {
	base := &MockDisk{}
	_, err := script(&Journal{Disk: base})
	require.NoError(t, err)
	names, err := base.List()
	require.NoError(t, err)
	for _, name := range names {
		data, err := base.Read(name)
		require.NoError(t, err)
		for offset := range data {
			disk := &MockDisk{}
			p, err := script(&Journal{Disk: disk})
			require.NoError(t, err)
			disk.FlipBit(name, offset, uint(offset%8))
			again := &Journal{Disk: disk}
			_, err = again.Open()
			var damage *CorruptionError
			require.ErrorAs(t, err, &damage, "%s byte %d of %d: %v", name, offset, len(data), p.state)
		}
	}
}

func TestFullDiskAndFailedSyncBreakTheJournal(t *testing.T) {
	for _, fault := range []error{ErrDiskFull, ErrSyncFailed} {
		disk := &MockDisk{}
		j := &Journal{Disk: disk}
		require.NoError(t, j.SetIdentity(Identity{ID: "k1-x"}))
		disk.FailFromOp, disk.Fault = disk.Ops+1, fault
		out := quorum.Output{Append: []quorum.Entry{entry(1)}}
		err := j.Write(out)
		var diskErr *DiskError
		require.ErrorAs(t, err, &diskErr)
		require.ErrorIs(t, err, fault)
		disk.FailFromOp = 0
		require.ErrorIs(t, j.Write(out), fault, "a failed sync is never tried again on the same pages")
	}
}

func TestTornTailOfAnyLengthIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := &MockDisk{Seed: rapid.Uint64().Draw(t, "seed")}
		j := &Journal{Disk: disk}
		require.NoError(t, j.SetIdentity(Identity{Name: "k1", ID: "k1-x"}))
		kept := rapid.IntRange(1, 5).Draw(t, "kept")
		for i := range kept {
			require.NoError(t, j.Write(quorum.Output{Append: []quorum.Entry{entry(uint64(i + 1))}}))
		}
		var lost []quorum.Entry
		for i := range rapid.IntRange(1, 40).Draw(t, "lost") {
			lost = append(lost, entry(uint64(kept+i+1)))
		}
		disk.FailFromOp, disk.Fault = disk.Ops+2, ErrCrash // the sync
		require.Error(t, j.Write(quorum.Output{Append: lost}))
		disk.Crash()
		again := &Journal{Disk: disk}
		_, err := again.Open()
		require.NoError(t, err)
		_, _, entries := again.Recovered()
		require.GreaterOrEqual(t, len(entries), kept)
		// A second crash, after the cut, must be told from rot too.
		disk.FailFromOp, disk.Fault = disk.Ops+2, ErrCrash
		next := uint64(len(entries) + 1)
		require.Error(t, again.Write(quorum.Output{Append: []quorum.Entry{entry(next), entry(next + 1)}}))
		disk.Crash()
		third := &Journal{Disk: disk}
		_, err = third.Open()
		require.NoError(t, err)
	})
}

func FuzzRecord(f *testing.F) {
	good, err := appendBatch(nil, 1, record{State: &quorum.State{Term: 3, Vote: "k2"}})
	require.NoError(f, err)
	f.Add(good)
	f.Add(good[:7])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, _, size, ok := decodeRecord(data)
		if !ok {
			torn(data, 0, batchMark{last: true})
			return
		}
		again, err := appendBatch(nil, 1, r)
		require.NoError(t, err)
		_, _, _, ok = decodeRecord(again)
		require.True(t, ok)
		require.LessOrEqual(t, size, len(data))
	})
}

// Symptom: a keeper forgets its votes and entries, and starts as one that never was.
// Sequence: its log holds whole batches, but not the one that says whose it is.
// Cause: a log without an identity was always taken for one whose first batch a crash cut.
func TestALogThatNamesNobodyIsDamage(t *testing.T) {
	for name, r := range map[string]record{
		"entry": {Entry: &quorum.Entry{Index: 1, Term: 3}},
		"state": {State: &quorum.State{Term: 3, Vote: "k2"}},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := appendBatch(nil, 1, r)
			require.NoError(t, err)
			disk := &MockDisk{}
			file, err := disk.Create(logPrefix + "1")
			require.NoError(t, err)
			_, err = file.Write(data)
			require.NoError(t, err)
			j := &Journal{Disk: disk}
			_, err = j.Open()
			var damage *CorruptionError
			require.ErrorAs(t, err, &damage)
			names, err := disk.List()
			require.NoError(t, err)
			require.Equal(t, []string{logPrefix + "1"}, names, "what it holds may have been promised")
		})
	}
}

// Whatever stands in place of the log: the folder is refused as damaged, or opens, and
// then opens again with the same entries and takes new ones.
func FuzzOpen(f *testing.F) {
	good, err := appendBatch(nil, 1, record{Identity: &Identity{Name: "k1", ID: "i"}}, record{State: &quorum.State{Term: 3, Vote: "k2"}})
	require.NoError(f, err)
	good, err = appendBatch(good, 2, record{Entry: &quorum.Entry{Index: 1, Term: 3}})
	require.NoError(f, err)
	gap, err := appendBatch(good, 3, record{Entry: &quorum.Entry{Index: 9, Term: 3}})
	require.NoError(f, err)
	f.Add(good)
	f.Add(good[:len(good)-5])
	f.Add(append(append([]byte(nil), good...), make([]byte, sectorSize)...))
	f.Add(gap)
	f.Add([]byte("no log at all"))
	f.Fuzz(func(t *testing.T, data []byte) {
		disk := &MockDisk{}
		file, err := disk.Create(logPrefix + "1")
		require.NoError(t, err)
		_, err = file.Write(data)
		require.NoError(t, err)
		require.NoError(t, file.Sync())
		require.NoError(t, disk.SyncDir())
		first := &Journal{Disk: disk}
		if _, err := first.Open(); err != nil {
			var damage *CorruptionError
			require.ErrorAs(t, err, &damage)
			return
		}
		again := &Journal{Disk: disk}
		_, err = again.Open()
		require.NoError(t, err)
		require.Equal(t, first.entries, again.entries)
		require.Equal(t, first.state, again.state)
	})
}
