// Package standin is a stand-in for a model engine or a plain service, with
// faults to order. It counts the runs of each key, so that a test can see a
// request that ran twice.
package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/tomlfile"
)

// A Settings is the settings of lf-standin. Cut, Refuse and Late are the parts
// of requests, from 0 to 1, that meet the fault.
type Settings struct {
	Name   string           `toml:"name"`
	Listen string           `toml:"listen"`
	Kind   fleet.TargetKind `toml:"kind"`
	Seed   uint64           `toml:"seed"`
	Fenced bool             `toml:"fenced"`
	// Delay is the time to the first token or to a service's answer, Pace the
	// time between tokens, Tokens how many an answer has unless it asks.
	Delay          fleet.Duration `toml:"delay"`
	TokenInterval  fleet.Duration `toml:"pace"`
	Tokens         int            `toml:"tokens"`
	CutFraction    float64        `toml:"cut"`
	RefuseFraction float64        `toml:"refuse"`
	LateFraction   float64        `toml:"late"`
	// Crash is a text that ends the program where a request's body holds it: as soon as
	// it begins to run, while others run beside it.
	CrashText string `toml:"crash"`
	LogLevel  string `toml:"level"`
	LogFormat string `toml:"format"`
}

const (
	defaultTokens = 24
	lateFactor    = 20
	thumbSize     = 4096
	// crashCode is the exit code of one that ends to order.
	crashCode = 7
)

// Read reads and checks the settings.
func ReadSettings(file string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(file)
	if err != nil {
		return s, &tomlfile.Error{File: file, Message: err.Error(), Remedy: "name a readable settings file with --config"}
	}
	lines, err := tomlfile.Decode(file, data, &s)
	if err != nil {
		return s, err
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		return s, lines.Errorf("listen", `write "IP:PORT"`, "%q is no address", s.Listen)
	}
	if s.Kind != fleet.TargetEngine && s.Kind != fleet.TargetService {
		return s, lines.Errorf("kind", `write "engine" or "service"`, "%q is no kind", s.Kind)
	}
	return s, nil
}

// A Standin is one stand-in. Set the exported fields, then call Run.
type Standin struct {
	Settings Settings
	Log      hclog.Logger

	mu       sync.Mutex
	random   *rand.Rand
	runs     map[string]int
	counts   Counts
	fence    uint64
	orders   []Command
	listener net.Listener
	vms      []byte // the platform's list, as JSON
}

// Counts is what a stand-in has seen.
type Counts struct {
	Started    int            `json:"started"`
	Finished   int            `json:"finished"`
	Cancelled  int            `json:"cancelled"`
	Running    int            `json:"running"`
	MaxRunning int            `json:"most"` // most running at a time
	RunsByKey  map[string]int `json:"runs"` // by Idempotency-Key
}

// An Order is an order of the fleet to a target.
type Command struct {
	FencingToken uint64 `json:"fence"`
	Action       string `json:"do"`
	Model        string `json:"model"`
}

// Listen opens the address, so that it is known before Run.
func (s *Standin) Listen() (string, error) {
	l, err := net.Listen("tcp", s.Settings.Listen)
	if err != nil {
		return "", fmt.Errorf("listen (free the address or change listen): %w", err)
	}
	s.listener = l
	return l.Addr().String(), nil
}

// Run serves until ctx ends.
func (s *Standin) Run(ctx context.Context) error {
	s.random = rand.New(rand.NewPCG(s.Settings.Seed, 1))
	s.runs = make(map[string]int)
	if s.listener == nil {
		if _, err := s.Listen(); err != nil {
			return err
		}
	}
	server := &fasthttp.Server{Handler: s.serve, NoDefaultServerHeader: true, CloseOnShutdown: true}
	errs := make(chan error, 1)
	go func() { errs <- server.Serve(s.listener) }()
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
		return server.Shutdown()
	}
}

// Counts returns what the stand-in has seen.
func (s *Standin) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.RunsByKey = make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		c.RunsByKey[k] = n
	}
	return c
}

