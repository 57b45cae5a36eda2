package target_test

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"laburnumfall/internal/target"
)

// Guards against bytes that arrived before the deadline was found to have passed and are
// thrown away unread.
func TestWhatArrivedIsReadAfterTheDeadline(t *testing.T) {
	long := strings.Repeat("x", 40<<10)
	for name, tt := range map[string]struct {
		sent   string
		closed bool
		err    error
	}{
		"nothing":           {err: os.ErrDeadlineExceeded},
		"a part":            {sent: "part", err: os.ErrDeadlineExceeded},
		"all, and a close":  {sent: "whole", closed: true},
		"more than a block": {sent: long, err: os.ErrDeadlineExceeded},
		"only a close":      {closed: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, l.Close()) }()
			here, err := net.Dial("tcp4", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = here.Close() }() // it is read
			there, err := l.Accept()
			require.NoError(t, err)
			defer func() { _ = there.Close() }() // it may be closed
			_, err = io.WriteString(there, tt.sent)
			require.NoError(t, err)
			if tt.closed {
				require.NoError(t, there.Close())
			}
			require.Eventually(t, func() bool { return arrived(t, here) == len(tt.sent) }, time.Second, time.Millisecond)
			require.Eventually(t, func() bool { return !tt.closed || tt.sent != "" || target.PeerClosed(here) }, time.Second, time.Millisecond)

			require.NoError(t, here.SetDeadline(time.Now().Add(-time.Second)))
			r := &target.DeadlineReader{Conn: here}
			got, err := io.ReadAll(r)
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.sent, string(got))
			require.True(t, r.DeadlineExceeded())
		})
	}
}

// arrived returns how many bytes a connection holds unread.
func arrived(t *testing.T, c net.Conn) int {
	tcp, ok := c.(*net.TCPConn)
	require.True(t, ok)
	raw, err := tcp.SyscallConn()
	require.NoError(t, err)
	n := 0
	require.NoError(t, raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }))
	require.NoError(t, err)
	return n
}

// Guards against a stream without end that is read on behind its deadline.
func TestWhatArrivesBehindTheDeadlineIsNotWaitedFor(t *testing.T) {
	here, there := net.Pipe()
	defer func() { _ = there.Close() }() // nothing was sent
	require.NoError(t, here.SetDeadline(time.Now().Add(-time.Second)))
	_, err := (&target.DeadlineReader{Conn: here}).Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
