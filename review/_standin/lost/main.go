// Lost checks that a router under a burst of long requests keeps within its memory, so that the platform
// does not kill it together with the requests that it has passed on.
package main

import (
	"context"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumfall/review/_standin/lab"
)

const (
	routerCount = 2
	serverCount = 6
	// uploaders is how many clients a router has that send long requests. In a burst, burstTenths tenths
	// of that come. The pages' largest burst is 1.7 times, for 3 s.
	uploaders   = 45
	burstTenths = 17
	burstTime   = 3 * time.Second
	burstPeriod = 9 * time.Second
	bursts      = 3
	// uploadBytes is within max_body_bytes of the configuration. With uploadRate, in bytes a second, all
	// uploaders of a burst and what a router passes on for them stay under the 125 MB/s of its link.
	uploadBytes = 4_000_000
	uploadRate  = 0.8e6
	keptClients = 12 // of a router, with short requests on connections that they keep
	workTime    = 400 * time.Millisecond
	deadline    = 12 * time.Second
	apiKey      = "k7b2ex5wa5xwyhks8nbk"
	hostname    = "ficu95.example"
	path        = "/lohu930/2f"
	// maxLost is how many requests from kept connections a machine may lose at any time.
	maxLost = 3
)

func main() {
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	l, err := lab.New(*record, []string{"regina-hall", "saskatoon-hall", "winnipeg-hall"})
	if err != nil {
		l.Finish(err)
	}
	l.Finish(run(l))
}

func run(l *lab.Lab) error {
	if err := l.StartFleet(5, routerCount); err != nil {
		return err
	}
	h := &history{ran: make(map[string]bool)}
	for i := range serverCount {
		if err := startServer(l, h, i); err != nil {
			return err
		}
	}
	if err := l.Order(l.Keepers, http.MethodPut, "/laburnumfall/config", []byte(config)); err != nil {
		return err
	}
	if err := l.AwaitReady(); err != nil {
		return err
	}
	l.Notef("all are ready; trouble %t", l.Trouble)
	ctx, cancel := context.WithTimeout(context.Background(), (bursts+1)*burstPeriod)
	defer cancel()
	var group sync.WaitGroup
	for _, router := range l.Routers {
		group.Go(func() { watchMemory(ctx, l, router, h) })
		for range keptClients {
			group.Go(func() { keptClient(ctx, l, h, router) })
		}
		for range uploaders {
			group.Go(func() {
				time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
				uploader(ctx, l, router)
			})
		}
	}
	if l.Trouble {
		group.Go(func() { playBursts(ctx, l) })
	}
	group.Wait()
	return h.check(l)
}

// playBursts lets more clients come at once.
func playBursts(ctx context.Context, l *lab.Lab) {
	for range bursts {
		time.Sleep(burstPeriod - burstTime)
		more := uploaders*burstTenths/10 - uploaders
		l.Notef("a burst: %d more clients at each router for %s", more, burstTime)
		burstCtx, cancel := context.WithTimeout(ctx, burstTime)
		for _, router := range l.Routers {
			for range more {
				go uploader(burstCtx, l, router)
			}
		}
		<-burstCtx.Done()
		cancel()
	}
}

// watchMemory does what the platform does: a process that uses more than memory_mb is killed, and
// started again after a short delay.
func watchMemory(ctx context.Context, l *lab.Lab, router *lab.Process, h *history) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		used := residentBytes(router.PID())
		h.notePeak(router.Name, used)
		if used <= lab.RouterMemory {
			continue
		}
		l.Notef("platform: %s uses %d MB of %d and is killed", router.Name, used>>20, lab.RouterMemory>>20)
		router.Signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		if err := router.Start(); err != nil {
			l.Notef("platform: %s does not start again: %v", router.Name, err)
			return
		}
		l.Notef("platform: %s is started again", router.Name)
	}
}

