package router_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/keeper"
	"laburnumfall/internal/router"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/standin"
)

const testKey = "test-key"

// testFleet is one keeper and one router in this process, in front of given targets.
type testFleet struct {
	t      testing.TB
	router string
	routes string // "" without routes
	admin  string
	stop   context.CancelFunc
	done   chan error
}

func freeAddress(t testing.TB) string {
	address, err := standin.ReserveAddress()
	require.NoError(t, err)
	return address
}

// startFleet starts a testFleet and applies a configuration with the targets: one event named
// after each target, and the event "all" with all of them.
func startFleet(t testing.TB, targets ...fleet.Target) *testFleet {
	return startFleetWith(t, nil, targets...)
}

// startFleetWith is startFleet with settings for the routes of the router.
func startFleetWith(t testing.TB, routes *settings.Routing, targets ...fleet.Target) *testFleet {
	return startFleetOf(t, settings.Router{Routing: routes}, targets...)
}

// startFleetWithRoute is startFleet with a router that also serves a route to all targets.
func startFleetWithRoute(t testing.TB, targets ...fleet.Target) *testFleet {
	address := freeAddress(t)
	f := startFleetOf(t, settings.Router{Routing: settings.DefaultRouting(), RouteListen: address}, targets...)
	f.routes = address
	require.Eventually(t, func() bool { return f.postRoute("/none").StatusCode != http.StatusServiceUnavailable }, 30*time.Second, 10*time.Millisecond)
	return f
}

func startFleetOf(t testing.TB, routerSettings settings.Router, targets ...fleet.Target) *testFleet {
	return startChangedFleet(t, func(*router.Router) {}, routerSettings, targets...)
}

// startChangedFleet is startFleetOf with a router that is changed before it runs.
func startChangedFleet(t testing.TB, change func(*router.Router), routerSettings settings.Router, targets ...fleet.Target) *testFleet {
	dir := t.TempDir()
	secret := filepath.Join(dir, "secret")
	require.NoError(t, os.WriteFile(secret, []byte("0123456789abcdef"), 0o600))
	keeperAddress := freeAddress(t)
	f := &testFleet{t: t, router: freeAddress(t), admin: freeAddress(t)}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	log := hclog.NewNullLogger()
	keeperServer := &keeper.Keeper{
		Settings: settings.Keeper{
			Name: "k1", Zone: "z", Listen: keeperAddress, Admin: freeAddress(t), Data: dir,
			Peers: []string{"k1=" + keeperAddress}, Secret: secret,
		},
		Log: log, Clock: clock.NewRealClock(), Disk: &journal.RealDisk{Folder: filepath.Join(dir, "k1")}, Init: true,
	}
	routerSettings.Name, routerSettings.Zone, routerSettings.Listen, routerSettings.Admin = "r1", "z", f.router, f.admin
	routerSettings.Keepers, routerSettings.Secret = []string{keeperAddress}, secret
	routerServer := &router.Router{Settings: routerSettings, Log: log, Clock: clock.NewRealClock()}
	change(routerServer)
	group.Go(func() error { return keeperServer.Run(ctx) })
	group.Go(func() error { return routerServer.Run(ctx) })
	f.stop, f.done = cancel, make(chan error, 1)
	go func() { f.done <- group.Wait() }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-f.done:
			require.NoError(t, err)
		case <-time.After(30 * time.Second):
			require.Fail(t, "the keeper and the router did not stop")
		}
	})
	f.applyTargets(keeperAddress, secret, targets)
	return f
}

