package keeper_test

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/keeper"
	"laburnumfall/internal/settings"
)

// Guards against a stopping keeper that is killed at the end of its grace period, because closing
// the admin address waits without a bound for a connection with an incomplete request.
func TestStopsDespiteIncompleteAdminRequest(t *testing.T) {
	dir := t.TempDir()
	secretFile := filepath.Join(dir, "secret")
	require.NoError(t, os.WriteFile(secretFile, []byte("0123456789abcdef"), 0o600))
	address, admin := freeAddress(t), freeAddress(t)
	k := &keeper.Keeper{
		Settings: settings.Keeper{
			Name: "k1", Zone: "z", Listen: address, Admin: admin, Data: dir,
			Peers: []string{"k1=" + address}, Secret: secretFile,
		},
		Log: hclog.NewNullLogger(), Clock: clock.NewRealClock(), Disk: &journal.RealDisk{Folder: filepath.Join(dir, "k1")}, Init: true,
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	var conn net.Conn
	require.Eventually(t, func() bool {
		var err error
		conn, err = net.Dial("tcp4", admin)
		return err == nil
	}, 10*time.Second, 5*time.Millisecond)
	defer func() { _ = conn.Close() }() // the keeper may have closed it
	_, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\nPOST /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // until the keeper reads the request
	cancel()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		require.Fail(t, "the keeper did not stop")
	}
}
