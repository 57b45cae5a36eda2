package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// fill opens connections until the router is overfull.
func fill(t *testing.T, c *connManager, address string) {
	for range maxFreshConns {
		dialCaller(t, address)
	}
	require.Eventually(t, func() bool { return c.tooManyFresh(time.Now()) }, 5*time.Second, time.Millisecond)
}

// Symptom: all requests that come in through one router time out, those too that
// it answers.
// Sequence: more callers come than its processor can read, or even refuse; each
// waits for its turn until it gives up, and is then read for nobody.
// Cause: nothing answers a caller before its request was read.
func TestCallersBeyondWhatIsReadAreShedAtOnce(t *testing.T) {
	c := newCallers(1000, answerNothing)
	c.freshTimeout = time.Hour // or the first count no more before the last have come
	address := c.start(t, noLimits)
	require.NoError(t, ask(dialCaller(t, address)))
	fill(t, c, address)
	conn := dialCaller(t, address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("x", 9000))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "0.020", resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
	require.True(t, c.isOverloaded())
	c.mu.Lock()
	c.freshTimeout = 0 // as usual
	c.mu.Unlock()
	require.Eventually(t, func() bool { return !c.tooManyFresh(time.Now()) }, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, ask(dialCaller(t, address)), "those that send nothing hold nobody up for long")
}

// Symptom: nobody can tell why callers were refused: most refusals of a flood have no line.
// Cause: what is refused unread has no request to write a line of.
func TestShedCallersAreToldOf(t *testing.T) {
	var lines bytes.Buffer
	c := &connManager{log: hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &lines})}
	now := time.Now()
	c.recordShed(now)
	c.recordShed(now)
	lines.Reset()
	c.logShed()
	c.logShed()
	require.Equal(t, 1, strings.Count(lines.String(), "callers refused unread"))
	require.Contains(t, lines.String(), `"count":2`)
	require.Equal(t, 2, c.shedCount())
}

func TestShedConnections(t *testing.T) {
	for _, tc := range []struct {
		name, sent, want string
	}{
		{"a request has begun", "GET / HTTP/1.1\r\n", string(shedResponse)},
		{"nothing was sent", "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() }) // nothing is on it
			caller := dialCaller(t, l.Addr().String())
			_, err = io.WriteString(caller, tc.sent)
			require.NoError(t, err)
			conn, err := l.Accept()
			require.NoError(t, err)
			if tc.sent != "" {
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
				_, err = bufio.NewReader(io.LimitReader(conn, 1)).ReadByte()
				require.NoError(t, err)
			}
			shedConn(conn)
			got, err := io.ReadAll(caller)
			require.NoError(t, err)
			require.Equal(t, tc.want, string(got))
		})
	}
}

// Symptom: a router sheds callers though it has little to do.
// Sequence: many requests were judged and go on, as streams do.
// Cause: connections count as unjudged for longer than that.
func TestRequestsInProgressDoNotShedOthers(t *testing.T) {
	release := make(chan struct{})
	var c *connManager
	c, address := startCallers(t, 1000, noLimits, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.releaseReadSlot(connFromContext(r.Context()))
		<-release
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(func() { close(release) })
	for range 2 * maxFreshConns {
		_, err := io.WriteString(dialCaller(t, address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.False(t, c.tooManyFresh(time.Now()))
		require.Eventually(t, func() bool { return c.countFresh() == 0 }, 5*time.Second, 10*time.Microsecond)
	}
}

func (c *connManager) countFresh() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshCount
}
