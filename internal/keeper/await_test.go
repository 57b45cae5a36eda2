package keeper

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An expiringContext is a context whose deadline passes when expired is closed.
type expiringContext struct {
	context.Context
	expired chan struct{}
}

// Done implements context.Context.
func (c expiringContext) Done() <-chan struct{} { return c.expired }

// Err implements context.Context.
func (c expiringContext) Err() error {
	select {
	case <-c.expired:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// Guards against an order that is carried out but reported as failed: its time passed while the keeper
// was suspended, and the result was there when the keeper resumed.
func TestAwaitReturnsResultThatIsThere(t *testing.T) {
	c := &core{tasks: make(chan task)}
	go func() {
		for run := range c.tasks {
			run(time.Time{})
		}
	}()
	defer close(c.tasks)
	const rounds = 200
	failures := 0
	for range rounds {
		ctx := expiringContext{context.Background(), make(chan struct{})}
		result, err := await(ctx, c, func(_ time.Time, done func(string, error)) {
			close(ctx.expired)
			done("carried out", nil)
		})
		if err != nil || result != "carried out" {
			failures++
		}
	}
	require.Zero(t, failures, "of %d orders", rounds)
}
