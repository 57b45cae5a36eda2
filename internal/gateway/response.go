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

// forwardBuffered reads an answer and passes it on. One of unknown or large size is
// passed on as it comes.
func (g *Gateway) forwardBuffered(q *request, c *placement.Choice, started time.Time, a *upstream.Answer) attemptOutcome {
	g.recordFirstByte(q, c)
	if a.Length > maxBufferedResponse {
		return g.forwardUnbuffered(q, c, started, a)
	}
	body, err := io.ReadAll(io.LimitReader(a, maxBufferedResponse+1))
	if err != nil {
		g.endAttempt(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptTruncated, err)
		g.recordInterruption(q, c, started, err)
		q.responseStarted = false
		return g.retryOrFail(q, fleet.ReasonAnswerTruncated, err)
	}
	if !a.Whole() && len(body) > maxBufferedResponse {
		return g.forwardUnbuffered(q, c, started, a, body...)
	}
	g.recordStatus(c, a.Status)
	g.recordCompletion(q, a.Status)
	g.logSend(q, c, started, fleet.AttemptAnswered, nil, "status", a.Status)
	a.Close() // kept for the next request before the caller takes its time
	g.copyHeaders(q, a)
	if q.r.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.w.WriteHeader(a.Status)
	if _, err := q.w.Write(body); err != nil {
		g.logEnd(q, 0, fleet.ReasonAnswerWriteFailed, err)
		return attemptOutcome{next: stepDone}
	}
	g.logEnd(q, a.Status, fleet.ReasonAnswered, nil)
	return attemptOutcome{next: stepDone}
}

// recordStatus tells the placer how a target did. A caller's own mistake is no failure
// of the target.
func (g *Gateway) recordStatus(c *placement.Choice, status int) {
	const failure = 500
	if status >= failure {
		g.endAttempt(c, placement.Failed)
		return
	}
	g.endAttempt(c, placement.Served)
}

func (g *Gateway) forwardUnbuffered(q *request, c *placement.Choice, started time.Time, a *upstream.Answer, begin ...byte) attemptOutcome {
	g.copyHeaders(q, a)
	if a.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	q.w.WriteHeader(a.Status)
	_, err := q.w.Write(begin)
	if err == nil {
		_, err = io.Copy(q.w, a)
	}
	switch {
	case err != nil && callerLeft(q.r.Context()):
		g.endAttempt(c, placement.Canceled)
		g.logSend(q, c, started, fleet.AttemptCallerLeft, err)
		return attemptOutcome{next: stepFail, reason: fleet.ReasonCallerLeft, err: err}
	case err != nil:
		g.endAttempt(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptTruncated, err)
		g.recordInterruption(q, c, started, err)
		return attemptOutcome{next: stepFail, reason: fleet.ReasonAnswerTruncated, err: err}
	}
	g.recordStatus(c, a.Status)
	g.recordCompletion(q, a.Status)
	g.logSend(q, c, started, fleet.AttemptAnswered, nil, "status", a.Status)
	g.logEnd(q, a.Status, fleet.ReasonAnswered, nil)
	return attemptOutcome{next: stepDone}
}

// forwardStream passes events on as they come. If the stream breaks off and may be
// resumed, it goes on at another target after the last event that was passed on.
func (g *Gateway) forwardStream(q *request, c *placement.Choice, started time.Time, a *upstream.Answer) attemptOutcome {
	rc := http.NewResponseController(q.w)
	events := eventReader{source: a}
	for {
		piece, err := events.next()
		if err != nil && !errors.Is(err, io.EOF) {
			g.endAttempt(c, placement.Failed)
			g.logSend(q, c, started, fleet.AttemptTruncated, err, "after", q.lastEventID)
			g.recordInterruption(q, c, started, err)
			return g.retryOrFail(q, fleet.ReasonStreamTruncated, err)
		}
		if !q.responseStarted {
			g.copyHeaders(q, a)
			q.w.WriteHeader(a.Status)
		}
		g.recordFirstByte(q, c)
		if len(piece) > 0 {
			if writeErr := g.writeEvents(q, rc, piece); writeErr != nil {
				g.endAttempt(c, placement.Canceled)
				g.logSend(q, c, started, fleet.AttemptCallerLeft, writeErr)
				return attemptOutcome{next: stepFail, reason: fleet.ReasonStreamWriteFailed, err: writeErr}
			}
		}
		if err != nil {
			g.endAttempt(c, placement.Served)
			g.recordCompletion(q, a.Status)
			g.logSend(q, c, started, fleet.AttemptAnswered, nil, "status", a.Status)
			g.logEnd(q, a.Status, fleet.ReasonAnswered, nil)
			return attemptOutcome{next: stepDone}
		}
	}
}

func (g *Gateway) writeEvents(q *request, rc *http.ResponseController, piece []byte) error {
	if _, err := q.w.Write(piece); err != nil {
		return err
	}
	if id := lastEventID(piece); id != "" {
		q.lastEventID = id
	}
	return rc.Flush()
}

// first notes that an answer has begun.
func (g *Gateway) recordFirstByte(q *request, c *placement.Choice) {
	now := g.Clock.Now()
	if !q.responseStarted {
		q.responseStarted, q.firstByteAt = true, now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.RecordFirstByte(now, c)
}

// isStream reports whether an answer is a stream of events.
func (q *request) isStream(a *upstream.Answer) bool {
	kind := a.Header.Get("Content-Type")
	return a.Status == http.StatusOK && (q.route.Kind == fleet.RouteStream || strings.HasPrefix(kind, "text/event-stream"))
}

// copyHeaders passes a target's headers on, but those that concern only its
// connection. The library must add none of its own.
func (g *Gateway) copyHeaders(q *request, a *upstream.Answer) {
	h := q.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	g.Dialect.SetResponseHeaders(h, q.id, fleet.OutcomeRan)
	if announce, _ := g.shutdownActions(g.Clock.Now()); announce || g.conns.isOverloaded() {
		h.Set("Connection", "close")
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	if h.Get("Date") == "" {
		h["Date"] = nil
	}
}

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
