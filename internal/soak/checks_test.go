package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// TestDetectsForbiddenOutcomes guards against a checker that misses violations: a check that never
// fails proves nothing. It also covers outcomes that faults and stalls allow.
func TestDetectsForbiddenOutcomes(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	h := newHistory()
	h.recordStop(0, span{at(10), at(16)})
	h.recordCutSpan(0, span{at(30), at(31)})
	h.recordCutSpan(anyRouter, span{at(40), at(41)})
	h.recordRouterPause(0, span{at(80), at(95)})
	h.revocationSentAt, h.revokedAt = at(49), at(50)
	h.ownStalls = []span{{at(60), at(63)}, {at(70), at(70.8)}}
	for _, tt := range []struct {
		name         string
		sent, ended  float64
		router       int
		path, key    string
		status, runs int
		gaveUp       bool
		violation    string
	}{
		{name: "whole", sent: 1, ended: 2, status: 200, runs: 1},
		{name: "cut without a fault", sent: 1, ended: 2, violation: "cut without a fault"},
		{name: "twice", sent: 1, ended: 2, status: 200, runs: 2, violation: "at most once"},
		{name: "ran twice, idempotent", sent: 1, ended: 2, path: "/keyed/x", status: 200, runs: 2},
		{name: "ran despite status 503", sent: 1, ended: 2, status: 503, runs: 1, violation: "was not executed"},
		{name: "ended too late", sent: 1, ended: 8, violation: "did not end by its deadline"},
		{name: "cut early in a graceful shutdown", sent: 10.5, ended: 11, violation: "graceful shutdown"},
		{name: "cut in the shutdown of another router", sent: 10.5, ended: 11, router: 1, violation: "cut without a fault"},
		{name: "sent while the connection closed", sent: 14, ended: 14.1},
		{name: "cut late in a graceful shutdown, but forwarded", sent: 14, ended: 15, runs: 1, violation: "graceful shutdown"},
		{name: "cut at the end of the grace period", sent: 12.9, ended: 15.9, runs: 1},
		{name: "cut by a kill", sent: 29, ended: 30.1, runs: 1},
		{name: "cut in the kill of another router", sent: 29, ended: 30.1, router: 1, violation: "cut without a fault"},
		{name: "cut by a fault of a target", sent: 39, ended: 40.5, router: 1},
		{name: "refused with a valid key", sent: 45, ended: 46, status: 401, violation: "its key is valid"},
		{name: "refused with a revoked key", sent: 49, ended: 49.5, key: guestKey, status: 401},
		{name: "ran with a revoked key", sent: 56, ended: 57, key: guestKey, status: 200, runs: 1, violation: "revoked"},
		{name: "stream with its deadline in a stall", sent: 60.2, ended: 63.1, path: streamPath, runs: 1},
		{name: "stream with its deadline in a short stall", sent: 69, ended: 71.5, path: streamPath, runs: 1, violation: "cut without a fault"},
		{name: "stream cut in a stall before its deadline", sent: 62, ended: 63.1, path: streamPath, runs: 1, violation: "cut without a fault"},
		{name: "not a stream, cut in a stall", sent: 60.2, ended: 63.1, runs: 1, violation: "cut without a fault"},
		{name: "late only because of a stall", sent: 59, ended: 67, path: streamPath, runs: 1},
		{name: "ended too late even without the stall", sent: 59, ended: 68.1, path: streamPath, runs: 1, violation: "did not end by its deadline"},
		{name: "cut after a pause", sent: 81, ended: 94, violation: "did not end by its deadline"},
		{name: "cut at the end of a pause", sent: 91, ended: 94, violation: "cut without a fault"},
		{name: "gave up in a pause", sent: 81, ended: 88, gaveUp: true},
		{name: "gave up in the pause of another router", sent: 81, ended: 88, router: 1, gaveUp: true, violation: "did not end by its deadline"},
		{name: "well-formed request refused", sent: 1, ended: 2, status: 400, violation: "well-formed"},
		{name: "existing route not found", sent: 1, ended: 2, status: 404, violation: "its route exists"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var found violations
			attempt := standin.Attempt{Path: tt.path, Key: tt.key, Router: tt.router, Sent: at(tt.sent), Ended: at(tt.ended), Status: tt.status, GaveUp: tt.gaveUp}
			h.checkAttempt(attempt, tt.runs, &found)
			if tt.violation == "" {
				require.Empty(t, found.list)
				return
			}
			require.Len(t, found.list, 1)
			require.Contains(t, found.list[0], tt.violation)
		})
	}
}

