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
	// aloneStart is how long a router that starts alone is without a configuration: the
	// leader answers its first question.
	aloneStart = 100 * time.Millisecond
	// fleetStart is how long after its start a router has a configuration where the whole
	// fleet has started: keepers that may have promised a leader wait out its lease before
	// another one leads.
	fleetStart = 1200 * time.Millisecond
	// longestStart bounds when a caller may come back where it takes longer still, as long
	// again as it has taken.
	longestStart = time.Second
	// startSpread spreads callers that come back, so that they are not all there at once.
	startSpread = 300 * time.Millisecond
)

// startBack returns when a caller may come back that reached a router without a
// configuration. One that starts alone has it at once, and all others serve. Otherwise the
// whole fleet has started: callers that are sent to another router before it serves are
// refused there as well, many for the last time.
func (g *Gateway) startBack(q *request) time.Duration {
	without := g.Clock.Now().Sub(g.started)
	if without < aloneStart {
		return soon
	}
	back := max(fleetStart-without, min(without, longestStart))
	return back + time.Duration(xxhash.Sum64String(q.id)%uint64(startSpread))
}

// admit finds a request's route and account.
func (g *Gateway) admit(q *request, s keeperclient.State) (refusal, bool) {
	if s.Table == nil || !g.ready.Load() {
		return refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoLease, reason: fleet.ReasonNoConfig, back: g.startBack(q)}, false
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
	q.until = q.arrived.Add(route.Timeout)
	if left, ok := g.Dialect.TimeLeft(q.r.Header); ok && left < route.Timeout {
		q.until = q.arrived.Add(left)
	}
	q.pool = route.PoolFor(xxhash.Sum64String(q.id))
	if route.PrefixCached {
		var output int
		q.parts, output = g.Dialect.Prompt(q.r.Header)
		q.tokens = cost(q.parts, output)
	}
	return refusal{}, true
}

func cost(parts []placement.PromptPart, output int) float64 {
	const generated = 2
	return float64(generated*output + tokensOf(parts))
}

func tokensOf(parts []placement.PromptPart) int {
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
		return refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoLease, reason: fleet.ReasonKeysUnverifiable, back: soon}, false
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
	if g.Settings.Memory > 0 && g.held.Load() > g.Settings.Memory/heldPart {
		return refusal{status: http.StatusServiceUnavailable, kind: fleet.KindCapacityExhausted, reason: fleet.ReasonBodyMemoryFull, back: moment}, false
	}
	limit := int64(s.Table.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = 4 << 20
	}
	rc := http.NewResponseController(q.w)
	if err := rc.SetReadDeadline(time.Now().Add(q.until.Sub(q.arrived))); err != nil {
		g.Log.Debug("no read deadline", "request", q.id, "error", err)
	}
	body, err := readAll(http.MaxBytesReader(q.w.ResponseWriter, q.r.Body, limit), min(q.r.ContentLength, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refusal{status: http.StatusRequestEntityTooLarge, kind: fleet.KindTooLarge, reason: fleet.ReasonBodyTooLarge}, false
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.ErrUnexpectedEOF):
		return refusal{status: http.StatusRequestTimeout, kind: fleet.KindMalformed, reason: fleet.ReasonBodyIncomplete, back: soon, err: err}, false
	case err != nil:
		return refusal{status: http.StatusBadRequest, kind: fleet.KindMalformed, reason: fleet.ReasonBodyReadFailed, err: err}, false
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		g.Log.Debug("no read deadline", "request", q.id, "error", err)
	}
	q.body = body
	g.held.Add(int64(len(body)))
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
