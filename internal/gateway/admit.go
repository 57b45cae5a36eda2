package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/keeperclient"
	"laburnumfall/internal/placement"
)

const (
	// singleStartTime is how long a router has no configuration after it is started alone. The
	// leader answers its first request.
	singleStartTime = 100 * time.Millisecond
	// fleetStartTime is how long a router has no configuration after the whole fleet is started.
	// Keepers that may have granted a lease to a leader before the restart wait for it to expire
	// before they elect another one.
	fleetStartTime = 1200 * time.Millisecond
	// maxStartRetryAfter bounds the delay of callers when the start takes longer than
	// fleetStartTime. Up to this bound the delay is as long as the start has taken so far.
	maxStartRetryAfter = time.Second
	// retryJitter spreads callers that retry when service begins again, so that they do not all
	// arrive at once.
	retryJitter = 300 * time.Millisecond
)

// startRetryAfter returns when a caller may retry that reached a router without a configuration. In
// the first singleStartTime the router has probably been started alone: the caller may retry at
// once, since all other routers serve. After that, the whole fleet has probably been started. A
// caller that retries before another router serves is refused there as well, and many callers then
// give up.
func (g *Gateway) startRetryAfter(req *request) time.Duration {
	sinceStart := g.Clock.Now().Sub(g.startedAt)
	if sinceStart < singleStartTime {
		return minRetryAfter
	}
	retryAfter := max(fleetStartTime-sinceStart, min(sinceStart, maxStartRetryAfter))
	return retryAfter + req.retryJitter()
}

// retryJitter returns the delay from 0 to retryJitter of this request.
func (req *request) retryJitter() time.Duration {
	return time.Duration(xxhash.Sum64String(req.id) % uint64(retryJitter))
}

// admit sets the route, account, deadline, pool and cost of a request, or refuses it.
func (g *Gateway) admit(req *request, state keeperclient.State) (refusal, bool) {
	if state.Table == nil || !g.ready.Load() {
		return refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoLease, reason: fleet.ReasonNoConfig, retryAfter: g.startRetryAfter(req)}, false
	}
	path, _, _ := strings.Cut(req.r.RequestURI, "?")
	route, ok := state.Table.Route(req.r.Host, path)
	if !ok {
		return g.refuseByConfig(state, refusal{status: http.StatusNotFound, kind: fleet.KindEventUnavailable, reason: fleet.ReasonNoRoute}), false
	}
	req.route = route
	if refused, ok := g.checkKey(req, state); !ok {
		return refused, false
	}
	req.deadline = req.arrivedAt.Add(route.Timeout)
	if timeLeft, ok := g.Dialect.TimeLeft(req.r.Header); ok && timeLeft < route.Timeout {
		req.deadline = req.arrivedAt.Add(timeLeft)
	}
	req.pool = route.PoolFor(xxhash.Sum64String(req.id))
	if route.PrefixCached {
		var maxOutput int
		req.promptParts, maxOutput = g.Dialect.Prompt(req.r.Header)
		req.cost = tokenCost(req.promptParts, maxOutput)
		req.output = maxOutput
	}
	return refusal{}, true
}

// leaseLapsed reports whether keys may have been revoked since a leader confirmed the configuration.
func (g *Gateway) leaseLapsed(state keeperclient.State) bool {
	return !g.Clock.Now().Before(state.KeyLeaseExpiry)
}

// configLapsed reports whether a newer configuration may be in force elsewhere.
func (g *Gateway) configLapsed(state keeperclient.State) bool {
	expiry := state.ConfigLeaseExpiry
	return g.leaseLapsed(state) || !expiry.IsZero() && !g.Clock.Now().Before(expiry)
}

// refuseByConfig returns the refusal of a request that the configuration does not allow. It is not
// refused for good if a newer configuration may allow it.
func (g *Gateway) refuseByConfig(state keeperclient.State, refused refusal) refusal {
	if g.configLapsed(state) {
		refused = configOutdated
	}
	refused.configNumber, refused.leaseLeft = state.Table.Number, state.KeyLeaseExpiry.Sub(g.Clock.Now())
	return refused
}

// configOutdated refuses a request that a newer configuration may allow. Another router may have it.
var configOutdated = refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoLease, reason: fleet.ReasonConfigUnverifiable, retryAfter: minRetryAfter}

func tokenCost(parts []placement.PromptPart, maxOutput int) float64 {
	const outputWeight = 2
	return float64(outputWeight*maxOutput + totalTokens(parts))
}

func totalTokens(parts []placement.PromptPart) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

// checkKey sets the account of a request from its API key. It is called before each attempt, since
// the key may be revoked, or this router's lease on keys may lapse, while the request is in
// progress.
func (g *Gateway) checkKey(req *request, state keeperclient.State) (refusal, bool) {
	if req.route.Keyless {
		return refusal{}, true
	}
	if g.leaseLapsed(state) {
		return refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoLease, reason: fleet.ReasonKeysUnverifiable, retryAfter: minRetryAfter}, false
	}
	owner, ok := state.Table.KeyOwner(g.Dialect.APIKey(req.r.Header))
	if !ok {
		return g.refuseByConfig(state, refusal{status: http.StatusUnauthorized, kind: fleet.KindUnknownKey, reason: fleet.ReasonUnknownKey}), false
	}
	req.account = owner.Account
	return refusal{}, true
}
