package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

func (c *Coordinator) returnPermit(now time.Time, router string, permitReturn PermitReturn) {
	req := c.tracked[permitReturn.Fingerprint]
	if req == nil || req.PermitHolder != router || req.PermitID != permitReturn.PermitID {
		return
	}
	req.PermitHolder = ""
	if permitReturn.Unreachable && req.PermitTarget != "" {
		c.terminated[req.PermitTarget] = now // if it ran no requests, no other router may have noticed
	}
	if permitReturn.NotSent && req.Quarantined() && req.Trials > 0 {
		req.Trials--
	}
	c.save(req, PermitReturned)
}

// grantPermit grants a router a permit to run the request, if none is in use and a trial is
// allowed. The permit is for none of the targets that the router cannot reach.
func (c *Coordinator) grantPermit(now time.Time, router string, fp Fingerprint, unreachable []string) {
	req := c.tracked[fp]
	if req == nil || len(req.TerminatedTargets) < suspectThreshold || req.PermitHolder != "" && now.Before(req.PermitExpiresAt) {
		return
	}
	if req.Quarantined() && (req.Trials >= maxTrials || now.Before(req.NextTrialAt)) {
		return
	}
	target, ok := c.pickIsolatedTarget(now, req, unreachable)
	if !ok {
		if c.poolDown(req.Pool) {
			req.poolDownAt = now
		}
		return
	}
	if req.Quarantined() {
		req.Trials++
		req.NextTrialAt = now.Add(nextTrialDelay)
	}
	req.PermitID++
	req.PermitHolder, req.PermitExpiresAt, req.PermitTarget = router, now.Add(permitTTL), target
	c.save(req, PermitGranted)
}

// pickIsolatedTarget picks a target at which no other request runs under a permit, so that a
// termination can be attributed to one request. It returns "", which means any target, if the
// targets of the pool are unknown, and false if all targets are excluded.
func (c *Coordinator) pickIsolatedTarget(now time.Time, req *trackedRequest, unreachable []string) (string, bool) {
	var targets []string
	if c.AvailableTargets != nil {
		targets = c.AvailableTargets(req.Pool)
	}
	if len(targets) == 0 {
		return "", true
	}
	excluded := make(map[string]bool)
	for target := range c.terminated {
		excluded[target] = true // the list may still show it, since it lags
	}
	for _, target := range unreachable {
		excluded[target] = true
	}
	for _, other := range c.tracked {
		if other.PermitHolder != "" && now.Before(other.PermitExpiresAt) && other != req {
			excluded[other.PermitTarget] = true
		}
	}
	start := xxhash.Sum64String(string(req.Fingerprint)) + req.PermitID
	for i := range uint64(len(targets)) {
		if candidate := targets[(start+i)%uint64(len(targets))]; !excluded[candidate] {
			return candidate, true
		}
	}
	return "", false
}

// poolDown reports whether all targets of a pool terminated recently.
func (c *Coordinator) poolDown(pool string) bool {
	return !slices.ContainsFunc(c.AvailableTargets(pool), func(target string) bool {
		_, terminated := c.terminated[target]
		return !terminated
	})
}
