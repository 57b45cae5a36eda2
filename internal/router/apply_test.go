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

// noCallsHandler handles the connection of an operator, over which keepers make no calls.
type noCallsHandler struct{}

// Call implements rpc.Handler.
func (noCallsHandler) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, nil
}

// Notice implements rpc.Handler.
func (noCallsHandler) Notice(*rpc.Conn, string, json.RawMessage) {}

// applyConfig applies a configuration and waits until one router has it in force.
func applyConfig(t testing.TB, address, secretFile string, config fleet.Config) {
	secret, err := os.ReadFile(secretFile)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		var counter rpc.Counter
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		conn, err := rpc.Dial(ctx, address, "test", secret, noCallsHandler{}, &counter)
		if err != nil {
			return false
		}
		defer conn.Close()
		var applied message.ApplyResult
		err = conn.Call(ctx, message.MethodApply, message.ApplyRequest{Config: config.JSON(), Wait: true}, &applied)
		return err == nil && applied.Routers == 1
	}, 20*time.Second, 50*time.Millisecond)
}
