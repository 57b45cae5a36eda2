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

// Symptom: a keeper that was told to stop is killed at the end of its grace.
// Sequence: somebody has sent half a request to its operators' address.
// Cause: closing that address waited for each connection, without a bound.
func TestAKeeperStopsWhileAnOperatorSendsHalfARequest(t *testing.T) {
	folder := t.TempDir()
	secret := filepath.Join(folder, "secret")
	require.NoError(t, os.WriteFile(secret, []byte("0123456789abcdef"), 0o600))
	address, admin := freeAddress(t), freeAddress(t)
	k := &keeper.Keeper{
		Settings: settings.Keeper{
			Name: "k1", Zone: "z", Listen: address, Admin: admin, Data: folder,
			Peers: []string{"k1=" + address}, Secret: secret,
		},
		Log: hclog.NewNullLogger(), Clock: clock.NewRealClock(), Disk: &journal.RealDisk{Folder: filepath.Join(folder, "k1")}, Init: true,
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
	time.Sleep(50 * time.Millisecond) // it has begun to read
	cancel()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		require.Fail(t, "the keeper did not stop")
	}
}
