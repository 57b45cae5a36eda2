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

// small is one keeper and one router in this process, before given targets.
type small struct {
	t      testing.TB
	router string
	admin  string
	stop   context.CancelFunc
	ended  chan error
}

func freeAddress(t testing.TB) string {
	address, err := standin.ReserveAddress()
	require.NoError(t, err)
	return address
}

// start runs the fleet and puts a configuration with the targets in force: one
// event by the name of each, and "all" with all of them.
func start(t testing.TB, targets ...fleet.Target) *small {
	return startWith(t, nil, targets...)
}

// startWith does so with settings of a router's routes.
func startWith(t testing.TB, routes *settings.Routes, targets ...fleet.Target) *small {
	folder := t.TempDir()
	secret := filepath.Join(folder, "secret")
	require.NoError(t, os.WriteFile(secret, []byte("0123456789abcdef"), 0o600))
	keeperAddress := freeAddress(t)
	s := &small{t: t, router: freeAddress(t), admin: freeAddress(t)}
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	log := hclog.NewNullLogger()
	k := &keeper.Keeper{
		Settings: settings.Keeper{
			Name: "k1", Zone: "z", Listen: keeperAddress, Admin: freeAddress(t), Data: folder,
			Peers: []string{"k1=" + keeperAddress}, Secret: secret,
		},
		Log: log, Clock: clock.NewRealClock(), Disk: &journal.RealDisk{Folder: filepath.Join(folder, "k1")}, Init: true,
	}
	r := &router.Router{
		Settings: settings.Router{Name: "r1", Zone: "z", Listen: s.router, Admin: s.admin, Keepers: []string{keeperAddress}, Secret: secret, Routes: routes},
		Log:      log, Clock: clock.NewRealClock(),
	}
	g.Go(func() error { return k.Run(ctx) })
	g.Go(func() error { return r.Run(ctx) })
	s.stop, s.ended = cancel, make(chan error, 1)
	go func() { s.ended <- g.Wait() }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-s.ended:
			require.NoError(t, err)
		case <-time.After(30 * time.Second):
			require.Fail(t, "the fleet did not stop")
		}
	})
	s.apply(keeperAddress, secret, targets)
	return s
}

func (s *small) apply(address, secret string, targets []fleet.Target) {
	c := fleet.Config{
		Number:   1,
		Accounts: []fleet.Account{{Name: "regina", Share: 1, Keys: []string{fleet.KeyDigest(testKey)}}, {Name: "other", Share: 1, Keys: []string{fleet.KeyDigest("other-key")}}},
	}
	all := fleet.Event{Name: "all", Accounts: []string{"regina"}}
	for _, target := range targets {
		target.Zone, target.State = "z", fleet.TargetLive
		c.Targets = append(c.Targets, target)
		all.Targets = append(all.Targets, target.Name)
		c.Events = append(c.Events, fleet.Event{Name: target.Name, Accounts: []string{"regina"}, Targets: []string{target.Name}})
	}
	c.Events = append(c.Events, all,
		fleet.Event{Name: "past", End: time.Unix(1, 0), Accounts: []string{"regina"}},
		fleet.Event{Name: "future", Start: time.Now().Add(time.Hour), Accounts: []string{"regina"}},
		fleet.Event{Name: "empty", Accounts: []string{"regina"}})
	require.NoError(s.t, c.Validate())
	applyConfig(s.t, address, secret, c)
}

func (s *small) request(method, path string, body io.Reader, headers ...string) *http.Response {
	req, err := http.NewRequest(method, "http://"+s.router+path, body)
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	return resp
}

func engine(t testing.TB, s standin.Settings) (*standin.Standin, fleet.Target) {
	s.Listen = "127.0.0.1:0"
	e := &standin.Standin{Settings: s}
	address, err := e.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return e, fleet.Target{Name: s.Name, Address: address, Kind: s.Kind, Slots: 8}
}

// rawTarget answers each connection with the bytes given, and closes.
func rawTarget(t testing.TB, name, answer string) fleet.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buf := make([]byte, 4096)
				if _, err := c.Read(buf); err == nil {
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return fleet.Target{Name: name, Address: l.Addr().String(), Kind: fleet.TargetService, Slots: 4}
}

