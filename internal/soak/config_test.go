package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The API keys of the two accounts. A scenario may revoke the guest's key.
const (
	memberKey = "member-key"
	guestKey  = "guest-key"
)

// The timeouts of callers' connections in configTemplate.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// configTemplate takes the version twice and the guest's tenant entry. The path of its last route
// contains the version, so that a request can find out which version a router serves.
const configTemplate = `{"version":%d,"routes":[
{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"keyed","hostname":"h.example","path_prefix":"/keyed/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"flow","hostname":"h.example","path_prefix":"/flow/","route_type":"streaming","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":1,"itl_target_ms":300},
{"name":"letters","hostname":"h.example","path_prefix":"/letters/","route_type":"streaming","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"resumable":true,"itl_target_ms":300},
{"name":"drafts","hostname":"h.example","path_prefix":"/drafts/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"sticky":true},
{"name":"open","hostname":"h.example","path_prefix":"/open%d/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"member","api_keys":["` + memberKey + `"],"priority":1}%s]}`

// guestTenant is the guest's tenant entry in configTemplate.
const guestTenant = `,{"name":"guest","api_keys":["` + guestKey + `"],"priority":1}`

// A configUpdater applies one configuration after the other and checks the versions that keepers
// and routers show against the versions that were accepted.
type configUpdater struct {
	*testFleet
	history    *history
	applyMu    sync.Mutex // held while a configuration is applied: one at a time
	nextKeeper int        // index of the keeper that the last request went to

	mu          sync.Mutex
	lastVersion int // the version sent last, accepted or not
	accepted    []acceptedConfig
	guestHasKey bool
}

// An acceptedConfig is a configuration that a keeper accepted, with the time of the answer.
type acceptedConfig struct {
	at      time.Time
	version int
}

// apply sends the next configuration to one keeper after the other until one accepts it. If
// revokeGuestKey is set, this and all later configurations lack the guest's key.
func (u *configUpdater) apply(revokeGuestKey bool) {
	u.applyMu.Lock()
	defer u.applyMu.Unlock()
	u.mu.Lock()
	u.lastVersion++
	version := u.lastVersion
	u.guestHasKey = u.guestHasKey && !revokeGuestKey
	guestEntry := ""
	if u.guestHasKey {
		guestEntry = guestTenant
	}
	u.mu.Unlock()
	u.history.recordRevocation(u.guestHasKey, &u.history.revocationSentAt)
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
		u.nextKeeper = (u.nextKeeper + 1) % len(u.keepers)
		if status, _ := u.operator().PutConfig(u.nextKeeper, fmt.Sprintf(configTemplate, version, version, guestEntry)); status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			u.violations.add("configuration %d was not accepted in %s", version, waitTimeout)
			return
		}
	}
	u.history.recordRevocation(u.guestHasKey, &u.history.revokedAt)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.accepted = append(u.accepted, acceptedConfig{time.Now(), version})
}

// recordRevocation sets at to the current time if the guest has no key and at is not set yet.
func (h *history) recordRevocation(guestHasKey bool, at *time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !guestHasKey && at.IsZero() {
		*at = time.Now()
	}
}

// latestVersion returns the version that was sent last.
func (u *configUpdater) latestVersion() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastVersion
}

// watchKeepers reads the configuration from all keepers in turn until ctx ends, and checks that no
// read returns an older version than one that was accepted before the read started.
func (u *configUpdater) watchKeepers(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		readStart := time.Now()
		status, text := u.operator().GetConfig(i % len(u.keepers))
		var config struct{ Version int }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &config) == nil {
			u.checkKeeperRead(readStart, i%len(u.keepers), config.Version)
		}
		time.Sleep(pollInterval)
	}
}

// checkKeeperRead checks the version that a keeper returned to a read that started at readStart.
func (u *configUpdater) checkKeeperRead(readStart time.Time, keeper, version int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, config := range u.accepted {
		u.violations.check(!config.at.Before(readStart) || config.version <= version,
			"keeper %d returned configuration %d to a read started at %s, after configuration %d was accepted", keeper, version, formatTime(readStart), config.version)
	}
}

// watchRouters probes the routers in turn until ctx ends, and checks that none returns to an older
// configuration within one run of its process. Each configuration has a route that no other one
// has; a probe finds the newest version whose route the router serves, back to two before the newest
// one seen.
func (u *configUpdater) watchRouters(ctx context.Context, prober *driver) {
	newestSeen := make(map[*processRun]int)
	for i := 0; ctx.Err() == nil; i++ {
		router := i % len(u.routers)
		run := u.routers[router].currentRun()
		for version := u.latestVersion(); run != nil && version > max(0, newestSeen[run]-3); version-- {
			if prober.sendProbe(router, fmt.Sprintf("/open%d/x", version)) != http.StatusOK {
				continue
			}
			if u.routers[router].currentRun() == run {
				u.violations.check(version >= newestSeen[run], "router %d returned from configuration %d to configuration %d", router, newestSeen[run], version)
				newestSeen[run] = max(newestSeen[run], version)
			}
			break
		}
		time.Sleep(pollInterval)
	}
}

// currentRun returns the run that is in progress, or nil.
func (p *process) currentRun() *processRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}
