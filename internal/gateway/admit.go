package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/keeperclient"
	"laburnumfall/internal/placement"
)

const (
	// singleStartTime is how long a router that starts alone is without a configuration: the
	// leader answers its first question.
	singleStartTime = 100 * time.Millisecond
	// fleetStartTime is how long after its start a router has a configuration where the whole
	// fleet has started: keepers that may have promised a leader wait out its lease before
	// another one leads.
	fleetStartTime = 1200 * time.Millisecond
	// maxStartRetryAfter bounds when a caller may come back where it takes longer still, as long
	// again as it has taken.
	maxStartRetryAfter = time.Second
	// startRetryJitter spreads callers that come back, so that they are not all there at once.
	startRetryJitter = 300 * time.Millisecond
)

// startRetryAfter returns when a caller may come back that reached a router without a
// configuration. One that starts alone has it at once, and all others serve. Otherwise the
// whole fleet has started: callers that are sent to another router before it serves are
// refused there as well, many for the last time.
func (g *Gateway) startRetryAfter(q *request) time.Duration {
	without := g.Clock.Now().Sub(g.startedAt)
	if without < singleStartTime {
		return minRetryAfter
	}
	back := max(fleetStartTime-without, min(without, maxStartRetryAfter))
	return back + time.Duration(xxhash.Sum64String(q.id)%uint64(startRetryJitter))
}

// admit finds a request's route and account.
func (g *Gateway) admit(q *request, s keeperclient.State) (refusal, bool) {
	if s.Table == nil || !g.ready.Load() {
		return refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoLease, reason: fleet.ReasonNoConfig, retryAfter: g.startRetryAfter(q)}, false
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	route, ok := s.Table.Route(q.r.Host, path)
	if !ok {
		return refusal{status: http.StatusNotFound, kind: fleet.KindEventUnavailable, reason: fleet.ReasonNoRoute}, false
	}
	q.route = route
	if refused, ok := g.checkKey(q, s); !ok {
		return refused, false
	}
	q.deadline = q.arrivedAt.Add(route.Timeout)
	if left, ok := g.Dialect.TimeLeft(q.r.Header); ok && left < route.Timeout {
		q.deadline = q.arrivedAt.Add(left)
	}
	q.pool = route.PoolFor(xxhash.Sum64String(q.id))
	if route.PrefixCached {
		var output int
		q.parts, output = g.Dialect.Prompt(q.r.Header)
		q.cost = tokenCost(q.parts, output)
	}
	return refusal{}, true
}

func tokenCost(parts []placement.PromptPart, output int) float64 {
	const generated = 2
	return float64(generated*output + totalTokens(parts))
}

func totalTokens(parts []placement.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	return tokens
}

// checkKey finds the account of a request's key. It is asked again before each
// attempt: a key may be withdrawn, or this router lose its lease on keys, while
// a request is on its way.
func (g *Gateway) checkKey(q *request, s keeperclient.State) (refusal, bool) {
	if q.route.Keyless {
		return refusal{}, true
	}
	if !g.Clock.Now().Before(s.KeysUntil) {
		return refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoLease, reason: fleet.ReasonKeysUnverifiable, retryAfter: minRetryAfter}, false
	}
	holder, ok := s.Table.KeyOwner(g.Dialect.APIKey(q.r.Header))
	if !ok {
		return refusal{status: http.StatusUnauthorized, kind: fleet.KindUnknownKey, reason: fleet.ReasonUnknownKey}, false
	}
	q.account = holder.Account
	return refusal{}, true
}

// readBody reads a whole body, so that it can be sent a second time and is
// framed anew for the target whatever framing the caller used.
func (g *Gateway) readBody(q *request, s keeperclient.State) (refusal, bool) {
	if q.r.ContentLength == 0 {
		return refusal{}, true
	}
	if g.Settings.Memory > 0 && g.bodyBytes.Load() > g.Settings.Memory/bodyMemoryDivisor {
		return refusal{status: http.StatusServiceUnavailable, kind: fleet.KindCapacityExhausted, reason: fleet.ReasonBodyMemoryFull, retryAfter: noCapacityRetryAfter}, false
	}
	limit := int64(s.Table.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = 4 << 20
	}
	rc := http.NewResponseController(q.w)
	if err := rc.SetReadDeadline(time.Now().Add(q.deadline.Sub(q.arrivedAt))); err != nil {
		g.Log.Debug("no read deadline", "request", q.id, "error", err)
	}
	body, err := readAll(http.MaxBytesReader(q.w.ResponseWriter, q.r.Body, limit), min(q.r.ContentLength, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refusal{status: http.StatusRequestEntityTooLarge, kind: fleet.KindTooLarge, reason: fleet.ReasonBodyTooLarge}, false
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.ErrUnexpectedEOF):
		return refusal{status: http.StatusRequestTimeout, kind: fleet.KindMalformed, reason: fleet.ReasonBodyIncomplete, retryAfter: minRetryAfter, err: err}, false
	case err != nil:
		return refusal{status: http.StatusBadRequest, kind: fleet.KindMalformed, reason: fleet.ReasonBodyReadFailed, err: err}, false
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		g.Log.Debug("no read deadline", "request", q.id, "error", err)
	}
	q.body = body
	g.bodyBytes.Add(int64(len(body)))
	return refusal{}, true
}

// readAll reads a body. One of known length is read in as few pieces as come.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	// The end must be seen too: the library watches for callers that leave only
	// from then on.
	_, err := r.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body, nil
}
