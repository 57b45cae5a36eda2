package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/upstream"
)

// passWhole reads an answer and passes it on. One of unknown or large size is
// passed on as it comes.
func (g *Gateway) passWhole(q *request, c *placement.Choice, started time.Time, a *upstream.Answer) outcome {
	g.first(q, c)
	if a.Length > wholeLimit {
		return g.passLarge(q, c, started, a)
	}
	body, err := io.ReadAll(io.LimitReader(a, wholeLimit+1))
	if err != nil {
		g.ended(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptTruncated, err)
		g.noteCut(q, c, started, err)
		q.begun = false
		return g.repeat(q, fleet.ReasonAnswerTruncated, err)
	}
	if !a.Whole() && len(body) > wholeLimit {
		return g.passLarge(q, c, started, a, body...)
	}
	g.result(c, a.Status)
	g.noteWhole(q, a.Status)
	g.logSend(q, c, started, fleet.AttemptAnswered, nil, "status", a.Status)
	a.Close() // kept for the next request before the caller takes its time
	g.copyHead(q, a)
	if q.r.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.w.WriteHeader(a.Status)
	if _, err := q.w.Write(body); err != nil {
		g.logEnd(q, 0, fleet.ReasonAnswerWriteFailed, err)
		return outcome{next: finished}
	}
	g.logEnd(q, a.Status, fleet.ReasonAnswered, nil)
	return outcome{next: finished}
}

// result tells the placer how a target did. A caller's own mistake is no failure
// of the target.
func (g *Gateway) result(c *placement.Choice, status int) {
	const failure = 500
	if status >= failure {
		g.ended(c, placement.Failed)
		return
	}
	g.ended(c, placement.Served)
}

func (g *Gateway) passLarge(q *request, c *placement.Choice, started time.Time, a *upstream.Answer, begin ...byte) outcome {
	g.copyHead(q, a)
	if a.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	q.w.WriteHeader(a.Status)
	_, err := q.w.Write(begin)
	if err == nil {
		_, err = io.Copy(q.w, a)
	}
	switch {
	case err != nil && left(q.r.Context()):
		g.ended(c, placement.Canceled)
		g.logSend(q, c, started, fleet.AttemptCallerLeft, err)
		return outcome{next: over, reason: fleet.ReasonCallerLeft, err: err}
	case err != nil:
		g.ended(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptTruncated, err)
		g.noteCut(q, c, started, err)
		return outcome{next: over, reason: fleet.ReasonAnswerTruncated, err: err}
	}
	g.result(c, a.Status)
	g.noteWhole(q, a.Status)
	g.logSend(q, c, started, fleet.AttemptAnswered, nil, "status", a.Status)
	g.logEnd(q, a.Status, fleet.ReasonAnswered, nil)
	return outcome{next: finished}
}

// passStream passes events on as they come. If the stream breaks off and may be
// resumed, it goes on at another target after the last event that was passed on.
func (g *Gateway) passStream(q *request, c *placement.Choice, started time.Time, a *upstream.Answer) outcome {
	rc := http.NewResponseController(q.w)
	events := eventReader{source: a}
	for {
		piece, err := events.next()
		if err != nil && !errors.Is(err, io.EOF) {
			g.ended(c, placement.Failed)
			g.logSend(q, c, started, fleet.AttemptTruncated, err, "after", q.after)
			g.noteCut(q, c, started, err)
			return g.repeat(q, fleet.ReasonStreamTruncated, err)
		}
		if !q.begun {
			g.copyHead(q, a)
			q.w.WriteHeader(a.Status)
		}
		g.first(q, c)
		if len(piece) > 0 {
			if writeErr := g.pass(q, rc, piece); writeErr != nil {
				g.ended(c, placement.Canceled)
				g.logSend(q, c, started, fleet.AttemptCallerLeft, writeErr)
				return outcome{next: over, reason: fleet.ReasonStreamWriteFailed, err: writeErr}
			}
		}
		if err != nil {
			g.ended(c, placement.Served)
			g.noteWhole(q, a.Status)
			g.logSend(q, c, started, fleet.AttemptAnswered, nil, "status", a.Status)
			g.logEnd(q, a.Status, fleet.ReasonAnswered, nil)
			return outcome{next: finished}
		}
	}
}

func (g *Gateway) pass(q *request, rc *http.ResponseController, piece []byte) error {
	if _, err := q.w.Write(piece); err != nil {
		return err
	}
	if id := lastID(piece); id != "" {
		q.after = id
	}
	return rc.Flush()
}

// first notes that an answer has begun.
func (g *Gateway) first(q *request, c *placement.Choice) {
	now := g.Clock.Now()
	if !q.begun {
		q.begun, q.first = true, now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.RecordFirstByte(now, c)
}

// streams reports whether an answer is a stream of events.
func (q *request) streams(a *upstream.Answer) bool {
	kind := a.Header.Get("Content-Type")
	return a.Status == http.StatusOK && (q.route.Kind == fleet.RouteStream || strings.HasPrefix(kind, "text/event-stream"))
}

// copyHead passes a target's headers on, but those that concern only its
// connection. The library must add none of its own.
func (g *Gateway) copyHead(q *request, a *upstream.Answer) {
	h := q.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	dropHops(h)
	g.Dialect.SetResponseHeaders(h, q.id, fleet.OutcomeRan)
	if announce, _ := g.closing(g.Clock.Now()); announce || g.callers.behind() {
		h.Set("Connection", "close")
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	if h.Get("Date") == "" {
		h["Date"] = nil
	}
}

// hops are the headers that concern one connection only.
var hops = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func dropHops(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hops {
		h.Del(name)
	}
}