func residentBytes(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// A history holds which requests ran, and which from kept connections were lost at each router.
type history struct {
	mu             sync.Mutex
	ran            map[string]bool
	lost           map[string][]string
	peak           map[string]int64
	answered, kept int
}

func (h *history) notePeak(router string, used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peak == nil {
		h.peak = make(map[string]int64)
	}
	h.peak[router] = max(h.peak[router], used)
}

func (h *history) check(l *lab.Lab) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for router, used := range h.peak {
		l.Notef("%s used %d MB at its peak, of %d", router, used>>20, lab.RouterMemory>>20)
	}
	l.Notef("requests on kept connections: %d, %d answered", h.kept, h.answered)
	for router, lost := range h.lost {
		var passedOn []string
		for _, attempt := range lost {
			if h.ran[attempt] {
				passedOn = append(passedOn, attempt)
			}
		}
		l.Notef("%s closed %d kept connections without an answer; %d of the requests had been passed on to a server", router, len(lost), len(passedOn))
		if len(passedOn) > maxLost {
			l.Brokenf("LOST: %s passed %d requests from kept connections on to sound servers and closed these connections without an answer", router, len(passedOn))
		}
	}
	if h.answered == 0 {
		return errors.New("nothing was answered")
	}
	return nil
}

func startServer(l *lab.Lab, h *history, i int) error {
	address, id := fmt.Sprintf("%s:%d", l.IP(lab.FirstServerHost+i), lab.ServerPort), fmt.Sprintf("i-%08x", rand.Uint32())
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: 3 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Instance-Id", id)
		if r.URL.Path == "/healthz" {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		l.Notef("server %s runs request %s", id, attempt)
		h.mu.Lock()
		h.ran[attempt] = true
		h.mu.Unlock()
		if r.ContentLength < uploadBytes {
			time.Sleep(workTime)
		}
		w.Header().Set("X-Server-Signature", "sig."+attempt)
		_, _ = io.WriteString(w, "answer to "+attempt)
	})}
	go func() { _ = server.Serve(listener) }()
	zone := []string{"regina-hall", "saskatoon-hall", "winnipeg-hall"}[i%3]
	l.List.Put(lab.Instance{Service: "wuno96b", Address: address, Zone: zone, Version: "v1", Slots: 64, State: "ready", Born: time.Now().UnixMilli(), ID: id})
	l.Notef("server %s starts in %s at %s", id, zone, address)
	return nil
}

// keptClient sends short requests on one connection that it keeps.
func keptClient(ctx context.Context, l *lab.Lab, h *history, router *lab.Process) {
	httpClient := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	for ctx.Err() == nil {
		attempt := newID()
		var reused atomic.Bool
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
		status, err := send(httptrace.WithClientTrace(context.Background(), trace), httpClient, router, attempt, strings.NewReader("item"), 4)
		l.Notef("client: request %s to %s on a kept connection %t is answered %d", attempt, router.Name, reused.Load(), status)
		h.mu.Lock()
		if reused.Load() {
			h.kept++
			if err == nil {
				h.answered++
			} else {
				if h.lost == nil {
					h.lost = make(map[string][]string)
				}
				h.lost[router.Name] = append(h.lost[router.Name], attempt)
			}
		}
		h.mu.Unlock()
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}

// uploader sends long requests until ctx ends, each on a new connection.
func uploader(ctx context.Context, l *lab.Lab, router *lab.Process) {
	httpClient := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	for ctx.Err() == nil {
		attempt := newID()
		status, _ := send(context.Background(), httpClient, router, attempt, &pacedBody{left: uploadBytes, startedAt: time.Now()}, uploadBytes)
		l.Notef("client: request %s (%d bytes) to %s is answered %d", attempt, uploadBytes, router.Name, status)
		time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
	}
}

func send(ctx context.Context, httpClient *http.Client, router *lab.Process, attempt string, body io.Reader, length int64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.Frontend()+path, body)
	if err != nil {
		return 0, err
	}
	req.Host, req.ContentLength = hostname, length
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// A pacedBody is sent at a client's rate.
type pacedBody struct {
	left, sent int
	startedAt  time.Time
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	due := b.startedAt.Add(time.Duration(float64(b.sent) / uploadRate * float64(time.Second)))
	time.Sleep(time.Until(due))
	n := min(len(p), b.left, 32<<10)
	b.left, b.sent = b.left-n, b.sent+n
	return n, nil
}

func newID() string {
	id := make([]byte, 8)
	for i := range id {
		id[i] = byte(rand.IntN(256))
	}
	return hex.EncodeToString(id)
}

const config = `{"version":7,"routes":[{"name":"r-j6q5rmm","hostname":"ficu95.example","path_prefix":"/lohu930/","route_type":"non_idempotent","timeout_ms":12000,"target_latency_ms":800,"priority":1,"service":"wuno96b","max_attempts":1,"anonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"wuno96b","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":620000},"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68","k7b2ex5wa5xwyhks8nbk"],"priority":1}]}`
