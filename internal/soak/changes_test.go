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

const configText = `{"version":%d,"routes":[
{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"keyed","hostname":"h.example","path_prefix":"/keyed/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"flow","hostname":"h.example","path_prefix":"/flow/","route_type":"streaming","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":1,"itl_target_ms":300},
{"name":"open","hostname":"h.example","path_prefix":"/open%d/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"member","api_keys":["` + memberKey + `"],"priority":1}%s]}`

const guestText = `,{"name":"guest","api_keys":["` + guestKey + `"],"priority":1}`

// changes put one configuration after the other in force, and hold what keepers and
// routers show against what was accepted.
type changes struct {
	*world
	history *history
	orders  sync.Mutex // configurations follow each other
	next    int        // keeper that is asked next

	mu       sync.Mutex
	version  int // sent last
	accepted []acceptance
	guest    bool // has a key
}

// An acceptance is a configuration that was acknowledged.
type acceptance struct {
	at      time.Time
	version int
}

// order puts the next configuration in force, one that withdraws the guest's key if told.
// It tries one keeper after the other until one accepts.
func (c *changes) order(withdraw bool) {
	c.orders.Lock()
	defer c.orders.Unlock()
	c.mu.Lock()
	c.version++
	version := c.version
	c.guest = c.guest && !withdraw
	guest := ""
	if c.guest {
		guest = guestText
	}
	c.mu.Unlock()
	c.history.withdrawn(c.guest, &c.history.asked)
	for until := time.Now().Add(patience); ; time.Sleep(poll) {
		c.next = (c.next + 1) % len(c.keepers)
		if status, _ := c.operator().PutConfig(c.next, fmt.Sprintf(configText, version, version, guest)); status == http.StatusOK {
			break
		}
		if time.Now().After(until) {
			c.notes.add("configuration %d was not accepted in %s", version, patience)
			return
		}
	}
	c.history.withdrawn(c.guest, &c.history.revoked)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = append(c.accepted, acceptance{time.Now(), version})
}

// withdrawn notes the time once the guest has no key.
func (h *history) withdrawn(guest bool, at *time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !guest && at.IsZero() {
		*at = time.Now()
	}
}

// newest is the version that was sent last.
func (c *changes) newest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// watchKeepers reads the configuration at all keepers by turns and notes older ones.
func (c *changes) watchKeepers(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		from := time.Now()
		status, text := c.operator().GetConfig(n % len(c.keepers))
		var got struct{ Version int }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &got) == nil {
			c.noteRead(from, n%len(c.keepers), got.Version)
		}
		time.Sleep(poll)
	}
}

func (c *changes) noteRead(from time.Time, keeper, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.accepted {
		c.notes.check(!a.at.Before(from) || a.version <= version,
			"keeper %d read configuration %d at %s, %d was accepted", keeper, version, clockTime(from), a.version)
	}
}

// watchRouters asks routers by turns which configuration they serve by, and notes those
// that go back from one to an older one. Each has a route that no other has.
func (c *changes) watchRouters(ctx context.Context, p *player) {
	seen := make(map[*run]int)
	for n := 0; ctx.Err() == nil; n++ {
		i := n % len(c.routers)
		now := c.routers[i].current()
		for version := c.newest(); now != nil && version > max(0, seen[now]-3); version-- {
			if p.ask(i, fmt.Sprintf("/open%d/x", version)) != http.StatusOK {
				continue
			}
			if c.routers[i].current() == now {
				c.notes.check(version >= seen[now], "router %d went back from configuration %d to %d", i, seen[now], version)
				seen[now] = max(seen[now], version)
			}
			break
		}
		time.Sleep(poll)
	}
}

// current is the run that is there now.
func (p *process) current() *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}
