package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// Symptom: a router that leaves closes callers' connections without an answer, though
// it has read their requests.
// Sequence: requests wait for their turn to be read; nothing else is in progress, and
// the router closes.
// Cause: what waits for its turn did not count as being in progress.
func TestStoppingAnswersWhatWaitsForItsTurn(t *testing.T) {
	c, l, done := closable(t)
	first := dialCaller(t, l.Addr().String())
	require.NoError(t, ask(first))
	for range mostUnread {
		c.unread <- struct{}{} // others are being read
	}
	waits := dialCaller(t, l.Addr().String())
	_, err := io.WriteString(waits, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.count() == 2 }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // it has begun to read
	require.NoError(t, l.Close())
	time.Sleep(50 * time.Millisecond) // and the router has begun to close
	for range mostUnread {
		<-c.unread
	}
	requireAnswer(t, waits)
	require.NoError(t, <-done)
}

// Symptom, sequence and cause as above, where the head of the request comes in parts.
func TestStoppingAnswersWhatIsBeingRead(t *testing.T) {
	c, l, done := closable(t)
	half := dialCaller(t, l.Addr().String())
	_, err := io.WriteString(half, "GET / HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.count() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // it has begun to read
	require.NoError(t, l.Close())
	time.Sleep(50 * time.Millisecond) // and the router has begun to close
	_, err = io.WriteString(half, "\r\n")
	require.NoError(t, err)
	requireAnswer(t, half)
	require.NoError(t, <-done)
}

// closable runs callers until their listener closes.
func closable(t *testing.T) (*callers, net.Listener, chan error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	c := &callers{
		handler: answerNothing, most: 1000, log: hclog.NewNullLogger(),
		server: func(h http.Handler) *http.Server { return &http.Server{Handler: h} },
	}
	done := make(chan error, 1)
	go func() { done <- c.run(l, noLimits) }()
	return c, l, done
}

func requireAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "the caller has an answer")
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}
