package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The keys of a soak's two accounts; the guest's is withdrawn on the way.
const (
	memberKey = "member-key"
	guestKey  = "guest-key"
)

const configTemplate = `{"version":%d,"routes":[
{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"keyed","hostname":"h.example","path_prefix":"/keyed/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"flow","hostname":"h.example","path_prefix":"/flow/","route_type":"streaming","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":1,"itl_target_ms":300},
{"name":"open","hostname":"h.example","path_prefix":"/open%d/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"member","api_keys":["` + memberKey + `"],"priority":1}%s]}`

const guestTenant = `,{"name":"guest","api_keys":["` + guestKey + `"],"priority":1}`

// changes put one configuration after the other in force, and hold what keepers and
// routers show against what was accepted.
type configUpdater struct {
	*testFleet
	history    *history
	applyMu    sync.Mutex // configurations follow each other
	nextKeeper int        // keeper that is asked next

	mu          sync.Mutex
	lastVersion int // sent last
	accepted    []acceptedConfig
	guestHasKey bool // has a key
}

// An acceptance is a configuration that was acknowledged.
type acceptedConfig struct {
	at      time.Time
	version int
}

// order puts the next configuration in force, one that withdraws the guest's key if told.
// It tries one keeper after the other until one accepts.
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
		if status, _ := u.operator().Put(u.nextKeeper, fmt.Sprintf(configTemplate, version, version, guestEntry)); status == http.StatusOK {
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

// withdrawn notes the time once the guest has no key.
func (h *history) recordRevocation(guestHasKey bool, at *time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !guestHasKey && at.IsZero() {
		*at = time.Now()
	}
}

// newest is the version that was sent last.
func (u *configUpdater) latestVersion() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastVersion
}

// watchKeepers reads the configuration at all keepers by turns and notes older ones.
func (u *configUpdater) watchKeepers(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		readStart := time.Now()
		status, text := u.operator().Get(i % len(u.keepers))
		var config struct{ Version int }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &config) == nil {
			u.checkKeeperRead(readStart, i%len(u.keepers), config.Version)
		}
		time.Sleep(pollInterval)
	}
}

func (u *configUpdater) checkKeeperRead(readStart time.Time, keeper, version int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, config := range u.accepted {
		u.violations.check(!config.at.Before(readStart) || config.version <= version,
			"keeper %d read configuration %d at %s, %d was accepted", keeper, version, formatTime(readStart), config.version)
	}
}

// watchRouters asks routers by turns which configuration they serve by, and notes those
// that go back from one to an older one. Each has a route that no other has.
func (u *configUpdater) watchRouters(ctx context.Context, prober *player) {
	newestSeen := make(map[*processRun]int)
	for i := 0; ctx.Err() == nil; i++ {
		router := i % len(u.routers)
		running := u.routers[router].currentRun()
		for version := u.latestVersion(); running != nil && version > max(0, newestSeen[running]-3); version-- {
			if prober.sendProbe(router, fmt.Sprintf("/open%d/x", version)) != http.StatusOK {
				continue
			}
			if u.routers[router].currentRun() == running {
				u.violations.check(version >= newestSeen[running], "router %d went back from configuration %d to %d", router, newestSeen[running], version)
				newestSeen[running] = max(newestSeen[running], version)
			}
			break
		}
		time.Sleep(pollInterval)
	}
}

// current is the run that is there now.
func (p *process) currentRun() *processRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}