func TestOutsideInterface(t *testing.T) {
	e, engineTarget := engine(t, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 3})
	_, serviceTarget := engine(t, standin.Settings{Name: "service", Kind: fleet.TargetService})
	dead := fleet.Target{Name: "dead", Address: freeAddress(t), Kind: fleet.TargetService, Slots: 4}
	s := start(t, engineTarget, serviceTarget, dead,
		rawTarget(t, "garbage", "\x16\x03nonsense\r\n\r\n"),
		rawTarget(t, "short", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc"),
		rawTarget(t, "cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"))
	chat := `{"messages":[{"role":"user","content":"hi"}]}`
	tests := []struct {
		name, path, body string
		headers          []string
		status           int
		kind, outcome    string
		retry            bool
	}{
		{name: "chat", path: "/e/engine/v1/chat/completions", body: chat, status: 200, outcome: "ran"},
		{name: "stream", path: "/e/engine/v1/chat/completions", body: `{"stream":true}`, status: 200, outcome: "ran"},
		{name: "thumbnail", path: "/e/service/thumbs/1", status: 200, outcome: "ran"},
		{name: "sheet list", path: "/e/service/sheets?of=1", status: 200, outcome: "ran"},
		{name: "target's own refusal", path: "/e/engine/v1/chat/completions", body: "{", status: 400, outcome: "ran"},
		{name: "no event in the path", path: "/v1/models", status: 404, kind: "event", outcome: "unrun"},
		{name: "unknown event", path: "/e/nope/x", status: 404, kind: "event", outcome: "unrun"},
		{name: "ended event", path: "/e/past/x", status: 404, kind: "event", outcome: "unrun"},
		{name: "event to come", path: "/e/future/x", status: 503, kind: "notarget", outcome: "unrun", retry: true},
		{name: "no target", path: "/e/empty/x", status: 503, kind: "notarget", outcome: "unrun", retry: true},
		{name: "wrong key", path: "/e/engine/x", headers: []string{"Authorization", "Bearer no"}, status: 401, kind: "key", outcome: "unrun"},
		{name: "account not in event", path: "/e/engine/x", headers: []string{"Authorization", "Bearer other-key"}, status: 403, kind: "account", outcome: "unrun"},
		{name: "never without key", path: "/e/engine/x", headers: []string{"Lf-Repeat", "never"}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "odd repeat", path: "/e/engine/x", headers: []string{"Lf-Repeat", "maybe"}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "long key", path: "/e/engine/x", headers: []string{"Idempotency-Key", strings.Repeat("k", 129)}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "odd deadline", path: "/e/engine/x", headers: []string{"Lf-Deadline", "soon"}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "odd cost", path: "/e/engine/x", headers: []string{"Lf-Cost", "-1"}, status: 400, kind: "malformed", outcome: "unrun"},
		{name: "deadline passed", path: "/e/engine/x", headers: []string{"Lf-Deadline", "2020-01-01T00:00:00Z"}, status: 504, kind: "deadline", outcome: "unrun", retry: true},
		{name: "body too large", path: "/e/engine/x", body: strings.Repeat("x", 9<<20), status: 413, kind: "toolarge", outcome: "unrun"},
		{name: "header too large", path: "/e/engine/x", headers: []string{"X-Long", strings.Repeat("x", 20<<10)}, status: 413, kind: "toolarge", outcome: "unrun"},
		{name: "nobody there", path: "/e/dead/x", status: 503, kind: "notarget", outcome: "unrun", retry: true},
		{name: "garbage", path: "/e/garbage/x", status: 502, kind: "target", outcome: "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			method := http.MethodGet
			if tt.body != "" {
				method = http.MethodPost
			}
			resp := s.request(method, tt.path, strings.NewReader(tt.body), tt.headers...)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, string(body))
			require.Equal(t, tt.outcome, resp.Header.Get("Lf-Outcome"))
			require.NotEmpty(t, resp.Header.Get("Lf-Request"))
			require.Equal(t, tt.retry, resp.Header.Get("Retry-After") != "")
			if tt.kind != "" {
				var refusal struct{ Kind, Message, Remedy string }
				require.NoError(t, json.Unmarshal(body, &refusal))
				require.Equal(t, tt.kind, refusal.Kind)
				require.NotEmpty(t, refusal.Remedy)
			}
		})
	}
	for _, event := range []string{"short", "cut"} {
		require.Error(t, s.readWhole("/e/"+event+"/x"), "%s: a broken answer never looks whole", event)
	}
	s.halfARequest()
	require.Eventually(t, func() bool { return e.Counts().Running == 0 }, 5*time.Second, 10*time.Millisecond)
	resp := s.request(http.MethodGet, "/e/service/sheets", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode, "the router goes on")
	require.NoError(t, resp.Body.Close())
}

// readWhole returns an error unless the answer is whole.
func (s *small) readWhole(path string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+s.router+path, nil)
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

