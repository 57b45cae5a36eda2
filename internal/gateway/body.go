package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/intake"
	"laburnumfall/internal/keeperclient"
	"laburnumfall/internal/settings"
)

const (
	// saturatedMemory is how many bytes above the runtime's memory limit the process takes when its processor is
	// saturated, so that garbage is collected late.
	saturatedMemory = 80 << 20
	// otherMemoryDivisor is the part of the runtime's memory limit that everything but bodies takes, as a
	// divisor.
	otherMemoryDivisor = 2
	// minBodyMemoryDivisor is the part of that limit that bodies may take at least.
	minBodyMemoryDivisor = 4
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// firstBufferBytes and bufferGrowth are the sizes of the buffers for a body of unknown length. Memory
	// is reserved for each one before it is filled.
	firstBufferBytes = 16 << 10
	bufferGrowth     = 4
)

// errNoBodyMemory reports that there is no memory for a body.
var errNoBodyMemory = errors.New("the bodies of other requests fill the memory (come back later)")

// readBody reads the complete body, so that it can be sent to a second target, and with a
// Content-Length even if the caller used chunked encoding. Its memory is reserved before it is read.
func (g *Gateway) readBody(req *request, state keeperclient.State) (refusal, bool) {
	if req.r.ContentLength == 0 {
		return refusal{}, true
	}
	limit := int64(state.Table.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if req.r.ContentLength > limit {
		return g.refuseByConfig(state, refusal{status: http.StatusRequestEntityTooLarge, kind: fleet.KindTooLarge, reason: fleet.ReasonBodyTooLarge}), false
	}
	if req.r.ContentLength > 0 && !g.reserveBody(req, req.r.ContentLength) {
		return req.noBodyMemory(), false
	}
	rc := http.NewResponseController(req.w)
	if err := rc.SetReadDeadline(time.Now().Add(req.deadline.Sub(req.arrivedAt))); err != nil {
		g.Log.Debug("read deadline for the request body not set", "request", req.id, "error", err)
	}
	body, err := g.readAll(req, http.MaxBytesReader(req.w, req.r.Body, limit), limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoBodyMemory):
		return req.noBodyMemory(), false
	case errors.As(err, &tooLarge):
		return g.refuseByConfig(state, refusal{status: http.StatusRequestEntityTooLarge, kind: fleet.KindTooLarge, reason: fleet.ReasonBodyTooLarge}), false
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.ErrUnexpectedEOF):
		return refusal{status: http.StatusRequestTimeout, kind: fleet.KindIncomplete, reason: fleet.ReasonBodyIncomplete, retryAfter: minRetryAfter, err: err}, false
	case err != nil:
		return refusal{status: http.StatusBadRequest, kind: fleet.KindMalformed, reason: fleet.ReasonBodyReadFailed, err: err}, false
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		g.Log.Debug("read deadline for the request body not cleared", "request", req.id, "error", err)
	}
	req.body = body
	return refusal{}, true
}

// readAll reads a body, which is not longer than the limit, into memory that is reserved for it.
func (g *Gateway) readAll(req *request, r io.Reader, limit int64) ([]byte, error) {
	if req.r.ContentLength < 0 {
		return g.readUnknownLength(req, r, limit)
	}
	body := make([]byte, req.r.ContentLength)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	// Read up to io.EOF: net/http detects that the caller closes its connection only after that.
	_, err := r.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body, nil
}

// readUnknownLength reads a body into buffers of growing size.
func (g *Gateway) readUnknownLength(req *request, r io.Reader, limit int64) ([]byte, error) {
	body := []byte{}
	for size := int64(firstBufferBytes); ; {
		if len(body) == cap(body) {
			size = min(size, limit+1) // room for io.EOF after the longest body
			if !g.reserveBody(req, size) {
				return nil, errNoBodyMemory
			}
			larger := make([]byte, len(body), size)
			copy(larger, body)
			body, size = larger, size*bufferGrowth
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// bodyMemory returns how much memory bodies may take, in bytes, so that the process stays within its memory
// when all of them are read whole.
func bodyMemory(routing settings.Routing) int64 {
	rest := routing.MaxMemory - saturatedMemory - routing.MemoryLimit/otherMemoryDivisor
	return max(rest, routing.MemoryLimit/minBodyMemoryDivisor)
}

// reserveBody reserves memory for a request's body, in exchange for what is reserved for it already.
func (g *Gateway) reserveBody(req *request, size int64) bool {
	g.bodyMu.Lock()
	defer g.bodyMu.Unlock()
	now := g.Clock.Now()
	reservation := intake.Body{Account: req.account, Bytes: size}
	retryAfter, ok := g.bodies.Reserve(now, reservation)
	if !ok {
		req.bodyRetryAfter = retryAfter
		return false
	}
	g.bodies.Release(now, req.bodyReservation)
	req.bodyReservation = reservation
	return true
}

// releaseBody gives the memory of a request's body back.
func (g *Gateway) releaseBody(req *request) {
	g.bodyMu.Lock()
	defer g.bodyMu.Unlock()
	g.bodies.Release(g.Clock.Now(), req.bodyReservation)
	req.bodyReservation = intake.Body{}
}

// reservedBodyBytes returns the memory that is reserved for the bodies of all requests in progress.
func (g *Gateway) reservedBodyBytes() int64 {
	g.bodyMu.Lock()
	defer g.bodyMu.Unlock()
	return g.bodies.Reserved()
}

func (req *request) noBodyMemory() refusal {
	return refusal{status: http.StatusServiceUnavailable, kind: fleet.KindCapacityExhausted, reason: fleet.ReasonBodyMemoryFull, retryAfter: req.bodyRetryAfter}
}
