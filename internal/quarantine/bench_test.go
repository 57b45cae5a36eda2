package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

// Measures the leader's work for one report with a full store: if nothing is new, and if a router
// reports 40 terminations, as when all targets of a large fleet terminate.
func BenchmarkRenewal(b *testing.B) {
	now := time.Unix(1e9, 0)
	var store quarantine.EntryStore
	for i := range 1024 {
		store.Put([]quarantine.Entry{{Fingerprint: quarantine.Fingerprint(fmt.Sprint("held", i)), Account: "a", TerminatedTargets: []quarantine.TerminatedTarget{
			{Target: fleet.Incarnation{ID: "x"}, At: now}, {Target: fleet.Incarnation{ID: "y"}, At: now},
		}}})
	}
	coordinator := quarantine.Coordinator{}
	coordinator.Load(now, store.Entries())
	b.Run("nothing new", func(b *testing.B) {
		report := quarantine.Report{KnownRevision: store.Revision()}
		for b.Loop() {
			coordinator.HandleReport(now, "r1", report)
			coordinator.UpdateFor(now, report, &store)
		}
	})
	b.Run("40 terminations", func(b *testing.B) {
		round := 0
		for b.Loop() {
			report := quarantine.Report{KnownRevision: store.Revision()}
			for i := range 40 {
				report.Terminations = append(report.Terminations, quarantine.Termination{Fingerprint: quarantine.Fingerprint(fmt.Sprint(round, "-", i)), Account: "a", Target: fleet.Incarnation{ID: fmt.Sprint(round)}})
			}
			round++
			coordinator.HandleReport(now, "r1", report)
			coordinator.UpdateFor(now, report, &store)
		}
	})
}

// Measures the check before each attempt in a router with nearly the most observations that it
// keeps.
func BenchmarkCheck(b *testing.B) {
	now := time.Unix(1e9, 0)
	guard := quarantine.Guard{Owner: "r1"}
	for i := range 4000 {
		guard.RecordInterruption(now, quarantine.Execution{Fingerprint: quarantine.Fingerprint(fmt.Sprint(i)), Target: fleet.Incarnation{ID: "a"}})
	}
	for b.Loop() {
		guard.Check(now, "another")
	}
}

// Measures the cost of remembering a part that has run, with more parts than are remembered.
func BenchmarkCompletedPart(b *testing.B) {
	parts := make([]quarantine.Fingerprint, 10000)
	for i := range parts {
		parts[i] = quarantine.PartFingerprint("pool", uint64(i)<<32)
	}
	var guard quarantine.Guard
	now := time.Unix(1e9, 0)
	for i := 0; b.Loop(); i++ {
		guard.RecordCompletion(now.Add(time.Duration(i)), parts[i%len(parts)])
	}
}

// Measures the decision about a request with two parts while another part is restricted.
func BenchmarkDecideByParts(b *testing.B) {
	var guard quarantine.Guard
	now := time.Unix(1e9, 0)
	guard.ApplyUpdate(now, now, 1, quarantine.RestrictionUpdate{Revision: 1, Complete: true, Restrictions: []quarantine.Restriction{{Fingerprint: "part/p/1", TerminationCount: 3, NextRunIn: time.Minute}}})
	suspects := []quarantine.Fingerprint{"request", "part/p/2", "part/p/3"}
	for b.Loop() {
		guard.Decide(now, suspects)
	}
}