func (s *Standin) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/-/counts":
		writeJSON(ctx, s.Counts())
		return
	case "/-/order":
		s.takeOrder(ctx)
		return
	case "/vms":
		s.serveVMs(ctx)
		return
	}
	if s.hits(s.Settings.RefuseFraction) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.begin(string(ctx.Request.Header.Peek("Idempotency-Key")))
	delay := time.Duration(s.Settings.Delay)
	if s.hits(s.Settings.LateFraction) {
		delay *= lateFactor
	}
	time.Sleep(delay)
	if crash := s.Settings.CrashText; crash != "" && bytes.Contains(ctx.PostBody(), []byte(crash)) {
		os.Exit(crashCode)
	}
	switch {
	case s.Settings.Kind == fleet.TargetEngine:
		s.complete(ctx)
	case strings.HasPrefix(path, "/thumbs/"):
		ctx.SetContentType("image/png")
		ctx.SetBody(thumb(path))
		s.finish(true)
	default:
		writeJSON(ctx, sheetList{Path: path, Sheets: []string{"A-101", "A-102", "S-201"}})
		s.finish(true)
	}
}

// sheetList is a plain service's answer.
type sheetList struct {
	Path   string   `json:"path"`
	Sheets []string `json:"sheets"`
}

// thumb returns bytes that depend on the path, so that a crossed answer shows.
func thumb(path string) []byte {
	r := rand.New(rand.NewPCG(uint64(len(path)), uint64(path[len(path)-1])))
	b := make([]byte, thumbSize)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// chatRequest is the part of a chat completion that a stand-in heeds.
type chatRequest struct {
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (s *Standin) complete(ctx *fasthttp.RequestCtx) {
	var req chatRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		s.finish(true)
		return
	}
	tokens := s.tokens(req)
	echo := ""
	if n := len(req.Messages); n > 0 {
		echo = req.Messages[n-1].Content
	}
	cutAt := -1
	if s.hits(s.Settings.CutFraction) {
		cutAt = tokens / 2
	}
	if !req.Stream {
		s.completeWhole(ctx, echo, tokens, cutAt)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		err := s.stream(w, echo, tokens, cutAt)
		if errors.Is(err, errCut) {
			_ = ctx.Conn().Close() // the fault that was ordered
		}
		s.finish(err == nil)
	})
}

var errCut = errors.New("cut to order")

func (s *Standin) tokens(req chatRequest) int {
	switch {
	case req.MaxTokens > 0:
		return req.MaxTokens
	case s.Settings.Tokens > 0:
		return s.Settings.Tokens
	default:
		return defaultTokens
	}
}

func (s *Standin) completeWhole(ctx *fasthttp.RequestCtx, echo string, tokens, cutAt int) {
	time.Sleep(time.Duration(tokens) * time.Duration(s.Settings.TokenInterval))
	if cutAt >= 0 {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		s.finish(false)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(fmt.Sprintf(`{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		strings.Repeat("tok ", tokens)+echo, len(echo), tokens, len(echo)+tokens))
	s.finish(true)
}

func (s *Standin) stream(w *bufio.Writer, echo string, tokens, cutAt int) error {
	for i := range tokens {
		if i == cutAt {
			return errCut
		}
		if _, err := fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", i); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		time.Sleep(time.Duration(s.Settings.TokenInterval))
	}
	_, err := fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}],\"usage\":{\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", echo, len(echo)+tokens)
	if err != nil {
		return err
	}
	return w.Flush()
}

// takeOrder carries out an order unless its fencing number is old. A stand-in
// that is not fenced carries out any.
func (s *Standin) takeOrder(ctx *fasthttp.RequestCtx) {
	var o Command
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Settings.Fenced && o.FencingToken < s.fence {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	s.fence = max(s.fence, o.FencingToken)
	s.orders = append(s.orders, o)
}

// serveVMs stands in for the platform's list of VMs. A PUT sets it.
func (s *Standin) serveVMs(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.IsPut() {
		s.vms = append([]byte(nil), ctx.PostBody()...)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append([]byte(nil), s.vms...))
	if len(s.vms) == 0 {
		ctx.SetBodyString("[]")
	}
}

func (s *Standin) hits(part float64) bool {
	if part <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < part
}

func (s *Standin) begin(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Started++
	s.counts.Running++
	s.counts.MaxRunning = max(s.counts.MaxRunning, s.counts.Running)
	if key != "" {
		s.runs[key]++
	}
}

func (s *Standin) finish(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
	if whole {
		s.counts.Finished++
		return
	}
	s.counts.Cancelled++
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
