package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumfall/internal/caller"
	"laburnumfall/internal/eventstream"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/upstream"
)

// maxEventBytes bounds the size of an event in bytes. It is a thousand times the size of the events
// that engines send.
const maxEventBytes = 1 << 20

// forwardBuffered reads a response completely and then forwards it. A response of more than
// maxBufferedResponse bytes is forwarded while it arrives.
func (g *Gateway) forwardBuffered(req *request, choice *placement.Choice, started time.Time, response *upstream.Response) attemptOutcome {
	g.recordFirstByte(req, choice)
	if response.Length > maxBufferedResponse {
		return g.forwardUnbuffered(req, choice, started, response)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedResponse+1))
	if err != nil {
		g.endAttempt(choice, placement.Failed)
		g.logSend(req, choice, started, fleet.AttemptTruncated, err, "framing", response.Framing(), "written", response.WriteState())
		g.recordInterruption(req, choice, started, err)
		req.responseStarted = false
		return g.retryOrFail(req, fleet.ReasonAnswerTruncated, err)
	}
	if !response.Complete() && len(body) > maxBufferedResponse {
		return g.forwardUnbuffered(req, choice, started, response, body...)
	}
	g.recordStatus(choice, response.Status)
	g.recordCompletion(req, choice, started, response)
	g.logSend(req, choice, started, fleet.AttemptAnswered, nil, "status", response.Status, "framing", response.Framing(), "written", response.WriteState())
	response.Close() // releases the connection to the target before a slow caller reads the response
	g.copyHeaders(req, response)
	if req.r.Method != http.MethodHead && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		req.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	req.w.WriteHeader(response.Status)
	if _, err := req.w.Write(body); err != nil {
		g.logEnd(req, 0, fleet.ReasonAnswerWriteFailed, err)
		return attemptOutcome{next: stepDone}
	}
	g.logEnd(req, response.Status, fleet.ReasonAnswered, nil)
	return attemptOutcome{next: stepDone}
}

// recordStatus ends an attempt by the status of its response. A client error does not count as a
// failure of the target.
func (g *Gateway) recordStatus(choice *placement.Choice, status int) {
	const minServerError = 500
	if status >= minServerError {
		g.endAttempt(choice, placement.Failed)
		return
	}
	g.endAttempt(choice, placement.Served)
}

