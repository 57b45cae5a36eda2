package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

// What a leader does at each renewal of a router, with a full book, where nothing is new; and
// what it does for a router that tells of forty ends, as when all targets of a large fleet end.
func BenchmarkRenewal(b *testing.B) {
	now := time.Unix(1e9, 0)
	var book quarantine.EntryStore
	for i := range 1024 {
		book.Put([]quarantine.Entry{{Fingerprint: quarantine.Fingerprint(fmt.Sprint("held", i)), Account: "a", TerminatedTargets: []quarantine.TerminatedTarget{
			{Target: fleet.Incarnation{ID: "x"}, At: now}, {Target: fleet.Incarnation{ID: "y"}, At: now},
		}}})
	}
	r := quarantine.Coordinator{}
	r.Load(now, book.Entries())
	b.Run("nothing new", func(b *testing.B) {
		m := quarantine.Report{KnownRevision: book.Revision()}
		for b.Loop() {
			r.HandleReport(now, "r1", m)
			r.UpdateFor(now, m, &book)
		}
	})
	b.Run("40 ends", func(b *testing.B) {
		n := 0
		for b.Loop() {
			m := quarantine.Report{KnownRevision: book.Revision()}
			for i := range 40 {
				m.Terminations = append(m.Terminations, quarantine.Termination{Fingerprint: quarantine.Fingerprint(fmt.Sprint(n, "-", i)), Account: "a", Target: fleet.Incarnation{ID: fmt.Sprint(n)}})
			}
			n++
			r.HandleReport(now, "r1", m)
			r.UpdateFor(now, m, &book)
		}
	})
}

// What a router asks before each attempt while it remembers as many ends as it may.
func BenchmarkCheck(b *testing.B) {
	now := time.Unix(1e9, 0)
	g := quarantine.Guard{Owner: "r1"}
	for i := range 4000 {
		g.RecordInterruption(now, quarantine.Execution{Fingerprint: quarantine.Fingerprint(fmt.Sprint(i)), Target: fleet.Incarnation{ID: "a"}})
	}
	for b.Loop() {
		g.Check(now, "another")
	}
}
