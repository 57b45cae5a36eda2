package socket

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a target that counts as failed because the process was stalled during the dial.
func TestDialSurvivesStall(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	for name, tt := range map[string]struct {
		stalls  int // how many dials are stalled
		wantErr bool
	}{
		"no stall":   {},
		"one stall":  {stalls: 1},
		"two stalls": {stalls: 2, wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			const timeout = 100 * time.Millisecond
			dials := 0
			dialer := &net.Dialer{Timeout: timeout, Control: func(string, string, syscall.RawConn) error {
				if dials++; dials <= tt.stalls {
					time.Sleep(timeout + 2*maxDialDelay)
				}
				return nil
			}}
			conn, err := Dial(context.Background(), dialer, "tcp4", listener.Addr().String())
			if tt.wantErr {
				require.Error(t, err)
				require.Equal(t, 2, dials)
				return
			}
			require.NoError(t, err)
			require.NoError(t, conn.Close())
			require.Equal(t, tt.stalls+1, dials)
		})
	}
}