func (g *Gateway) forwardUnbuffered(req *request, choice *placement.Choice, started time.Time, response *upstream.Response, bodyStart ...byte) attemptOutcome {
	g.copyHeaders(req, response)
	if response.Length >= 0 {
		req.w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	req.w.WriteHeader(response.Status)
	_, err := req.w.Write(bodyStart)
	if err == nil {
		_, err = io.Copy(req.w, response)
	}
	switch {
	case err != nil && caller.HasLeft(req.r.Context()):
		g.endAttempt(choice, placement.Canceled)
		g.logSend(req, choice, started, fleet.AttemptCallerLeft, err)
		return attemptOutcome{next: stepFail, reason: fleet.ReasonCallerLeft, err: err}
	case err != nil:
		g.endAttempt(choice, placement.Failed)
		g.logSend(req, choice, started, fleet.AttemptTruncated, err, "framing", response.Framing(), "written", response.WriteState())
		g.recordInterruption(req, choice, started, err)
		return attemptOutcome{next: stepFail, reason: fleet.ReasonAnswerTruncated, err: err}
	}
	g.recordStatus(choice, response.Status)
	g.recordCompletion(req, choice, started, response)
	g.logSend(req, choice, started, fleet.AttemptAnswered, nil, "status", response.Status, "framing", response.Framing(), "written", response.WriteState())
	g.logEnd(req, response.Status, fleet.ReasonAnswered, nil)
	return attemptOutcome{next: stepDone}
}

// forwardStream forwards events while they arrive. If the stream ends early and is resumable, it is
// resumed at another target after the last event that was forwarded.
func (g *Gateway) forwardStream(req *request, choice *placement.Choice, started time.Time, response *upstream.Response) attemptOutcome {
	rc := http.NewResponseController(req.w)
	events := eventstream.Reader{Source: response, MaxEventBytes: maxEventBytes}
	var firstEventAt time.Time // of this attempt
	for {
		chunk, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			response.Discard()
			var truncated eventstream.TruncatedError
			errors.As(err, &truncated)
			g.endAttempt(choice, placement.Failed)
			g.logSend(req, choice, started, fleet.AttemptTruncated, err, "after", req.lastEventID, "framing", response.Framing(), "written", response.WriteState(), "rest", truncated.Rest)
			g.recordInterruption(req, choice, started, err)
			if !events.Resumable() {
				return attemptOutcome{next: stepFail, reason: fleet.ReasonStreamTruncated, err: err}
			}
			return g.retryOrFail(req, fleet.ReasonStreamTruncated, err)
		}
		if !req.responseStarted {
			g.copyHeaders(req, response)
			if req.route.Resumable {
				req.w.Header().Del("Content-Length") // another target may go on with the stream
			}
			req.w.WriteHeader(response.Status)
		}
		g.recordFirstByte(req, choice)
		if len(chunk) > 0 {
			if firstEventAt.IsZero() {
				firstEventAt = g.Clock.Now()
			}
			g.recordEvents(req, firstEventAt)
			g.recordOrigin(req, choice.Target)
			if writeErr := g.writeEvents(req, rc, chunk, events.LastID()); writeErr != nil {
				g.endAttempt(choice, placement.Canceled)
				g.logSend(req, choice, started, fleet.AttemptCallerLeft, writeErr)
				return attemptOutcome{next: stepFail, reason: fleet.ReasonStreamWriteFailed, err: writeErr}
			}
		}
		if err != nil {
			g.endAttempt(choice, placement.Served)
			g.recordCompletion(req, choice, started, response)
			g.logSend(req, choice, started, fleet.AttemptAnswered, nil, "status", response.Status, "framing", response.Framing(), "written", response.WriteState())
			g.logEnd(req, response.Status, fleet.ReasonAnswered, nil)
			return attemptOutcome{next: stepDone}
		}
	}
}

// writeEvents writes whole events to the caller. The ID is that of the last one, or "".
func (g *Gateway) writeEvents(req *request, rc *http.ResponseController, events []byte, lastID string) error {
	if _, err := req.w.Write(events); err != nil {
		return err
	}
	if lastID != "" {
		req.lastEventID = lastID
	}
	return rc.Flush()
}

// recordFirstByte records that the response has begun.
func (g *Gateway) recordFirstByte(req *request, choice *placement.Choice) {
	now := g.Clock.Now()
	if !req.responseStarted {
		req.responseStarted, req.firstByteAt = true, now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.RecordFirstByte(now, choice)
}

// isStream reports whether a response is a stream of events. A stream whose target states no
// Content-Type is known by its route.
func (req *request) isStream(response *upstream.Response) bool {
	contentType, encoding := response.Header.Get("Content-Type"), response.Header.Get("Content-Encoding")
	isEvents := eventstream.IsEventStream(contentType, encoding) || contentType == "" && encoding == "" && req.route.Kind == fleet.RouteStream
	return response.Status == http.StatusOK && isEvents
}

// copyHeaders copies the headers of a target's response, except for hop-by-hop headers. It also
// prevents net/http from adding Content-Type and Date headers.
func (g *Gateway) copyHeaders(req *request, response *upstream.Response) {
	header := req.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	removeHopByHopHeaders(header)
	g.Dialect.SetResponseHeaders(header, req.id, fleet.OutcomeRan)
	if announceClose, _ := g.shutdownActions(g.Clock.Now()); announceClose || g.conns.IsOverloaded() {
		header.Set("Connection", "close")
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
	if header.Get("Date") == "" {
		header["Date"] = nil
	}
}

// hopByHopHeaders are the headers that apply to a single connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func removeHopByHopHeaders(header http.Header) {
	for _, connectionOptions := range header["Connection"] {
		for _, name := range strings.Split(connectionOptions, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