func (f *testFleet) applyTargets(address, secret string, targets []fleet.Target) {
	config := fleet.Config{
		Number:   1,
		Accounts: []fleet.Account{{Name: "regina", Share: 1, Keys: []string{fleet.KeyDigest(testKey)}}, {Name: "other", Share: 1, Keys: []string{fleet.KeyDigest("other-key")}}},
	}
	allTargets := fleet.Event{Name: "all", Accounts: []string{"regina"}}
	for _, target := range targets {
		target.Zone, target.State = "z", fleet.TargetLive
		config.Targets = append(config.Targets, target)
		allTargets.Targets = append(allTargets.Targets, target.Name)
		config.Events = append(config.Events, fleet.Event{Name: target.Name, Accounts: []string{"regina"}, Targets: []string{target.Name}})
	}
	config.Events = append(config.Events, allTargets,
		fleet.Event{Name: "past", End: time.Unix(1, 0), Accounts: []string{"regina"}},
		fleet.Event{Name: "future", Start: time.Now().Add(time.Hour), Accounts: []string{"regina"}},
		fleet.Event{Name: "empty", Accounts: []string{"regina"}})
	if len(targets) > 0 {
		config.Pools = []fleet.PoolSpec{{Name: "all", Targets: allTargets.Targets}}
		config.Routes = []fleet.RouteSpec{{
			Name: "all", Host: "routes.example", Prefix: "/all/", Kind: fleet.RouteAtMostOnce, Timeout: fleet.Duration(10 * time.Second),
			Pools: []fleet.PoolWeightSpec{{Pool: "all", Weight: 1}},
		}}
	}
	require.NoError(f.t, config.Validate())
	applyConfig(f.t, address, secret, config)
}

func (f *testFleet) do(method, path string, body io.Reader, headers ...string) *http.Response {
	request, err := http.NewRequest(method, "http://"+f.router+path, body)
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	return response
}

func startStandin(t testing.TB, settings standin.Settings) (*standin.Standin, fleet.Target) {
	settings.Listen = "127.0.0.1:0"
	server := &standin.Standin{Settings: settings}
	address, err := server.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return server, fleet.Target{Name: settings.Name, Address: address, Kind: settings.Kind, Slots: 8}
}

// startRawTarget starts a target that sends the given bytes on each connection and closes it.
func startRawTarget(t testing.TB, name, response string) fleet.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				buffer := make([]byte, 4096)
				if _, err := conn.Read(buffer); err == nil {
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	return fleet.Target{Name: name, Address: listener.Addr().String(), Kind: fleet.TargetService, Slots: 4}
}

