package router

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/message"
)

const (
	maxClaimBatch = 256
	claimWorkers  = 8
	callTimeout   = time.Second
	callPause     = 50 * time.Millisecond
	// claimPatience is how long a claim is tried before its request is given up.
	claimPatience = 3 * time.Second
	settleRing    = 1 << 16
)

// A claimer is the duty that claims requests at the keepers and settles them,
// many in one call.
type claimer struct {
	keepers     *keepers
	desk        *desk
	log         hclog.Logger
	asks        chan dispatch.AcquireClaim
	settlements chan message.Settlement
	open        chan struct{} // one token per settlement not yet handed over
}

func newClaimer(k *keepers, d *desk, log hclog.Logger) *claimer {
	return &claimer{
		keepers: k, desk: d, log: log,
		asks:        make(chan dispatch.AcquireClaim, ringSize),
		settlements: make(chan message.Settlement, settleRing),
		open:        make(chan struct{}, 2*settleRing),
	}
}

// ask queues a claim. A full ring loses it, which is safe: it was not sent.
func (c *claimer) ask(a dispatch.AcquireClaim) {
	select {
	case c.asks <- a:
	default:
		go c.desk.claimed(a.ID, message.ClaimResult{}, true)
	}
}

// settle queues a settlement. A full ring loses it: the key then stays claimed,
// which is safe.
func (c *claimer) settle(s message.Settlement) {
	select {
	case c.settlements <- s:
		c.open <- struct{}{}
	default:
		c.log.Warn("settlement lost: too many wait for the keepers", "key", s.Key, "fate", s.State)
	}
}

func (c *claimer) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range claimWorkers {
		g.Go(func() error { return c.claimLoop(ctx) })
	}
	g.Go(func() error { return c.settleLoop(ctx) })
	return g.Wait()
}

// collect waits for one item and takes all that is there with it.
func collect[T any](ctx context.Context, ring <-chan T) []T {
	var batch []T
	select {
	case <-ctx.Done():
		return nil
	case first := <-ring:
		batch = append(batch, first)
	}
	for len(batch) < maxClaimBatch {
		select {
		case next := <-ring:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (c *claimer) claimLoop(ctx context.Context) error {
	for {
		batch := collect(ctx, c.asks)
		if len(batch) == 0 {
			return nil
		}
		claims := message.ClaimRequest{Claims: make([]message.Claim, len(batch))}
		for i, a := range batch {
			claims.Claims[i] = a.Claim
		}
		var verdicts message.ClaimResponse
		limited, cancel := context.WithTimeout(ctx, claimPatience)
		ok := c.callLeader(limited, message.MethodClaim, claims, &verdicts)
		cancel()
		lost := !ok || len(verdicts.Results) != len(batch)
		for i, a := range batch {
			if lost {
				c.desk.claimed(a.ID, message.ClaimResult{}, true)
				continue
			}
			c.desk.claimed(a.ID, verdicts.Results[i], false)
		}
	}
}

func (c *claimer) settleLoop(ctx context.Context) error {
	for {
		batch := collect(ctx, c.settlements)
		if len(batch) == 0 {
			return nil
		}
		if !c.callLeader(ctx, message.MethodSettle, message.SettleRequest{Settlements: batch}, nil) {
			return nil
		}
		for range batch {
			<-c.open
		}
	}
}

// callLeader calls the leading keeper, whichever it is, until it answers or
// ctx ends. Claims and settlements may be sent again: the answer is the same.
func (c *claimer) callLeader(ctx context.Context, method string, params, result any) bool {
	for ctx.Err() == nil {
		for _, conn := range c.keepers.conns() {
			limited, cancel := context.WithTimeout(ctx, callTimeout)
			err := conn.Call(limited, method, params, result)
			cancel()
			if err == nil {
				return true
			}
			c.log.Debug("keeper refuses", "method", method, "keeper", conn.PeerName(), "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(callPause):
		}
	}
	return false
}

// flush waits until all settlements are handed over, or ctx ends.
func (c *claimer) flush(ctx context.Context) {
	for len(c.open) > 0 && ctx.Err() == nil {
		time.Sleep(stopPoll)
	}
	if n := len(c.open); n > 0 {
		c.log.Warn("stopping with unsettled claims: their fate stays unknown", "count", n)
	}
}