// TestDetectsRunsWithRevokedKey guards against a checker that accepts runs with the guest's key after
// the revocation limit and a caller's deadline have both passed, or that rejects earlier runs.
func TestDetectsRunsWithRevokedKey(t *testing.T) {
	h := newHistory()
	h.revokedAt = time.Now()
	for _, tt := range []struct {
		key        string
		after      time.Duration
		violations int
	}{{guestKey, 6 * time.Second, 0}, {guestKey, 8 * time.Second, 1}, {memberKey, 8 * time.Second, 0}} {
		var found violations
		h.checkRevokedKey(standin.TargetRun{At: h.revokedAt.Add(tt.after)}, tt.key, &found)
		require.Len(t, found.list, tt.violations)
	}
}

// TestDetectsRunsAtDrainedTarget guards against a checker that accepts new work at a draining target,
// or that rejects work which a pause, an outage, a link fault or an unreadable list explains. It also
// checks that the IDs of probes identify their router.
func TestDetectsRunsAtDrainedTarget(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	h, drained := newHistory(), &standin.PlatformTarget{ID: "t-0"}
	violationCount := func(seconds float64) int {
		var found violations
		h.checkDrainedTarget(drained, standin.TargetRun{At: at(seconds)}, 1, &found)
		return len(found.list)
	}
	require.Zero(t, violationCount(9), "the target is not draining")
	h.drainedAt[drained] = at(0)
	require.Zero(t, violationCount(3))
	require.Equal(t, 1, violationCount(5))
	h.recordPause(0, span{at(4.5), at(5.5)})
	require.Equal(t, 1, violationCount(5), "another router was paused")
	h.recordPause(1, span{at(4.5), at(5.5)})
	require.Equal(t, 1, violationCount(5), "its router was paused, but could ask the keepers")
	h.recordEventOutage(event{Kind: kindKeeper}, span{at(4.5), at(5.5)})
	require.Zero(t, violationCount(5), "its router was paused, and the keepers had an outage")
	h.pauses = nil
	h.linkFaults = []span{{at(4.5), at(5.5)}}
	require.Zero(t, violationCount(5), "a link fault may have delayed the request")
	h.listOutages = []span{{at(1), at(3)}}
	require.Zero(t, violationCount(6.5), "the list could not be read before")
	require.Equal(t, 1, violationCount(7.5))
	require.Equal(t, 12, probedRouter(fmt.Sprintf(probeIDFormat, 12, 7)))
	require.Equal(t, noRouter, probedRouter("c1-2"))
}

// TestDetectsRepeatedCrashRequests guards against a checker that accepts further runs of a request that
// crashes targets after its quarantine must have reached all healthy routers.
func TestDetectsRepeatedCrashRequests(t *testing.T) {
	const body = "crash-1"
	start := time.Now()
	for name, tt := range map[string]struct {
		runs     []float64 // seconds after start, each at a different target
		outage   span
		violated bool
	}{
		"few":                   {runs: []float64{0, 1, 2, 2.5, 4.9, 10, 20, 30}},
		"more":                  {runs: []float64{0, 1, 2, 5.1, 10, 20, 30}, violated: true},
		"before its quarantine": {runs: []float64{0, 0, 0, 0, 1, 1, 2, 2}},
		"during an outage":      {runs: []float64{0, 1, 2, 5.1, 10, 20, 30}, outage: span{start.Add(8 * time.Second), start.Add(9 * time.Second)}},
	} {
		t.Run(name, func(t *testing.T) {
			h, found := newHistory(), &violations{}
			if !tt.outage.start.IsZero() {
				h.recordEventOutage(event{Kind: kindKeeper}, tt.outage)
			}
			crashTimes := make(map[string][]time.Time)
			runsByBody := make(map[string][]standin.TargetRun)
			for _, seconds := range tt.runs {
				at := start.Add(time.Duration(seconds * float64(time.Second)))
				crashTimes[body] = append(crashTimes[body], at)
				runsByBody[body] = append(runsByBody[body], standin.TargetRun{At: at, RequestID: "ask-0-1", Body: body})
			}
			h.checkCrashCounts(crashTimes, runsByBody, found)
			require.Equal(t, tt.violated, len(found.list) > 0, "%v", found.list)
		})
	}
}
