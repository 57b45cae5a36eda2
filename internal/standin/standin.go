// Package standin provides stand-ins for the surroundings of a fleet, for tests and
// demonstrations: model engines and plain services, the platform with its list of targets,
// callers, an operator, a load balancer, and a proxy that simulates a faulty network.
//
// A Standin is a model engine or a plain service with configurable faults. It counts the runs of
// each idempotency key, so that a test can detect a request that ran twice.
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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/tomlfile"
)

// Settings are the settings of lf-standin. CutFraction, RefuseFraction and LateFraction are the
// fractions of requests, from 0 to 1, that get the fault.
type Settings struct {
	Name   string           `toml:"name"`
	Listen string           `toml:"listen"`
	Kind   fleet.TargetKind `toml:"kind"`
	Seed   uint64           `toml:"seed"`
	Fenced bool             `toml:"fenced"`
	// Delay is the time to the first token of an engine or to the response of a service.
	// TokenInterval is the time between tokens, and Tokens the number of tokens of a response
	// unless the request sets it.
	Delay          fleet.Duration `toml:"delay"`
	TokenInterval  fleet.Duration `toml:"pace"`
	Tokens         int            `toml:"tokens"`
	CutFraction    float64        `toml:"cut"`
	RefuseFraction float64        `toml:"refuse"`
	LateFraction   float64        `toml:"late"`
	// Backoff is the Retry-After of refused requests, in whole seconds; 0 for none. Leaving makes all
	// responses say that the target leaves.
	Backoff fleet.Duration `toml:"backoff"`
	Leaving bool           `toml:"leaving"`
	// CrashText makes the process exit when it starts to execute a request whose body contains
	// the text, while other requests may be in progress.
	CrashText string `toml:"crash"`
	LogLevel  string `toml:"level"`
	LogFormat string `toml:"format"`
}

const (
	defaultTokens   = 24
	lateDelayFactor = 20
	thumbnailSize   = 4096
	// crashExitCode is the exit code of a process that CrashText ends.
	crashExitCode = 7
)

// ReadSettings reads and validates a settings file.
func ReadSettings(file string) (Settings, error) {
	var settings Settings
	data, err := os.ReadFile(file)
	if err != nil {
		return settings, &tomlfile.Error{File: file, Message: err.Error(), Remedy: "name a readable settings file with --config"}
	}
	lines, err := tomlfile.Decode(file, data, &settings)
	if err != nil {
		return settings, err
	}
	if _, _, err := net.SplitHostPort(settings.Listen); err != nil {
		return settings, lines.Errorf("listen", `write "IP:PORT"`, "%q is not an address", settings.Listen)
	}
	if settings.Kind != fleet.TargetEngine && settings.Kind != fleet.TargetService {
		return settings, lines.Errorf("kind", `write "engine" or "service"`, "%q is not a kind of target", settings.Kind)
	}
	return settings, nil
}

// A Standin is a model engine or a plain service. Set the exported fields, then call Run.
type Standin struct {
	Settings Settings
	Log      hclog.Logger

	mu           sync.Mutex
	random       *rand.Rand
	runsByKey    map[string]int
	counts       Counts
	fencingToken uint64
	commands     []Command
	listener     net.Listener
	vmList       []byte // the platform's list of VMs as JSON
}

// Counts are the numbers of requests since the start.
type Counts struct {
	Started    int            `json:"started"`
	Finished   int            `json:"finished"`
	Cancelled  int            `json:"cancelled"`
	Running    int            `json:"running"`
	MaxRunning int            `json:"most"` // highest number of concurrent requests
	RunsByKey  map[string]int `json:"runs"` // by Idempotency-Key
}

// A Command is a command of the control plane to a target.
type Command struct {
	FencingToken uint64 `json:"fence"`
	Action       string `json:"do"`
	Model        string `json:"model"`
}

// Listen opens the listener, so that the address is known before Run. It returns that address.
func (s *Standin) Listen() (string, error) {
	listener, err := net.Listen("tcp", s.Settings.Listen)
	if err != nil {
		return "", fmt.Errorf("listen (free the address or change listen): %w", err)
	}
	s.listener = listener
	return listener.Addr().String(), nil
}

// Run serves requests until ctx ends.
func (s *Standin) Run(ctx context.Context) error {
	s.mu.Lock()
	s.random = rand.New(rand.NewPCG(s.Settings.Seed, 1))
	s.runsByKey = make(map[string]int)
	s.mu.Unlock()
	if s.listener == nil {
		if _, err := s.Listen(); err != nil {
			return err
		}
	}
	server := &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, CloseOnShutdown: true}
	errs := make(chan error, 1)
	go func() { errs <- server.Serve(s.listener) }()
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
		return server.Shutdown()
	}
}

// Counts returns a copy of the current counts.
func (s *Standin) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.RunsByKey = make(map[string]int, len(s.runsByKey))
	for key, runs := range s.runsByKey {
		counts.RunsByKey[key] = runs
	}
	return counts
}

