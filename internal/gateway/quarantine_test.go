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

// guilty is the body of a request that ends targets in these tests.
const guilty = "guilty"

// print is the fingerprint of the body sent by POST to a path, without a key.
func printOf(path, body string) quarantine.Fingerprint {
	return quarantine.FingerprintInput{Method: http.MethodPost, Destination: "h.example" + path, Body: []byte(body)}.Fingerprint()
}

// rule has the leader tell the gateway of some requests.
func (b *bed) rule(revision uint64, list ...quarantine.Restriction) {
	now := b.gateway.Clock.Now()
	b.gateway.ApplyRestrictions(now, now, 1, quarantine.RestrictionUpdate{Revision: revision, Restrictions: list})
}

// ending has targets end as soon as they begin a request, for good.
func (b *bed) ending() *atomic.Int64 {
	ends := &atomic.Int64{}
	b.site.Fault = func(s *standin.SiteTarget, _ http.ResponseWriter, r *http.Request) bool {
		if run := s.Ran(r); run.Body != guilty {
			return false
		}
		ends.Add(1)
		b.site.Remove(s)
		panic(http.ErrAbortHandler)
	}
	return ends
}

// Symptom: a caller told "not run" finds that its request ended two targets.
// Sequence: both attempts of a request end their targets; it is held back then.
// Cause: what is held back is refused as not run, whatever became of it before.
func TestARequestThatEndedTargetsIsNotToldUnrun(t *testing.T) {
	b := newBed(t)
	ends := b.ending()
	resp, text, err := b.do(http.MethodPost, "/whole/x", guilty)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, text)
	require.EqualValues(t, 2, ends.Load())
	require.Eventually(t, func() bool { return len(b.gateway.QuarantineReport(b.gateway.Clock.Now()).Terminations) == 2 }, 5*time.Second, 5*time.Millisecond,
		"the leader is told of both")
	for _, e := range b.gateway.QuarantineReport(b.gateway.Clock.Now()).Terminations {
		require.Equal(t, printOf("/whole/x", guilty), e.Fingerprint)
		require.Equal(t, "whole", e.Destination)
	}
	began := time.Now()
	resp, text, err = b.do(http.MethodPost, "/whole/x", guilty)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, text)
	require.Contains(t, text, string(fleet.KindQuarantined))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Less(t, time.Since(began), 2*time.Second, "nobody has its word: it is told soon")
	require.EqualValues(t, 2, ends.Load())
}

// Symptom: a caller told "not run" finds that its request ended a target.
// Sequence: while its first attempt runs, others' ends have it held back; the target ends, and
// the second attempt is not made.
// Cause: as before. There the second attempt was the last anyway.
func TestARequestThatRanAndIsThenHeldIsNotToldUnrun(t *testing.T) {
	b := newBed(t)
	b.site.Fault = func(s *standin.SiteTarget, _ http.ResponseWriter, r *http.Request) bool {
		s.Ran(r)
		b.rule(1, quarantine.Restriction{Fingerprint: printOf("/whole/x", guilty), TerminationCount: 3, NextRunIn: time.Minute})
		b.site.Remove(s)
		panic(http.ErrAbortHandler)
	}
	resp, text, err := b.do(http.MethodPost, "/whole/x", guilty)
	require.NoError(t, err)
	require.Len(t, b.runs(), 1, "it is held back")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, text)
}

func TestWhatIsHeldBackIsRefusedAtOnce(t *testing.T) {
	b := newBed(t)
	held := quarantine.Restriction{Fingerprint: printOf("/once/x", "mine"), TerminationCount: 3, NextRunIn: 7 * time.Second}
	b.rule(1, held)
	resp, text, err := b.do(http.MethodPost, "/once/x", "mine")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, text)
	require.Regexp(t, `^[67]\.\d+$`, resp.Header.Get("Retry-After"), "when a trial may be")
	resp, _, err = b.do(http.MethodPost, "/once/x", "another")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "only what is alike is held back")
	require.Len(t, b.runs(), 1)
}

// Symptom: a request that was only there when targets ended never gets an answer.
// Sequence: it is held back; a trial is due; the leader grants it while the caller waits.
// Cause: nothing but a whole answer clears a request, and what is held back gets none.
func TestATrialClearsARequest(t *testing.T) {
	b := newBed(t)
	p := printOf("/once/x", "mine")
	b.gateway.Guard.Owner = "r1/1"
	held := quarantine.Restriction{Fingerprint: p, TerminationCount: 3}
	b.rule(1, held)
	done := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(b.request(t.Context(), http.MethodPost, "/once/x", "mine"))
		if err != nil {
			done <- 0
			return
		}
		_ = resp.Body.Close() // only the status counts
		done <- resp.StatusCode
	}()
	require.Eventually(t, func() bool { return len(b.gateway.QuarantineReport(b.gateway.Clock.Now()).PermitRequests) == 1 }, 5*time.Second, time.Millisecond)
	held.PermitHolder, held.PermitExpiresIn, held.PermitID, held.PermitTarget = "r1/1", 20*time.Second, 1, b.targets[1].ID
	b.rule(2, held)
	require.Equal(t, http.StatusOK, <-done)
	require.Len(t, b.targets[1].Runs(), 1, "where the leader said")
	require.Empty(t, b.targets[0].Runs())
	report := b.gateway.QuarantineReport(b.gateway.Clock.Now())
	require.Empty(t, report.PermitRequests)
	require.Len(t, report.Completions, 1)
	require.Equal(t, p, report.Completions[0].Fingerprint)
}

// Symptom: sound requests are suspected when targets close connections.
// Sequence: a target breaks off an answer and lives on.
// Cause: a closed connection was taken for an end.
func TestACutConnectionIsNoEnd(t *testing.T) {
	b := newBed(t)
	b.site.Fault = func(s *standin.SiteTarget, _ http.ResponseWriter, r *http.Request) bool {
		if run := s.Ran(r); run.Body != "cut" {
			return false
		}
		panic(http.ErrAbortHandler)
	}
	for range 3 {
		resp, _, err := b.do(http.MethodPost, "/once/x", "cut")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		require.Eventually(t, func() bool { return b.gateway.Guarded() == 0 }, 5*time.Second, 5*time.Millisecond, "they are found alive")
	}
	require.Empty(t, b.gateway.QuarantineReport(b.gateway.Clock.Now()).Terminations)
}
