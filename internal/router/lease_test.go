package router

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/clock"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

// Guards against a final refusal of an API key by a router without a lease: a newer configuration
// may have the key.
func TestUnknownKeyIsRefusedForGoodOnlyWithLease(t *testing.T) {
	config := fleet.Config{Number: 1, Accounts: []fleet.Account{{Name: "a", Share: 1, Keys: []string{fleet.KeyDigest("known")}}}}
	tests := []struct {
		name, key string
		lease     time.Duration
		want      fleet.ErrorKind
	}{
		{name: "unknown key with a lease", key: "unknown", lease: time.Hour, want: fleet.KindUnknownKey},
		{name: "unknown key without a lease", key: "unknown", lease: -time.Second, want: fleet.KindNoLease},
		{name: "known key with a lease", key: "known", lease: time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			realClock := clock.NewRealClock()
			now := realClock.Now()
			scheduler := &dispatch.Scheduler{Name: "r1", Incarnation: 1, Backpressure: &backpressure.Tracker{}}
			grant := message.Grant{Term: 1, Seq: 1, Incarnation: 1, Number: 1, Config: config.JSON(), ExpiresAt: now.Add(tt.lease)}
			require.True(t, scheduler.HandleGrant(now, grant))
			loop := newSchedulerLoop(realClock, scheduler)
			loop.metrics, loop.report = newMetrics(&rpc.Counter{}), func(message.Report) {}
			loop.refreshKeys()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = loop.run(ctx) }() // returns nil
			router := &Router{loop: loop}
			var request fasthttp.RequestCtx
			request.Request.SetRequestURI("/e/event/path")
			request.Request.Header.Set("Authorization", "Bearer "+tt.key)
			_, _, err := router.parseRequest(&request, 1)
			if tt.want == "" {
				require.Nil(t, err)
				return
			}
			require.NotNil(t, err)
			require.Equal(t, tt.want, err.Kind)
		})
	}
}