func TestPublicInterface(t *testing.T) {
	engine, engineTarget := startStandin(t, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 3})
	_, serviceTarget := startStandin(t, standin.Settings{Name: "service", Kind: fleet.TargetService})
	unreachable := fleet.Target{Name: "dead", Address: freeAddress(t), Kind: fleet.TargetService, Slots: 4}
	f := startFleet(t, engineTarget, serviceTarget, unreachable,
		startRawTarget(t, "garbage", "\x16\x03nonsense\r\n\r\n"),
		startRawTarget(t, "short", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc"),
		startRawTarget(t, "cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"))
	chat := `{"messages":[{"role":"user","content":"hi"}]}`
	tests := []struct {
		name, path, body string
		headers          []string
		status           int
		kind, outcome    string
		wantRetryAfter   bool
	}{
		{name: "chat", path: "/e/engine/v1/chat/completions", body: chat, status: 200, outcome: "ran"},
		{name: "stream", path: "/e/engine/v1/chat/completions", body: `{"stream":true}`, status: 200, outcome: "ran"},
		{name: "thumbnail", path: "/e/service/thumbs/1", status: 200, outcome: "ran"},
		{name: "sheet list", path: "/e/service/sheets?of=1", status: 200, outcome: "ran"},
		{name: "error response of the target", path: "/e/engine/v1/chat/completions", body: "{", status: 400, outcome: "ran"},
		{name: "no event in the path", path: "/v1/models", status: 404, kind: "event", outcome: "unrun"},
		{name: "unknown event", path: "/e/nope/x", status: 404, kind: "event", outcome: "unrun"},
		{name: "ended event", path: "/e/past/x", status: 404, kind: "event", outcome: "unrun"},
		{name: "future event", path: "/e/future/x", status: 503, kind: "notarget", outcome: "unrun", wantRetryAfter: true},
		{name: "no target", path: "/e/empty/x", status: 503, kind: "notarget", outcome: "unrun", wantRetryAfter: true},
		{name: "wrong key", path: "/e/engine/x", headers: []string{"Authorization", "Bearer no"}, status: 401, kind: "key", outcome: "unrun"},
		{name: "account not in event", path: "/e/engine/x", headers: []string{"Authorization", "Bearer other-key"}, status: 403, kind: "account", outcome: "unrun"},
		{name: "Lf-Repeat never without key", path: "/e/engine/x", headers: []string{"Lf-Repeat", "never"}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "malformed repeat", path: "/e/engine/x", headers: []string{"Lf-Repeat", "maybe"}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "long key", path: "/e/engine/x", headers: []string{"Idempotency-Key", strings.Repeat("k", 129)}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "malformed deadline", path: "/e/engine/x", headers: []string{"Lf-Deadline", "soon"}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "malformed cost", path: "/e/engine/x", headers: []string{"Lf-Cost", "-1"}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "deadline passed", path: "/e/engine/x", headers: []string{"Lf-Deadline", "2020-01-01T00:00:00Z"}, status: 504, kind: "deadline", outcome: "unrun", wantRetryAfter: true},
		{name: "body too large", path: "/e/engine/x", body: strings.Repeat("x", 9<<20), status: 413, kind: "toolarge", outcome: "unrun"},
		{name: "header too large", path: "/e/engine/x", headers: []string{"X-Long", strings.Repeat("x", 20<<10)}, status: 413, kind: "toolarge", outcome: "unrun"},
		{name: "unreachable target", path: "/e/dead/x", status: 503, kind: "notarget", outcome: "unrun", wantRetryAfter: true},
		{name: "garbage", path: "/e/garbage/x", status: 502, kind: "target", outcome: "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			method := http.MethodGet
			if tt.body != "" {
				method = http.MethodPost
			}
			response := f.do(method, tt.path, strings.NewReader(tt.body), tt.headers...)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, response.StatusCode, string(body))
			require.Equal(t, tt.outcome, response.Header.Get("Lf-Outcome"))
			require.NotEmpty(t, response.Header.Get("Lf-Request"))
			require.Equal(t, tt.wantRetryAfter, response.Header.Get("Retry-After") != "")
			if tt.kind != "" {
				var refusal struct{ Kind, Message, Remedy string }
				require.NoError(t, json.Unmarshal(body, &refusal))
				require.Equal(t, tt.kind, refusal.Kind)
				require.NotEmpty(t, refusal.Remedy)
			}
		})
	}
	for _, event := range []string{"short", "cut"} {
		require.Error(t, f.readResponse("/e/"+event+"/x"), "%s: an incomplete response must not look complete", event)
	}
	f.sendPartialRequests()
	require.Eventually(t, func() bool { return engine.Counts().Running == 0 }, 5*time.Second, 10*time.Millisecond)
	response := f.do(http.MethodGet, "/e/service/sheets", nil)
	require.Equal(t, http.StatusOK, response.StatusCode, "the router must still serve")
	require.NoError(t, response.Body.Close())
}

// readResponse reads a response to its end. It returns an error if the response is incomplete.
func (f *testFleet) readResponse(path string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.router+path, nil)
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err
}

// sendPartialRequests sends incomplete and malformed requests and disconnects after each.
func (f *testFleet) sendPartialRequests() {
	for _, text := range []string{"GET /e/eng", "POST /e/engine/x HTTP/1.1\r\nContent-Length: 50\r\n\r\nabc", "nonsense\r\n\r\n"} {
		conn, err := net.Dial("tcp", f.router)
		require.NoError(f.t, err)
		_, err = io.WriteString(conn, text)
		require.NoError(f.t, err)
		require.NoError(f.t, conn.Close())
	}
}