func (s *Standin) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/-/counts":
		writeJSON(ctx, s.Counts())
		return
	case "/-/order":
		s.handleCommand(ctx)
		return
	case "/vms":
		s.handleVMList(ctx)
		return
	}
	if s.Settings.Leaving {
		ctx.Response.Header.Set(backpressure.HeaderLeaving, "1")
	}
	if s.drawFault(s.Settings.RefuseFraction) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		if backoff := time.Duration(s.Settings.Backoff); backoff > 0 {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(backoff.Seconds())))
		}
		return
	}
	s.recordStart(string(ctx.Request.Header.Peek("Idempotency-Key")))
	delay := time.Duration(s.Settings.Delay)
	if s.drawFault(s.Settings.LateFraction) {
		delay *= lateDelayFactor
	}
	time.Sleep(delay)
	if crashText := s.Settings.CrashText; crashText != "" && bytes.Contains(ctx.PostBody(), []byte(crashText)) {
		os.Exit(crashExitCode)
	}
	switch {
	case s.Settings.Kind == fleet.TargetEngine:
		s.handleCompletion(ctx)
	case strings.HasPrefix(path, "/thumbs/"):
		ctx.SetContentType("image/png")
		ctx.SetBody(thumbnail(path))
		s.recordEnd(true)
	default:
		writeJSON(ctx, serviceResponse{Path: path, Sheets: []string{"A-101", "A-102", "S-201"}})
		s.recordEnd(true)
	}
}

// serviceResponse is the response of a plain service.
type serviceResponse struct {
	Path   string   `json:"path"`
	Sheets []string `json:"sheets"`
}

// thumbnail returns bytes that depend on the path, so that a response to another request is
// detected.
func thumbnail(path string) []byte {
	random := rand.New(rand.NewPCG(uint64(len(path)), uint64(path[len(path)-1])))
	image := make([]byte, thumbnailSize)
	for i := range image {
		image[i] = byte(random.Uint32())
	}
	return image
}

// completionRequest holds the fields of a chat completion request that a Standin uses.
type completionRequest struct {
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (s *Standin) handleCompletion(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		s.recordEnd(true)
		return
	}
	tokens := s.tokenCount(request)
	echo := ""
	if count := len(request.Messages); count > 0 {
		echo = request.Messages[count-1].Content
	}
	cutAt := -1
	if s.drawFault(s.Settings.CutFraction) {
		cutAt = tokens / 2
	}
	if !request.Stream {
		s.respondWhole(ctx, echo, tokens, cutAt)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		err := s.writeStream(w, echo, tokens, cutAt)
		if errors.Is(err, errCutByFault) {
			_ = ctx.Conn().Close() // the injected fault
		}
		s.recordEnd(err == nil)
	})
}

var errCutByFault = errors.New("response cut by an injected fault")

func (s *Standin) tokenCount(request completionRequest) int {
	switch {
	case request.MaxTokens > 0:
		return request.MaxTokens
	case s.Settings.Tokens > 0:
		return s.Settings.Tokens
	default:
		return defaultTokens
	}
}

func (s *Standin) respondWhole(ctx *fasthttp.RequestCtx, echo string, tokens, cutAt int) {
	time.Sleep(time.Duration(tokens) * time.Duration(s.Settings.TokenInterval))
	if cutAt >= 0 {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		s.recordEnd(false)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(fmt.Sprintf(`{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		strings.Repeat("tok ", tokens)+echo, len(echo), tokens, len(echo)+tokens))
	s.recordEnd(true)
}

func (s *Standin) writeStream(w *bufio.Writer, echo string, tokens, cutAt int) error {
	for i := range tokens {
		if i == cutAt {
			return errCutByFault
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

// handleCommand executes a command unless its fencing token is lower than one seen before.
// Without the setting Fenced it executes every command.
func (s *Standin) handleCommand(ctx *fasthttp.RequestCtx) {
	var command Command
	if err := json.Unmarshal(ctx.PostBody(), &command); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Settings.Fenced && command.FencingToken < s.fencingToken {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	s.fencingToken = max(s.fencingToken, command.FencingToken)
	s.commands = append(s.commands, command)
}

// handleVMList stands in for the platform's list of VMs. A PUT replaces the list.
func (s *Standin) handleVMList(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.IsPut() {
		s.vmList = append([]byte(nil), ctx.PostBody()...)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append([]byte(nil), s.vmList...))
	if len(s.vmList) == 0 {
		ctx.SetBodyString("[]")
	}
}

func (s *Standin) drawFault(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < fraction
}

func (s *Standin) recordStart(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Started++
	s.counts.Running++
	s.counts.MaxRunning = max(s.counts.MaxRunning, s.counts.Running)
	if key != "" {
		s.runsByKey[key]++
	}
}

func (s *Standin) recordEnd(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
	if complete {
		s.counts.Finished++
		return
	}
	s.counts.Cancelled++
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
