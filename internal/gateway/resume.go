package gateway

import (
	"context"
	"net/http"
	"time"

	"laburnumfall/internal/admission"
	"laburnumfall/internal/caller"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/origin"
)

// Origins keeps where streams began, for all routers.
type Origins interface {
	// Record records where the stream of a request began, and until when its caller may come back. It
	// does not block.
	Record(requestID string, began origin.Origin, expiresAt time.Time)
	// Find returns where the stream of a request began, or origin.ErrUnknown.
	Find(ctx context.Context, requestID string) (origin.Finding, error)
}

const (
	// returnGrace is how long after its deadline a caller may still come back, for the network and
	// clocks between.
	returnGrace = time.Second
	// unknownOriginRetryAfter is when a caller may try again whose stream this router does not know.
	// Another router may.
	unknownOriginRetryAfter = 100 * time.Millisecond
	// unnamedHistory is how many times a route's timeout a stream without a name may have begun ago.
	unnamedHistory = 2
)

// sourceOnlyVersion is the source of an origin that follows from the list of targets.
const sourceOnlyVersion = "only version"

// resolveOrigin finds where the stream began that a caller resumes, so that it goes on only at that pool
// and version. It refuses a stream that nobody knows: what two versions write does not fit together.
func (g *Gateway) resolveOrigin(req *request) (refusal, bool) {
	resumed, lastEventID := g.Dialect.Resumes(req.r.Header)
	if !req.route.Resumable || resumed == "" && lastEventID == "" {
		return refusal{}, true
	}
	g.conns.ReleaseReadSlot(caller.ConnFromContext(req.r.Context())) // other routers may be asked
	started := g.Clock.Now()
	finding, err := g.findOrigin(req, resumed)
	args := []any{
		"request", req.id, "resumes", resumed, "after", lastEventID, "source", finding.Source, "pool", finding.Pool, "version", finding.Version,
		"age", finding.Age.Milliseconds(), "took", g.Clock.Now().Sub(started).Milliseconds(),
	}
	source := finding.Source
	if err != nil {
		source = "unknown"
		args = append(args, "error", err)
	}
	g.Log.Info("stream resumed", args...)
	g.Metrics.recordResume(source)
	switch {
	case err != nil:
		return refusal{
			status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: fleet.ReasonOriginUnknown,
			retryAfter: unknownOriginRetryAfter + req.retryJitter(), remedy: remedyStartAgain, err: err,
		}, false
	case !req.route.Uses(finding.Pool):
		return refusal{
			status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: fleet.ReasonVersionGone,
			retryAfter: admission.VersionRetryAfter, remedy: remedyStartAgain,
		}, false
	}
	req.pool, req.version = finding.Pool, &finding.Version
	return refusal{}, true
}

// remedyStartAgain is what the caller of a stream that cannot go on can do.
const remedyStartAgain = "come back after Retry-After, or start the stream again without Last-Event-Id"

func (g *Gateway) findOrigin(req *request, resumed string) (origin.Finding, error) {
	if resumed == "" {
		return g.onlyVersion(req)
	}
	if g.Origins == nil {
		return origin.Finding{}, origin.ErrUnknown
	}
	return g.Origins.Find(req.r.Context(), resumed)
}

// onlyVersion returns the origin of a stream that its caller does not name. It is known only if the pool
// has had targets of a single version for as long as the stream may last.
func (g *Gateway) onlyVersion(req *request) (origin.Finding, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	version, ok := g.versions.Only(g.Clock.Now(), req.pool, unnamedHistory*req.route.Timeout)
	if !ok || len(req.route.Pools) > 1 {
		return origin.Finding{}, origin.ErrUnknown
	}
	return origin.Finding{Origin: origin.Origin{Pool: req.pool, Version: version}, Source: sourceOnlyVersion}, nil
}

// recordOrigin records the target that sends the first events of a stream. Further events come only from
// targets of its version.
func (g *Gateway) recordOrigin(req *request, target fleet.Instance) {
	if req.originRecorded {
		return
	}
	req.version, req.originRecorded = &target.Version, true
	if g.Origins == nil || !req.route.Resumable || target.Version == fleet.UnknownVersion {
		return
	}
	expiresAt := req.deadline
	if timeLeft, ok := g.Dialect.TimeLeft(req.r.Header); ok {
		expiresAt = req.arrivedAt.Add(timeLeft) // the route's timeout ends this request, not the caller's stream
	}
	g.Origins.Record(req.id, origin.Origin{Pool: target.Pool, Version: target.Version}, expiresAt.Add(returnGrace))
}
