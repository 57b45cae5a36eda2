package gateway

import (
	"time"

	"laburnumfall/internal/quarantine"
)

// fingerprint returns the fingerprint of a request. It is computed on first use, since most
// requests need none.
func (req *request) fingerprint() quarantine.Fingerprint {
	if req.cachedFingerprint == "" {
		req.cachedFingerprint = quarantine.FingerprintInput{
			Account: req.account, Method: req.r.Method, Destination: req.r.Host + req.r.RequestURI, Body: req.body,
		}.Fingerprint()
	}
	return req.cachedFingerprint
}

// maxPartFingerprints bounds the parts of one prompt that the quarantine distinguishes.
const maxPartFingerprints = 16

// partFingerprints returns the fingerprints of the parts of the prompt that other requests may share.
func (req *request) partFingerprints() []quarantine.Fingerprint {
	if len(req.promptParts) <= 1 || req.cachedParts != nil {
		return req.cachedParts
	}
	for _, part := range req.promptParts[:min(len(req.promptParts)-1, maxPartFingerprints)] {
		req.cachedParts = append(req.cachedParts, quarantine.PartFingerprint(req.pool, part.ID))
	}
	return req.cachedParts
}

// suspects returns the fingerprints of all that the request has in common with others.
func (req *request) suspects() []quarantine.Fingerprint {
	return append([]quarantine.Fingerprint{req.fingerprint()}, req.partFingerprints()...)
}

// recordEvents records that events have arrived. A target that has answered for MinPartRunTime clears
// the parts of the prompt.
func (g *Gateway) recordEvents(req *request, firstEventAt time.Time) {
	if !req.partsCompleted && g.Clock.Now().Sub(firstEventAt) >= quarantine.MinPartRunTime {
		g.recordPartsCompletion(req)
	}
}

// recordPartsCompletion records that a target has run the parts of the prompt without terminating.
func (g *Gateway) recordPartsCompletion(req *request) {
	req.partsCompleted = true
	parts := req.partFingerprints()
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		g.Guard.RecordCompletion(g.Clock.Now(), part)
	}
}
