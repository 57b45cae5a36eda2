// Refused checks that a request that is not idempotent has not run if its client is told that it has
// not run and never will.
package main

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"laburnumfall/review/_standin/lab"
)

const (
	// slots is how many requests a server runs at once; it turns further ones away.
	slots       = 6
	workTime    = time.Millisecond
	clientCount = 40
	// pollPeriod is the time after which clients look again; many of them do so at the same moment.
	pollPeriod = 10 * time.Millisecond
	loadTime   = 50 * time.Second
	// One of three servers sends some of its answers once more. The pages' largest share of such
	// servers is 0.6, the largest rate 0.03, for 5 s at a time.
	garbleRate   = 0.03
	garbleTime   = 5 * time.Second
	garblePeriod = 6 * time.Second
	deadline     = 2500 * time.Millisecond
	apiKey       = "k7b2ex5wa5xwyhks8nbk"
	hostname     = "ficu95.example"
	oncePath     = "/pufi791/2f" // not idempotent, one server
	otherPath    = "/lohu930/2f" // idempotent, two servers
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
	if err := l.StartFleet(5, 2); err != nil {
		return err
	}
	h := &history{runs: make(map[string]int), told: make(map[string]int), done: make(map[string]int)}
	for i, service := range []string{"wuno96b", "huvo11a", "huvo11a"} {
		s := &server{lab: l, history: h, service: service, id: fmt.Sprintf("i-%08x", rand.Uint32()), free: make(chan struct{}, slots)}
		s.zone = []string{"regina-hall", "saskatoon-hall", "winnipeg-hall"}[i]
		s.garbles = l.Trouble && i == 0
		if err := s.start(fmt.Sprintf("%s:%d", l.IP(lab.FirstServerHost+i), lab.ServerPort)); err != nil {
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
	ctx, cancel := context.WithTimeout(context.Background(), loadTime)
	defer cancel()
	var group sync.WaitGroup
	for i := range clientCount {
		path, method := oncePath, http.MethodPost
		if i%8 == 0 {
			path, method = otherPath, http.MethodGet
		}
		group.Go(func() { client(ctx, l, h, l.Routers[i/8%len(l.Routers)], method, path) })
	}
	group.Wait()
	time.Sleep(time.Second) // what is still to run, runs
	return h.check(l)
}

// A history holds how often each request that is not idempotent ran, and which status its client got.
type history struct {
	mu         sync.Mutex
	runs, told map[string]int
	done       map[string]int // how often each piece of work ran, by all its attempts
	turnedAway int
	doubled    int // answers that were sent once more
}

func (h *history) addRun(attempt, work string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[attempt]++
	h.done[work]++
}

func (h *history) add(counter *int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*counter++
}

// check reports the requests that ran although their clients were told that they had not and would not.
func (h *history) check(l *lab.Lab) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	served, promised := 0, 0
	for attempt, status := range h.told {
		switch status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			promised++
			if h.runs[attempt] > 0 {
				l.Brokenf("REFUSED: request %s was answered %d and has run", attempt, status)
			}
		}
		if h.runs[attempt] > 1 {
			l.Notef("also TWICE: request %s ran %d times; its client got %d", attempt, h.runs[attempt], status)
		}
	}
	again := 0
	for _, runs := range h.done {
		if runs > 1 {
			again++
		}
	}
	l.Notef("pieces of work that ran more than once, as their clients sent them again after the promise: %d", again)
	l.Notef("requests that are not idempotent: sent %d, answered with success %d, told that they have not run %d; the server turned away %d and sent %d answers once more",
		len(h.told), served, promised, h.turnedAway, h.doubled)
	if served == 0 {
		return errors.New("no request was answered with success")
	}
	return nil
}

// A server is a stand-in for a server of a plain service.
type server struct {
	lab     *lab.Lab
	history *history
	service string
	zone    string
	id      string
	free    chan struct{}
	garbles bool
	started time.Time
}

func (s *server) start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.started = time.Now()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	s.lab.List.Put(lab.Instance{Service: s.service, Address: address, Zone: s.zone, Version: "v1", Slots: slots, State: "ready", Born: s.started.UnixMilli(), ID: s.id})
	s.lab.Notef("server %s of %s starts in %s at %s; sends some answers once more: %t", s.id, s.service, s.zone, address, s.garbles)
	return nil
}

