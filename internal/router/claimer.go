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
	maxBatch       = 256
	claimWorkers   = 8
	callTimeout    = time.Second
	callRetryDelay = 50 * time.Millisecond
	// claimTimeout is how long a claim is retried before its request is given up.
	claimTimeout    = 3 * time.Second
	settleQueueSize = 1 << 16
)

// A claimer claims requests at the keepers and settles the claims, in batches.
type claimer struct {
	keepers     *keeperConns
	loop        *schedulerLoop
	log         hclog.Logger
	claims      chan dispatch.AcquireClaim
	settlements chan message.Settlement
	unsettled   chan struct{} // one token per settlement not yet delivered
}

func newClaimer(conns *keeperConns, loop *schedulerLoop, log hclog.Logger) *claimer {
	return &claimer{
		keepers: conns, loop: loop, log: log,
		claims:      make(chan dispatch.AcquireClaim, queueSize),
		settlements: make(chan message.Settlement, settleQueueSize),
		unsettled:   make(chan struct{}, 2*settleQueueSize),
	}
}

// claim queues a claim. If the queue is full, the claim fails, which is safe because nothing was
// sent.
func (c *claimer) claim(request dispatch.AcquireClaim) {
	select {
	case c.claims <- request:
	default:
		go c.loop.claimDone(request.ID, message.ClaimResult{}, true)
	}
}

// settle queues a settlement. If the queue is full, the settlement is dropped: the key then stays
// claimed, which is safe.
func (c *claimer) settle(settlement message.Settlement) {
	c.unsettled <- struct{}{} // first, so that flush does not miss a queued settlement
	select {
	case c.settlements <- settlement:
	default:
		<-c.unsettled
		c.log.Warn("settlement lost: too many wait for the keepers", "key", settlement.Key, "fate", settlement.State)
	}
}

func (c *claimer) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range claimWorkers {
		group.Go(func() error { return c.claimLoop(ctx) })
	}
	group.Go(func() error { return c.settleLoop(ctx) })
	return group.Wait()
}

// collectBatch waits for one item and returns it with all others that are queued, up to maxBatch.
func collectBatch[T any](ctx context.Context, queue <-chan T) []T {
	var batch []T
	select {
	case <-ctx.Done():
		return nil
	case first := <-queue:
		batch = append(batch, first)
	}
	for len(batch) < maxBatch {
		select {
		case next := <-queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (c *claimer) claimLoop(ctx context.Context) error {
	for {
		batch := collectBatch(ctx, c.claims)
		if len(batch) == 0 {
			return nil
		}
		request := message.ClaimRequest{Claims: make([]message.Claim, len(batch))}
		for i, claim := range batch {
			request.Claims[i] = claim.Claim
		}
		var response message.ClaimResponse
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		ok := c.callLeader(callCtx, message.MethodClaim, request, &response)
		cancel()
		failed := !ok || len(response.Results) != len(batch)
		for i, claim := range batch {
			if failed {
				c.loop.claimDone(claim.ID, message.ClaimResult{}, true)
				continue
			}
			c.loop.claimDone(claim.ID, response.Results[i], false)
		}
	}
}

func (c *claimer) settleLoop(ctx context.Context) error {
	for {
		batch := collectBatch(ctx, c.settlements)
		if len(batch) == 0 {
			return nil
		}
		if !c.callLeader(ctx, message.MethodSettle, message.SettleRequest{Settlements: batch}, nil) {
			return nil
		}
		for range batch {
			<-c.unsettled
		}
	}
}

// callLeader calls the keepers, the leader first, until one answers or ctx ends. Claims and
// settlements may be sent again, because keepers answer repeated ones alike.
func (c *claimer) callLeader(ctx context.Context, method string, params, result any) bool {
	for ctx.Err() == nil {
		for _, conn := range c.keepers.leaderFirst() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err := conn.Call(callCtx, method, params, result)
			cancel()
			if err == nil {
				return true
			}
			c.log.Debug("keeper refused the call; trying the next one", "method", method, "keeper", conn.PeerName(), "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(callRetryDelay):
		}
	}
	return false
}

// flush waits until all settlements are delivered or ctx ends.
func (c *claimer) flush(ctx context.Context) {
	for len(c.unsettled) > 0 && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
	}
	if count := len(c.unsettled); count > 0 {
		c.log.Warn("stopping with unsettled claims: their fate stays unknown", "count", count)
	}
}
