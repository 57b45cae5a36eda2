package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/standin"
)

// crashingBody is the body of requests that end their target in these tests.
const crashingBody = "guilty"

// fingerprintOf returns the fingerprint of a POST request without an API key.
func fingerprintOf(path, body string) quarantine.Fingerprint {
	return quarantine.FingerprintInput{Method: http.MethodPost, Destination: "h.example" + path, Body: []byte(body)}.Fingerprint()
}

// applyRestrictions applies a restriction update of the leader to the gateway.
func (bed *testbed) applyRestrictions(revision uint64, list ...quarantine.Restriction) {
	now := bed.gateway.Clock.Now()
	bed.gateway.ApplyRestrictions(now, now, 1, quarantine.RestrictionUpdate{Revision: revision, Restrictions: list})
}

// crashTargets makes targets end, without a restart, when they begin to run a request with
// crashingBody. It returns the number of ended targets.
func (bed *testbed) crashTargets() *atomic.Int64 {
	terminationCount := &atomic.Int64{}
	bed.site.Fault = func(target *standin.PlatformTarget, _ http.ResponseWriter, r *http.Request) bool {
		if run := target.RecordRun(r); run.Body != crashingBody {
			return false
		}
		terminationCount.Add(1)
		bed.site.Remove(target)
		panic(http.ErrAbortHandler)
	}
	return terminationCount
}

// Guards against reporting a request as not run after it has ended targets. Both attempts end their
// target, and then the request is quarantined.
func TestQuarantineAfterRunsIsNotReportedAsNotRun(t *testing.T) {
	bed := newTestbed(t)
	terminationCount := bed.crashTargets()
	resp, body, err := bed.do(http.MethodPost, "/whole/x", crashingBody)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, body)
	require.EqualValues(t, 2, terminationCount.Load())
	require.Eventually(t, func() bool { return len(bed.gateway.QuarantineReport(bed.gateway.Clock.Now()).Terminations) == 2 }, 5*time.Second, 5*time.Millisecond,
		"both terminations are reported")
	for _, termination := range bed.gateway.QuarantineReport(bed.gateway.Clock.Now()).Terminations {
		require.Equal(t, fingerprintOf("/whole/x", crashingBody), termination.Fingerprint)
		require.Equal(t, "whole", termination.Destination)
	}
	startedAt := time.Now()
	resp, body, err = bed.do(http.MethodPost, "/whole/x", crashingBody)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, body)
	require.Contains(t, body, string(fleet.KindQuarantined))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Less(t, time.Since(startedAt), 2*time.Second, "the request is refused soon although no leader answers")
	require.EqualValues(t, 2, terminationCount.Load())
}

// Guards against reporting a request as not run after it has ended a target. The request is
// quarantined during its first attempt, and its second attempt is therefore refused.
func TestQuarantineDuringRunIsNotReportedAsNotRun(t *testing.T) {
	bed := newTestbed(t)
	bed.site.Fault = func(target *standin.PlatformTarget, _ http.ResponseWriter, r *http.Request) bool {
		target.RecordRun(r)
		bed.applyRestrictions(1, quarantine.Restriction{Fingerprint: fingerprintOf("/whole/x", crashingBody), TerminationCount: 3, NextRunIn: time.Minute})
		bed.site.Remove(target)
		panic(http.ErrAbortHandler)
	}
	resp, body, err := bed.do(http.MethodPost, "/whole/x", crashingBody)
	require.NoError(t, err)
	require.Len(t, bed.runs(), 1, "there is no second attempt")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, body)
}

func TestRefusesQuarantinedRequest(t *testing.T) {
	bed := newTestbed(t)
	restriction := quarantine.Restriction{Fingerprint: fingerprintOf("/once/x", "mine"), TerminationCount: 3, NextRunIn: 7 * time.Second}
	bed.applyRestrictions(1, restriction)
	resp, body, err := bed.do(http.MethodPost, "/once/x", "mine")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, body)
	require.Regexp(t, `^[67]\.\d+$`, resp.Header.Get("Retry-After"), "time until a trial run is allowed")
	resp, _, err = bed.do(http.MethodPost, "/once/x", "another")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "only requests with this fingerprint are quarantined")
	require.Len(t, bed.runs(), 1)
}

// Guards against a request that stays quarantined although it did not cause the terminations. Only
// a complete response clears it, so the leader grants a permit for a trial run while the caller
// waits.
func TestPermitClearsQuarantinedRequest(t *testing.T) {
	bed := newTestbed(t)
	fingerprint := fingerprintOf("/once/x", "mine")
	bed.gateway.Guard.Owner = "r1/1"
	restriction := quarantine.Restriction{Fingerprint: fingerprint, TerminationCount: 3}
	bed.applyRestrictions(1, restriction)
	status := make(chan int, 1)
	go func() {
		resp, err := bed.client.Do(bed.newRequest(t.Context(), http.MethodPost, "/once/x", "mine"))
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close() // only the status matters
		status <- resp.StatusCode
	}()
	require.Eventually(t, func() bool { return len(bed.gateway.QuarantineReport(bed.gateway.Clock.Now()).PermitRequests) == 1 }, 5*time.Second, time.Millisecond)
	restriction.PermitHolder, restriction.PermitExpiresIn, restriction.PermitID, restriction.PermitTarget = "r1/1", 20*time.Second, 1, bed.targets[1].ID
	bed.applyRestrictions(2, restriction)
	require.Equal(t, http.StatusOK, <-status)
	require.Len(t, bed.targets[1].Runs(), 1, "the trial run goes to the target of the permit")
	require.Empty(t, bed.targets[0].Runs())
	report := bed.gateway.QuarantineReport(bed.gateway.Clock.Now())
	require.Empty(t, report.PermitRequests)
	require.Len(t, report.Completions, 1)
	require.Equal(t, fingerprint, report.Completions[0].Fingerprint)
}

// Guards against suspecting harmless requests because a target closes connections but keeps
// running.
func TestInterruptionWithoutTerminationIsNotReported(t *testing.T) {
	bed := newTestbed(t)
	bed.site.Fault = func(target *standin.PlatformTarget, _ http.ResponseWriter, r *http.Request) bool {
		if run := target.RecordRun(r); run.Body != "cut" {
			return false
		}
		panic(http.ErrAbortHandler)
	}
	for range 3 {
		resp, _, err := bed.do(http.MethodPost, "/once/x", "cut")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		require.Eventually(t, func() bool { return bed.gateway.UnconfirmedTargetCount() == 0 }, 5*time.Second, 5*time.Millisecond, "the probe finds the target running")
	}
	require.Empty(t, bed.gateway.QuarantineReport(bed.gateway.Clock.Now()).Terminations)
}

// Guards against permits for targets that this router has failed to reach: the leader may not know
// yet that they have ended.
func TestReportsUnreachableTargetsWithPermitRequest(t *testing.T) {
	bed := newTestbed(t)
	bed.targets = bed.targets[:2]
	bed.applyTargets()
	bed.site.Remove(bed.targets[0]) // the router's list still has it
	for range 50 {
		resp, _, err := bed.do(http.MethodGet, "/whole/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	now := time.Now()
	require.Empty(t, bed.gateway.QuarantineReport(now).Unreachable, "needed only for permits")
	bed.gateway.Guard.RequestPermit("fingerprint")
	require.Equal(t, []string{bed.targets[0].ID}, bed.gateway.QuarantineReport(now).Unreachable)
	require.Empty(t, bed.gateway.QuarantineReport(now.Add(time.Minute)).Unreachable, "it may have restarted")
}