// Guards against slots held for callers that have disconnected while their streams run. The HTTP
// library does not report disconnects to a handler.
func TestDisconnectCancelsStreamAtTarget(t *testing.T) {
	engine, target := startStandin(t, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 2000, TokenInterval: fleet.Duration(5 * time.Millisecond)})
	target.Slots = 2
	f := startFleet(t, target)
	for _, body := range []string{`{"stream":true}`, `{"stream":true}`, `{"stream":true}`} {
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.router+"/e/engine/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+testKey)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		require.NoError(t, err)
		cancel()
		_ = response.Body.Close() // the request was cancelled
	}
	require.Eventually(t, func() bool { return engine.Counts().Cancelled == 3 }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return f.busySlots() == 0 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against a slot held for a caller that disconnects before an unstreamed response has
// begun, while another request waits for the slot.
func TestDisconnectFreesSlotOfUnstreamedRequest(t *testing.T) {
	engine, target := startStandin(t, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 2000, TokenInterval: fleet.Duration(5 * time.Millisecond)})
	target.Slots = 1
	f := startFleet(t, target)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.router+"/e/engine/v1/chat/completions", strings.NewReader(`{}`))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+testKey)
		_, err = http.DefaultClient.Do(request)
		require.Error(t, err)
		cancel()
		require.Eventually(t, func() bool { return f.busySlots() == 0 }, 5*time.Second, 10*time.Millisecond)
	}
	require.Equal(t, 2, engine.Counts().Started)
}

// Guards against a caller that holds a slot or memory without end. It requests a long stream,
// does not read it and then disconnects; the router must neither read ahead of its caller nor
// miss the disconnect.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	engine, target := startStandin(t, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 2_000_000})
	target.Slots = 2
	f := startFleet(t, target)
	conn, err := net.Dial("tcp", f.router)
	require.NoError(t, err)
	body := `{"stream":true}`
	_, err = fmt.Fprintf(conn, "POST /e/engine/v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return engine.Counts().Running == 1 }, 5*time.Second, 10*time.Millisecond)
	response := f.do(http.MethodPost, "/e/engine/v1/chat/completions", strings.NewReader(`{"max_tokens":2}`))
	require.Equal(t, http.StatusOK, response.StatusCode, "other callers must be served")
	require.NoError(t, response.Body.Close())
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return f.busySlots() == 0 && engine.Counts().Running == 0 }, 10*time.Second, 20*time.Millisecond)
}

// busySlots returns the number of slots in use according to the router's state.
func (f *testFleet) busySlots() int {
	response, err := http.Get("http://" + f.admin + "/state")
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Targets []struct{ Busy int }
	}
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&state))
	busy := 0
	for _, target := range state.Targets {
		busy += target.Busy
	}
	return busy
}

// Guards against a stopping router that runs for as long as a target is silent. The request in
// progress does not end, so the stop must be limited by the grace period.
func TestStopEndsAfterGracePeriod(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }() // nothing else uses it
	f := startFleetWith(t, &settings.Routing{GracePeriod: time.Millisecond}, fleet.Target{Name: "mute", Address: listener.Addr().String(), Kind: fleet.TargetEngine, Slots: 8})
	callerConn, err := net.Dial("tcp", f.router)
	require.NoError(t, err)
	defer func() { _ = callerConn.Close() }() // may be closed already
	_, err = fmt.Fprintf(callerConn, "POST /e/mute/v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", testKey)
	require.NoError(t, err)
	targetConn, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = targetConn.Close() }() // it never responds
	_, err = targetConn.Read(make([]byte, 1))
	require.NoError(t, err)
	f.stop()
	select {
	case err := <-f.done:
		f.done <- err // for the cleanup
	case <-time.After(20 * time.Second):
		require.Fail(t, "the router did not stop after its grace period")
	}
}
