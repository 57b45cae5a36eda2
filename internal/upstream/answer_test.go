package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
)

var somebody = fleet.Incarnation{ID: "a", StartMillis: 1000}

// ask sends a request over a connection whose other end answers by what answer writes.
func ask(p *Pool, answer func(w io.Writer)) (*Response, error) {
	here, there := net.Pipe()
	go func() {
		defer func() { _ = there.Close() }() // the answer ends with it
		if _, err := http.ReadRequest(newConn(there).reader); err != nil {
			return
		}
		answer(there)
	}()
	r := Request{Method: http.MethodGet, Path: "/x", Host: "h", Header: http.Header{}, ID: "1", IDHeader: "Id"}
	return p.Send(context.Background(), somebody, newConn(here), r, p.Clock.Now().Add(5*time.Second))
}

// endless writes a text until nobody reads it any more, or most bytes are out.
func endless(w io.Writer, text string, most int) (written int) {
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	for written < most {
		n, err := w.Write(block)
		written += n
		if err != nil {
			break
		}
	}
	return written
}

// Symptom: a router grows until it is killed.
// Sequence: a target, or what has taken its address, sends headers, or answers before the
// answer, without end.
// Cause: the head of an answer is bounded by time only.
func TestAHeadWithoutEndIsNoAnswer(t *testing.T) {
	const most = 64 << 20
	for name, tt := range map[string]struct{ begin, text string }{
		"line":    {"HTTP/1.1 200 ", "x"},
		"header":  {"HTTP/1.1 200 OK\r\nId: ", "x"},
		"headers": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"hints":   {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			_, err := ask(&Pool{Clock: clock.NewRealClock()}, func(w io.Writer) {
				_, _ = io.WriteString(w, tt.begin) // the reader may have left
				written <- endless(w, tt.text, most)
			})
			require.ErrorIs(t, err, errLongHead)
			require.Less(t, <-written, 2*maxHead)
		})
	}
}

// The bound is on heads: a body may be long, also that of an answer that is skipped.
func TestALongBodyIsPassedOn(t *testing.T) {
	const size = 4 * maxHead
	a, err := ask(&Pool{Clock: clock.NewRealClock()}, func(w io.Writer) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 262144\r\n\r\n") // the test fails otherwise
		endless(w, "x", size)
	})
	require.NoError(t, err)
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, size))
	require.NoError(t, err)
	require.Len(t, body, size)
}

// Symptom: a connection is used again when its target has closed it, or is never used
// again.
// Sequence: a target tells an idle time that is no time.
// Cause: seconds were turned into a time without looking whether they fit.
func TestIdleTimesThatAreDamaged(t *testing.T) {
	now := time.Unix(1e9, 0)
	for value, want := range map[string]time.Duration{
		"timeout=5":                    5*time.Second - idleMargin,
		"max=9, timeout=2":             2*time.Second - idleMargin,
		"timeout=0":                    -idleMargin,
		"timeout=-9":                   idleLimit,
		"timeout=9223372036854775807":  longestIdle - idleMargin,
		"timeout=92233720368547758070": idleLimit,
		"timeout=1e3":                  idleLimit,
		"timeout=":                     idleLimit,
		"":                             idleLimit,
	} {
		require.Equal(t, now.Add(want), idleUntil(now, http.Header{"Keep-Alive": {value}}), value)
	}
}

// Whatever comes in place of an answer: it is an error, or an answer to this request that
// ends, and a connection is kept only if nothing is left on it.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	f.Add("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=9223372036854775807\r\nContent-Length: -1\r\n\r\n")
	f.Add("HTTP/1.1 204 \r\nId: 1\r\nContent-Length: 9223372036854775807\r\n\r\n")
	f.Add("\x00\xff")
	f.Fuzz(func(t *testing.T, text string) {
		p := &Pool{Clock: clock.NewRealClock()}
		defer p.Close()
		a, err := ask(p, func(w io.Writer) {
			_, _ = io.WriteString(w, text) // the reader may have left
		})
		if err != nil {
			var dial *DialError
			require.False(t, errors.As(err, &dial), "the request may have run")
			return
		}
		require.Equal(t, "1", a.Header.Get("Id"))
		n, err := io.Copy(io.Discard, a)
		require.LessOrEqual(t, n, int64(len(text)))
		require.Equal(t, err == nil, a.Complete())
		a.Close()
		for _, c := range p.idle[somebody] {
			require.True(t, a.Complete())
			require.Zero(t, c.reader.Buffered())
			require.False(t, c.expires.After(p.Clock.Now().Add(longestIdle)))
		}
	})
}
