package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of TestSoak")
	soakSeeds = flag.Uint64("soak.seeds", 1, "number of seeds of TestSoak")
	soakSteps = flag.Int("soak.steps", 12, "faults and changes of each seed of TestSoak")
)

// soakRegressions are seeds that ever failed, with the cause.
var soakRegressions = []uint64{
	41, 47, // a process was told to stop before it had started
	2024, // a caller came between a router's end and its next start: its proxy hid the refusal
	3034, // another test beside it had the address of a router's metrics
}

const (
	soakRouters = 2
	soakTargets = 3
	soakCallers = 8
)

const soakConfig = `{"version":%d,"routes":[
{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"keyed","hostname":"h.example","path_prefix":"/keyed/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"flow","hostname":"h.example","path_prefix":"/flow/","route_type":"streaming","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":1,"itl_target_ms":300},
{"name":"open","hostname":"h.example","path_prefix":"/open%d/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"member","api_keys":["` + memberKey + `","good-key"],"priority":1}%s]}`

// A soak plays a random series of overlapping faults and changes on a fleet of real
// processes, under callers that never stop.
type soak struct {
	*ground

	random  *rand.Rand
	history history
	links   []*standin.Proxy // to targets
	doors   []*standin.Proxy // to routers
	newest  int              // target added last
	version int
	guest   bool // has a key
	busy    map[string]bool
	pending []pending
	mu      sync.Mutex
	reads   []string // configurations read against the promises
	said    []accepted
}

// pending is the end of a fault.
type pending struct {
	at   time.Time
	kind string
	end  func()
}

// accepted is a configuration that was acknowledged.
type accepted struct {
	at      time.Time
	version int
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		ground: newGround(t), random: rand.New(rand.NewPCG(seed, 0)), busy: make(map[string]bool), guest: true,
		history: history{stops: make(map[int][]span), drained: make(map[string]time.Time)},
	}
	for _, target := range s.site.All() {
		s.site.Remove(target) // they have no proxies before them
	}
	s.site.Fault = slowStreams
	for range soakTargets {
		s.addTarget()
	}
	for i := range soakRouters {
		door, err := standin.StartProxy("127.0.4.1:0", s.address(s.routerIP(i), 2))
		require.NoError(t, err)
		t.Cleanup(door.Close)
		s.doors = append(s.doors, door)
	}
	return s
}

// slowStreams makes streams last for some hundred milliseconds.
func slowStreams(t *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/flow/stream" {
		return false
	}
	t.Ran(r)
	t.Head(w, r)
	for i := 1; i <= standin.SiteEvents; i++ {
		t.Stream(w, i, i)
		time.Sleep(60 * time.Millisecond)
	}
	return true
}

func (s *soak) addTarget() {
	s.newest++
	target, err := s.site.Add(fmt.Sprintf("t-%d", s.newest), "plain", "z1", "127.0.3.1:0", 8)
	require.NoError(s.t, err)
	link, err := standin.StartProxy("127.0.3.1:0", target.Address)
	require.NoError(s.t, err)
	s.t.Cleanup(link.Close)
	target.Behind(link.Address())
	s.links = append(s.links, link)
}

func (s *soak) text() string {
	guest := ""
	if s.guest {
		guest = `,{"name":"guest","api_keys":["` + guestKey + `"],"priority":1}`
	}
	return fmt.Sprintf(soakConfig, s.version, s.version, guest)
}

// change puts the next configuration in force.
func (s *soak) change() {
	s.version++
	next := s.random.IntN(groundKeepers)
	require.Eventually(s.t, func() bool {
		next = (next + 1) % groundKeepers
		status, _ := s.operator().Put(next, s.text())
		return status == http.StatusOK
	}, patience, poll, "configuration %d was not accepted", s.version)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.said = append(s.said, accepted{time.Now(), s.version})
	if !s.guest && s.history.revoked.IsZero() {
		s.history.revoked = time.Now()
	}
}

// watch reads the configuration at all keepers by turns and notes older ones.
func (s *soak) watch(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		from := time.Now()
		status, text := s.operator().Get(n % groundKeepers)
		var got struct{ Version int }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &got) == nil {
			s.noteRead(from, n%groundKeepers, got.Version)
		}
		time.Sleep(poll)
	}
}

func (s *soak) noteRead(from time.Time, keeper, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.said {
		if a.at.Before(from) && a.version > version {
			s.reads = append(s.reads, fmt.Sprintf("keeper %d read configuration %d at %s, %d was accepted", keeper, version, from.Format("05.000"), a.version))
		}
	}
}

// step plays one fault or change.
func (s *soak) step() {
	steps := []func(){
		s.change, s.change, s.withdraw, s.replaceTarget,
		func() { s.processFault("keeper", s.random.IntN(groundKeepers), s.keeperAgain) },
		func() { s.processFault("router", s.random.IntN(soakRouters), s.routerAgain) },
		func() { s.linkFault("link", s.links[len(s.links)-1-s.random.IntN(soakTargets)]) },
		func() { s.linkFault("door", s.doors[s.random.IntN(len(s.doors))]) },
	}
	steps[s.random.IntN(len(steps))]()
}

func (s *soak) withdraw() {
	if s.guest {
		s.guest = false
		s.change()
	}
}

// replaceTarget adds a target and has the oldest that is in use leave.
func (s *soak) replaceTarget() {
	s.addTarget()
	for _, t := range s.site.All() {
		if _, drained := s.history.drained[t.ID]; !drained && t.ID[:2] == "t-" {
			s.t.Logf("%s leaves, t-%d comes", t.ID, s.newest)
			t.Drain()
			s.history.drained[t.ID] = time.Now()
			return
		}
	}
}

// TestSoak plays random series of faults and checks the promises by what callers and
// targets saw. By hand: go test ./internal/cmd -run TestSoak -soak.seeds 50.
func TestSoak(t *testing.T) {
	seeds := slices.Clone(soakRegressions)
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSoak(t, seed) })
	}
}

func playSoak(t *testing.T, seed uint64) {
	s := newSoak(t, seed)
	for i := range groundKeepers {
		s.keeper(i, true)
	}
	for i := range soakRouters {
		s.router(i)
	}
	s.change()
	s.requireServed(s.version)
	c := &standin.Callers{
		Paths: []string{"/once/x", "/keyed/x", "/flow/stream"},
		Key: func(caller int) string {
			if caller%4 == 0 {
				return guestKey
			}
			return memberKey
		},
		Door: func(caller, n int) (int, string) {
			i := (caller + n/20) % soakRouters
			return i, s.doors[i].Address()
		},
		Alone: func(i int, local string) bool { return s.doors[i].Alone(local) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range soakCallers {
		running.Go(func() { c.Run(ctx, i) })
	}
	running.Go(func() { s.watch(ctx) })
	for range *soakSteps {
		s.step()
		time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
		s.settle(false)
	}
	s.settle(true)
	s.change()
	s.requireServed(s.version) // it recovers
	cancel()
	running.Wait()
	attempts := c.Taken()
	statuses := make(map[int]int)
	for _, a := range attempts {
		statuses[a.Status]++
	}
	t.Logf("%d attempts by status: %v; %d configurations", len(attempts), statuses, s.version)
	require.Greater(t, statuses[http.StatusOK], len(attempts)/10, "a soak without service proves little")
	require.Empty(t, s.history.promised(attempts, s.site))
	require.Empty(t, s.reads)
}
