package prefixindex

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ChangesPerSecond is how many changes a leader passes on in a second: 4.4 KB, or 5.9 KB in a
	// message, of the 29 KB a second for all control of a router.
	ChangesPerSecond = 400
	// logPeriod is how long the leader collects changes before it selects the most valuable ones.
	logPeriod = 50 * time.Millisecond
	// maxLogChanges is how many changes a leader keeps at least.
	maxLogChanges = 4096
	// maxWaitingChanges bounds the changes of one period.
	maxWaitingChanges = 2048
	// maxBurst is how many changes are passed on at once after a pause.
	maxBurst = ChangesPerSecond / 4
	// maxUpdate bounds the changes in one response: a burst, and what is passed on in the longest time
	// between two responses.
	maxUpdate = maxBurst + ChangesPerSecond/2
	// maxReaders bounds the routers whose updates are counted.
	maxReaders = 8192
)

// A Log is the leader's record of the changes that routers have told of late. It is not replicated:
// a new leader starts with an empty one, and what is lost is learned anew. Methods take times that
// never decrease.
type Log struct {
	data    []byte // encoded changes
	next    uint64 // sequence number after the last change in data
	waiting []Change
	toldAt  map[pair]time.Time // when a pair was last passed on as kept
	credit  float64            // changes that may be passed on now
	flushed time.Time
	dropped uint64
	readers map[string]reader // by router
}

// A reader is a router that gets changes.
type reader struct {
	credit float64 // changes that it may get now
	at     time.Time
}

// Record adds changes that a router has told. Malformed data are ignored; the error says so.
func (l *Log) Record(now time.Time, data []byte) error {
	changes, err := Decode(data)
	if err != nil {
		return err
	}
	for _, c := range changes {
		if len(l.waiting) >= maxWaitingChanges {
			l.dropped++
			continue
		}
		l.waiting = append(l.waiting, c)
	}
	l.flush(now)
	return nil
}

// Since returns the changes after a sequence number, encoded, and the sequence number to ask for next.
// A router that keeps up gets all of them. One that is behind, has just started or comes from another
// leader gets the newest ones, within the same budget.
func (l *Log) Since(now time.Time, router string, seq uint64) (data []byte, next uint64) {
	l.flush(now)
	first := l.next - uint64(len(l.data)/EntrySize)
	if seq < first || seq > l.next {
		seq = first
	}
	count := min(l.next-seq, l.creditFor(now, router))
	l.spend(router, count)
	return l.data[uint64(len(l.data))-count*EntrySize:], l.next
}

// creditFor returns how many changes a router may get now.
func (l *Log) creditFor(now time.Time, router string) uint64 {
	r, known := l.readers[router]
	if !known {
		if l.readers == nil || len(l.readers) >= maxReaders {
			l.readers = make(map[string]reader)
		}
		r.credit = maxBurst
	} else {
		r.credit = min(r.credit+ChangesPerSecond*now.Sub(r.at).Seconds(), maxUpdate)
	}
	r.at = now
	l.readers[router] = r
	return uint64(r.credit)
}

func (l *Log) spend(router string, count uint64) {
	r := l.readers[router]
	r.credit -= float64(count)
	l.readers[router] = r
}

// Dropped returns how many changes were not passed on for lack of room.
func (l *Log) Dropped() uint64 {
	return l.dropped
}

// flush passes on the most valuable of the collected changes.
func (l *Log) flush(now time.Time) {
	elapsed := now.Sub(l.flushed)
	if elapsed < logPeriod {
		return
	}
	l.flushed = now
	l.credit = min(l.credit+ChangesPerSecond*elapsed.Seconds(), maxBurst)
	l.waiting = slices.DeleteFunc(l.waiting, func(c Change) bool { return !l.isNews(now, c) })
	slices.SortStableFunc(l.waiting, l.compareValue)
	count := min(int(l.credit), len(l.waiting))
	for _, c := range l.waiting[:count] {
		if l.isNews(now, c) { // it may be there twice
			l.append(now, c)
		}
	}
	l.dropped += uint64(len(l.waiting) - count)
	l.waiting = l.waiting[:0]
}

// compareValue puts parts that are gone first, then new ones, then the largest.
func (l *Log) compareValue(a, b Change) int {
	return cmp.Or(cmp.Compare(l.rank(a), l.rank(b)), cmp.Compare(b.Tokens, a.Tokens))
}

func (l *Log) rank(c Change) int {
	if c.Tokens == 0 {
		return 0
	}
	if _, told := l.toldAt[pair{c.Key, c.Tag}]; !told {
		return 1
	}
	return 2
}

// isNews reports whether routers do not know of a change yet.
func (l *Log) isNews(now time.Time, c Change) bool {
	toldAt, told := l.toldAt[pair{c.Key, c.Tag}]
	if c.Tokens == 0 {
		return told
	}
	return !told || now.Sub(toldAt) >= refreshWindow/2
}

func (l *Log) append(now time.Time, c Change) {
	l.credit--
	id := pair{c.Key, c.Tag}
	if c.Tokens == 0 {
		delete(l.toldAt, id)
	} else {
		if l.toldAt == nil || len(l.toldAt) >= 2*maxLogChanges {
			l.toldAt = make(map[pair]time.Time)
		}
		l.toldAt[id] = now
	}
	l.data = append(l.data, Encode([]Change{c})...)
	l.next++
	if len(l.data) >= 2*maxLogChanges*EntrySize {
		l.data = append([]byte(nil), l.data[len(l.data)-maxLogChanges*EntrySize:]...)
	}
}