// serve answers the requests of one connection, one after the other. An extra answer comes late: when
// the next answer is expected.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, extra, extraOf := bufio.NewReader(conn), "", ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		attempt := req.Header.Get("X-Attempt-Id")
		if extra != "" {
			s.lab.Notef("server %s sends its answer to %s once more, as request %s is on the connection", s.id, extraOf, attempt)
			_, _ = io.WriteString(conn, extra)
			extra = ""
		}
		answer := s.answer(req, attempt, string(body))
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if attempt != "" && s.garblesNow() && rand.Float64() < garbleRate {
			s.history.add(&s.history.doubled)
			extra, extraOf = answer, attempt
		}
	}
}

func (s *server) garblesNow() bool {
	return s.garbles && time.Since(s.started)%garblePeriod < garbleTime
}

func (s *server) answer(req *http.Request, attempt, work string) string {
	load := fmt.Sprintf("X-Server-Load: %d,0,%d\r\n", len(s.free), slots)
	if req.URL.Path == "/healthz" {
		return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + s.id + "\r\n" + load + "Content-Length: 0\r\n\r\n"
	}
	head := "X-Attempt-Id: " + attempt + "\r\nX-Server-Signature: sig." + attempt + "\r\n" + load
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	select {
	case s.free <- struct{}{}:
	default:
		s.history.add(&s.history.turnedAway)
		s.lab.Notef("server %s is full and turns request %s away", s.id, attempt)
		return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	defer func() { <-s.free }()
	s.lab.Notef("server %s runs request %s", s.id, attempt)
	if req.Method == http.MethodPost {
		s.history.addRun(attempt, work)
	}
	time.Sleep(workTime/2 + time.Duration(rand.Int64N(int64(workTime))))
	text := "answer to " + attempt
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
}

// client does one piece of work after the other until ctx ends. After a promise that a request has not
// run, it sends the work once more, as a new attempt.
func client(ctx context.Context, l *lab.Lab, h *history, router *lab.Process, method, path string) {
	httpClient := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableCompression: true}}
	for ctx.Err() == nil {
		work := "work " + newID()
		status, back := send(httpClient, l, h, router, method, path, work)
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			time.Sleep(min(back, deadline/3))
			send(httpClient, l, h, router, method, path, work)
		}
		now := time.Now()
		time.Sleep(now.Truncate(pollPeriod).Add(pollPeriod).Sub(now))
	}
}

// send sends one attempt. The status is 0 if there was no whole answer.
func send(httpClient *http.Client, l *lab.Lab, h *history, router *lab.Process, method, path, work string) (status int, back time.Duration) {
	attempt := newID()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(work)
	}
	req, err := http.NewRequest(method, "http://"+router.Frontend()+path, body)
	if err != nil {
		return 0, 0
	}
	req.Host = hostname
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	l.Notef("client: %s, request %s to %s", work, attempt, router.Name)
	if resp, err := httpClient.Do(req); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		back = time.Duration(seconds * float64(time.Second))
	}
	l.Notef("client: request %s is answered %d", attempt, status)
	if method == http.MethodPost {
		h.mu.Lock()
		h.told[attempt] = status
		h.mu.Unlock()
	}
	return status, back
}

func newID() string {
	id := make([]byte, 8)
	for i := range id {
		id[i] = byte(rand.IntN(256))
	}
	return hex.EncodeToString(id)
}

const config = `{"version":7,"routes":[{"name":"r-vtdhbjp","hostname":"ficu95.example","path_prefix":"/pufi791/","route_type":"non_idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"wuno96b","max_attempts":3,"anonymous":false,"sticky":false,"resumable":false},{"name":"r-j6q5rmm","hostname":"ficu95.example","path_prefix":"/lohu930/","route_type":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"huvo11a","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"wuno96b","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false},{"name":"huvo11a","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":620000},"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68","k7b2ex5wa5xwyhks8nbk"],"priority":1}]}`
