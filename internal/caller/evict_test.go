package caller

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/socket"
)

// Guards against closing a connection whose request has been read in part. The header arrives in
// parts on a reused connection, and net/http reports the connection as active only after it has
// read the complete header.
func TestDoesNotEvictPartlyReadRequest(t *testing.T) {
	manager, address := startManager(t, 1000, noLimits, respondNoContent)
	conn := dialCaller(t, address)
	require.NoError(t, sendRequest(conn))
	require.Eventually(t, func() bool { return !anyRequestStarted(manager) }, 5*time.Second, time.Millisecond)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return anyRequestStarted(manager) }, 5*time.Second, time.Millisecond)
	manager.evictIdle(1)
	_, err = io.WriteString(conn, "\r\n")
	require.NoError(t, err)
	requireNoContent(t, conn)
}

// Guards against resetting a connection with an unread request. The request has arrived on a reused
// connection, but the router has not read it yet when idle connections are evicted.
func TestDoesNotEvictUnreadRequest(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }() // the test is over
	caller := dialCaller(t, listener.Addr().String())
	conn, err := listener.Accept()
	require.NoError(t, err)
	conn = wrapConn(conn)
	manager := &Manager{conns: map[net.Conn]*connInfo{conn: {idleSince: time.Now()}}}
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !socket.IsIdle(conn) }, 5*time.Second, time.Millisecond)
	require.Nil(t, manager.removeOldestIdle(), "a connection with an unread request is not idle")
}

func anyRequestStarted(manager *Manager) bool {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	for conn := range manager.conns {
		if hasRequest(conn) {
			return true
		}
	}
	return false
}
