package router_test

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

// mute answers what a keeper would call of an operator: nothing.
type mute struct{}

// Call implements rpc.Handler.
func (mute) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, nil
}

// Notify implements rpc.Handler.
func (mute) Notify(*rpc.Conn, string, json.RawMessage) {}

// applyConfig puts a configuration in force on one router.
func applyConfig(t testing.TB, address, secretFile string, c fleet.Config) {
	secret, err := os.ReadFile(secretFile)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		var count rpc.Counter
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		conn, err := rpc.Dial(ctx, address, "test", secret, mute{}, &count)
		if err != nil {
			return false
		}
		defer conn.Close()
		var applied message.ApplyResult
		err = conn.Call(ctx, message.MethodApply, message.ApplyRequest{Config: c.JSON(), Wait: true}, &applied)
		return err == nil && applied.Routers == 1
	}, 20*time.Second, 50*time.Millisecond)
}