// halfARequest sends a part of a request and goes away.
func (s *small) halfARequest() {
	for _, part := range []string{"GET /e/eng", "POST /e/engine/x HTTP/1.1\r\nContent-Length: 50\r\n\r\nabc", "nonsense\r\n\r\n"} {
		c, err := net.Dial("tcp", s.router)
		require.NoError(s.t, err)
		_, err = io.WriteString(c, part)
		require.NoError(s.t, err)
		require.NoError(s.t, c.Close())
	}
}

// Symptom: slots are held for callers that went away.
// Sequence: a caller leaves while its request runs, streamed or not, or waits.
// Cause: the HTTP library tells a handler nothing of it.
func TestCallerThatLeavesCancelsAtTheTarget(t *testing.T) {
	e, target := engine(t, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 2000, TokenInterval: fleet.Duration(5 * time.Millisecond)})
	target.Slots = 2
	s := start(t, target)
	for _, body := range []string{`{"stream":true}`, `{"stream":true}`, `{"stream":true}`} {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.router+"/e/engine/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		require.NoError(t, err)
		cancel()
		_ = resp.Body.Close() // it was cancelled
	}
	require.Eventually(t, func() bool { return e.Counts().Cancelled == 3 }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return s.busy() == 0 }, 5*time.Second, 10*time.Millisecond)
}

// Symptom: as above, for a request whose answer has not begun.
// Sequence: a caller leaves while its request, not streamed, runs; another
// waits for the slot.
func TestCallerThatLeavesUnstreamedRequest(t *testing.T) {
	e, target := engine(t, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 2000, TokenInterval: fleet.Duration(5 * time.Millisecond)})
	target.Slots = 1
	s := start(t, target)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.router+"/e/engine/v1/chat/completions", strings.NewReader(`{}`))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		_, err = http.DefaultClient.Do(req)
		require.Error(t, err)
		cancel()
		require.Eventually(t, func() bool { return s.busy() == 0 }, 5*time.Second, 10*time.Millisecond)
	}
	require.Equal(t, 2, e.Counts().Started)
}

// Symptom: a caller that reads nothing holds a slot, or memory, without end.
// Sequence: it asks for a long stream and does not read; then it leaves.
// Cause: the router reads ahead of its caller, or never notices.
func TestSlowReaderHoldsNoMoreThanItsOwnRequest(t *testing.T) {
	e, target := engine(t, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 2_000_000})
	target.Slots = 2
	s := start(t, target)
	c, err := net.Dial("tcp", s.router)
	require.NoError(t, err)
	body := `{"stream":true}`
	_, err = fmt.Fprintf(c, "POST /e/engine/v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return e.Counts().Running == 1 }, 5*time.Second, 10*time.Millisecond)
	resp := s.request(http.MethodPost, "/e/engine/v1/chat/completions", strings.NewReader(`{"max_tokens":2}`))
	require.Equal(t, http.StatusOK, resp.StatusCode, "others are served")
	require.NoError(t, resp.Body.Close())
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return s.busy() == 0 && e.Counts().Running == 0 }, 10*time.Second, 20*time.Millisecond)
}

// busy returns the slots that the router's state shows in use.
func (s *small) busy() int {
	resp, err := http.Get("http://" + s.admin + "/state")
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	var v struct {
		Targets []struct{ Busy int }
	}
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&v))
	n := 0
	for _, target := range v.Targets {
		n += target.Busy
	}
	return n
}

// Symptom: a router that was told to stop goes on for as long as a target is silent.
// Sequence: a request is in progress when it is told to stop, and does not end.
// Cause: the stop waited for what is in progress without a bound.
func TestStoppingEndsWithTheGrace(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }() // nothing else uses it
	s := startWith(t, &settings.Routes{Grace: time.Millisecond}, fleet.Target{Name: "mute", Address: l.Addr().String(), Kind: fleet.TargetEngine, Slots: 8})
	caller, err := net.Dial("tcp", s.router)
	require.NoError(t, err)
	defer func() { _ = caller.Close() }() // it may be closed already
	_, err = fmt.Fprintf(caller, "POST /e/mute/v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", testKey)
	require.NoError(t, err)
	target, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = target.Close() }() // it never answers
	_, err = target.Read(make([]byte, 1))
	require.NoError(t, err)
	s.stop()
	select {
	case err := <-s.ended:
		s.ended <- err // for the cleanup
	case <-time.After(20 * time.Second):
		require.Fail(t, "it goes on")
	}
}
