package caller

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

// fillWithFreshConns opens connections until further ones are shed.
func fillWithFreshConns(t *testing.T, manager *Manager, address string) {
	for range maxFreshConns {
		dialCaller(t, address)
	}
	require.Eventually(t, func() bool { return manager.tooManyFresh(time.Now()) }, 5*time.Second, time.Millisecond)
}

// Guards against timeouts of all requests at one router, including those that it answers. Callers
// arrive faster than its processor can read or even refuse their requests, so each request would be
// read after its caller has left.
func TestShedsExcessCallers(t *testing.T) {
	manager := newManager(1000, respondNoContent)
	manager.freshTimeout = time.Hour // so that the first connections still count when the last ones arrive
	address := manager.start(t)
	require.NoError(t, sendRequest(dialCaller(t, address)))
	fillWithFreshConns(t, manager, address)
	conn := dialCaller(t, address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("x", 9000))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "0.020", resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
	require.True(t, manager.IsOverloaded())
	manager.mu.Lock()
	manager.freshTimeout = 0 // the default
	manager.mu.Unlock()
	require.Eventually(t, func() bool { return !manager.tooManyFresh(time.Now()) }, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, sendRequest(dialCaller(t, address)), "connections that send nothing stop counting")
}

// Guards against refusals that leave no trace. Requests that are shed are not read, so they have no
// log lines of their own.
func TestLogsShedCallers(t *testing.T) {
	var logOutput bytes.Buffer
	manager := &Manager{Log: hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &logOutput})}
	now := time.Now()
	manager.recordShed(now)
	manager.recordShed(now)
	logOutput.Reset()
	manager.LogShed()
	manager.LogShed()
	require.Equal(t, 1, strings.Count(logOutput.String(), "callers refused unread"))
	require.Contains(t, logOutput.String(), `"count":2`)
	require.Equal(t, 2, manager.ShedCount())
}

func TestShedConnection(t *testing.T) {
	for _, tc := range []struct {
		name, sent, want string
	}{
		{"partial request", "GET / HTTP/1.1\r\n", string(shedResponse(minShedRetryAfter))},
		{"no request", "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() }) // it is only needed until the test ends
			caller := dialCaller(t, listener.Addr().String())
			_, err = io.WriteString(caller, tc.sent)
			require.NoError(t, err)
			conn, err := listener.Accept()
			require.NoError(t, err)
			if tc.sent != "" {
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
				_, err = bufio.NewReader(io.LimitReader(conn, 1)).ReadByte()
				require.NoError(t, err)
			}
			shedConn(conn, minShedRetryAfter)
			got, err := io.ReadAll(caller)
			require.NoError(t, err)
			require.Equal(t, tc.want, string(got))
		})
	}
}

// Guards against shedding callers while the router has little to do. Many requests have been read
// and checked but are still in progress, as streams are.
func TestRequestsInProgressDoNotCauseShedding(t *testing.T) {
	release := make(chan struct{})
	var manager *Manager
	manager, address := startManager(t, 1000, noLimits, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		manager.ReleaseReadSlot(ConnFromContext(r.Context()))
		<-release
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(func() { close(release) })
	for range 2 * maxFreshConns {
		_, err := io.WriteString(dialCaller(t, address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.False(t, manager.tooManyFresh(time.Now()))
		require.Eventually(t, func() bool { return manager.countFresh() == 0 }, 5*time.Second, 10*time.Microsecond)
	}
}

func (m *Manager) countFresh() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freshCount
}
