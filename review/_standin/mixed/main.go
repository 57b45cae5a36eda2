// Mixed checks that an answer without a length that is reset on its way never looks complete to the
// client.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumfall/review/_standin/lab"
)

const (
	serverCount = 6
	slots       = 6
	clientCount = 24
	workTime    = 300 * time.Millisecond
	loadTime    = 26 * time.Second
	// bodyBytes is the length of a request's body, within max_body_bytes of the configuration.
	bodyBytes = 1_500_000
	// earlyRate is the share of requests that a server begins to answer before it has read them, with an
	// answer that has no length.
	earlyRate = 0.05
	// Half of the servers break off these answers, for spoilTime in each period. The pages' largest rate
	// is 0.05, for 5 s at a time, at half of the servers.
	spoilTime   = 5 * time.Second
	spoilPeriod = 6 * time.Second
	deadline    = 10 * time.Second
	apiKey      = "k7b2ex5wa5xwyhks8nbk"
	hostname    = "ficu95.example"
	path        = "/lohu930/2f"
)

// The sizes of the window and of the segments of a connection to a server. On the users' platform
// windows are small, so that a peer that does not read blocks the writer; on loopback, the defaults of
// the kernel would hold the whole body.
const (
	windowBytes  = 4 << 10
	segmentBytes = 1460
)

var zones = []string{"regina-hall", "saskatoon-hall", "winnipeg-hall"}

func main() {
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	l, err := lab.New(*record, zones)
	if err != nil {
		l.Finish(err)
	}
	l.Finish(run(l))
}

func run(l *lab.Lab) error {
	if err := l.StartFleet(5, 4); err != nil {
		return err
	}
	results := &tally{}
	for i := range serverCount {
		s := &server{lab: l, results: results, zone: zones[i%len(zones)], id: fmt.Sprintf("i-%08x", rand.Uint32()), breaksOff: l.Trouble && i%2 == 0}
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
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var group sync.WaitGroup
	for i := range clientCount {
		group.Go(func() { client(ctx, l, l.Routers[i%len(l.Routers)], body, results) })
	}
	group.Wait()
	l.Notef("requests sent %d, whole answers %d, answers seen to be broken off %d, other failures %d; servers began %d answers early, broke off %d; incomplete answers that looked complete %d",
		results.sent, results.whole, results.cut, results.failed, results.early, results.broken, results.wrong)
	if results.whole == 0 {
		return errors.New("no request was answered")
	}
	return nil
}

// answerTo returns the whole body of a server's answer to a request.
func answerTo(attempt string) string {
	var text strings.Builder
	for line := 1; line <= 100; line++ {
		fmt.Fprintf(&text, "line %d of 100 of the answer to %s\n", line, attempt)
	}
	return text.String()
}

type tally struct {
	sync.Mutex
	sent, whole, cut, failed, wrong, early, broken int
}

func (t *tally) add(counter *int) {
	t.Lock()
	defer t.Unlock()
	*counter++
}

// A server is a stand-in for a server of a plain service.
type server struct {
	lab       *lab.Lab
	results   *tally
	zone      string
	id        string
	breaksOff bool
	started   time.Time
}

func (s *server) start(address string) error {
	listenConfig := net.ListenConfig{Control: setSmallWindow}
	listener, err := listenConfig.Listen(context.Background(), "tcp4", address)
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
	s.lab.List.Put(lab.Instance{Service: "wuno96b", Address: address, Zone: s.zone, Version: "v1", Slots: slots, State: "ready", Born: s.started.UnixMilli(), ID: s.id})
	s.lab.Notef("server %s starts in %s at %s; breaks answers off: %t", s.id, s.zone, address, s.breaksOff)
	return nil
}

func setSmallWindow(_, _ string, rawConn syscall.RawConn) error {
	var optErr error
	err := rawConn.Control(func(fd uintptr) {
		optErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
		)
	})
	return errors.Join(err, optErr)
}

// serve answers the requests of one connection, one after the other.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := req.Header.Get("X-Attempt-Id")
		if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		if req.URL.Path == "/healthz" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if rand.Float64() < earlyRate {
			s.answerEarly(conn, req, attempt)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.lab.Notef("server %s runs request %s", s.id, attempt)
		time.Sleep(workTime)
		text := answerTo(attempt)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head(attempt), len(text), text); err != nil {
			return
		}
	}
}

// answerEarly begins an answer without a length before it has read the body, reads on later, and ends
// the connection with the answer. If the server breaks the answer off, it resets the connection.
func (s *server) answerEarly(conn net.Conn, req *http.Request, attempt string) {
	text := answerTo(attempt)
	half := len(text) / 2
	s.lab.Notef("server %s runs request %s, and begins to answer before it has read the body", s.id, attempt)
	s.results.add(&s.results.early)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head(attempt), text[:half]); err != nil {
		return
	}
	time.Sleep(workTime)
	if s.breaksOff && time.Since(s.started)%spoilPeriod < spoilTime {
		s.lab.Notef("server %s resets the connection after %d of %d bytes of its answer to %s", s.id, half, len(text), attempt)
		s.results.add(&s.results.broken)
		if tcpConn, ok := conn.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0) // Close sends a reset
		}
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err == nil {
		_, _ = io.WriteString(conn, text[half:])
		s.lab.Notef("server %s has sent its whole answer to %s", s.id, attempt)
	}
}

func head(attempt string) string {
	return "X-Attempt-Id: " + attempt + "\r\nX-Server-Signature: sig." + attempt + "\r\nContent-Type: text/plain\r\n"
}

// client sends requests until ctx ends, each on a new connection.
func client(ctx context.Context, l *lab.Lab, router *lab.Process, body []byte, results *tally) {
	for ctx.Err() == nil {
		results.add(&results.sent)
		request(l, router, body, results)
		time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
	}
}

func request(l *lab.Lab, router *lab.Process, body []byte, results *tally) {
	attempt := newID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.Frontend()+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Host = hostname
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	l.Notef("client: request %s (%d bytes) to %s", attempt, len(body), router.Name)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
	if err != nil {
		l.Notef("client: request %s has no answer: %v", attempt, errors.Unwrap(err))
		results.add(&results.failed)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	whole := string(text) == answerTo(attempt)
	l.Notef("client: request %s is answered %d, signature %q, %d bytes, whole %t, broken off %t", attempt, resp.StatusCode, resp.Header.Get("X-Server-Signature"), len(text), whole, err != nil)
	switch {
	case err != nil:
		results.add(&results.cut)
	case resp.StatusCode != http.StatusOK:
		results.add(&results.failed)
	case whole:
		results.add(&results.whole)
	default:
		results.add(&results.wrong)
		l.Brokenf("MIXED: the client got 200 for request %s with %d of %d bytes of the server's answer, as if it was complete", attempt, len(text), len(answerTo(attempt)))
	}
}

func newID() string {
	id := make([]byte, 8)
	for i := range id {
		id[i] = byte(rand.IntN(256))
	}
	return hex.EncodeToString(id)
}

const config = `{"version":7,"routes":[{"name":"r-j6q5rmm","hostname":"ficu95.example","path_prefix":"/lohu930/","route_type":"non_idempotent","timeout_ms":10000,"target_latency_ms":800,"priority":1,"service":"wuno96b","max_attempts":1,"anonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"wuno96b","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":620000},"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68","k7b2ex5wa5xwyhks8nbk"],"priority":1}]}`
