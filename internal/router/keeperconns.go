package router

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// leaderTimeout is how long after its last grant a keeper counts as the leader. After that,
	// reports go to all keepers again.
	leaderTimeout = 700 * time.Millisecond
	// reportQueueSize limits the reports that wait for a slow keeper.
	reportQueueSize = 2
)

// keeperConns holds the router's connections to all keepers.
type keeperConns struct {
	addresses []string
	name      string
	secret    rpc.Secret
	counter   *rpc.Counter
	log       hclog.Logger
	loop      *schedulerLoop

	mu        sync.Mutex
	byAddress map[string]*keeperConn
	leader    *keeperConn
	lastGrant time.Time
}

// keeperConn is an open connection and the reports queued for it.
type keeperConn struct {
	conn    *rpc.Conn
	reports chan message.Report
}

func (k *keeperConns) run(ctx context.Context) error {
	k.mu.Lock()
	k.byAddress = make(map[string]*keeperConn)
	k.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	for _, address := range k.addresses {
		group.Go(func() error { return k.maintainConn(ctx, address) })
	}
	return group.Wait()
}

// maintainConn keeps a connection to one keeper open and redials when it breaks.
func (k *keeperConns) maintainConn(ctx context.Context, address string) error {
	redialDelay := backoff.NewExponentialBackOff()
	redialDelay.InitialInterval = minRedialDelay
	redialDelay.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		conn, err := rpc.Dial(ctx, address, k.name, k.secret, k, k.counter)
		if err == nil {
			redialDelay.Reset()
			k.log.Debug("linked", "keeper", conn.Name(), "address", address)
			k.useConn(ctx, address, conn)
		} else {
			k.log.Debug("connection failed; redialing", "address", address, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay.NextBackOff()):
		}
	}
	return nil
}

func (k *keeperConns) useConn(ctx context.Context, address string, conn *rpc.Conn) {
	keeper := &keeperConn{conn: conn, reports: make(chan message.Report, reportQueueSize)}
	k.mu.Lock()
	k.byAddress[address] = keeper
	k.mu.Unlock()
	defer func() {
		conn.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.byAddress, address)
		if k.leader == keeper {
			k.leader = nil
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			return
		case report := <-keeper.reports:
			if err := conn.Notify(message.MethodReport, report); err != nil {
				return
			}
		}
	}
}

// report sends a report to the leader, or to all keepers while none is known. If a queue is full
// the report is dropped, because the next one contains the same figures.
func (k *keeperConns) report(report message.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leader != nil && time.Since(k.lastGrant) < leaderTimeout {
		k.leader.queueReport(report)
		return
	}
	for _, keeper := range k.byAddress {
		keeper.queueReport(report)
	}
}

func (c *keeperConn) queueReport(report message.Report) {
	select {
	case c.reports <- report:
	default:
	}
}

// Call implements rpc.Handler. Keepers make no calls to a router.
func (k *keeperConns) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, fleet.NewError(fleet.KindMalformed, "call a keeper", "a router serves no calls")
}

// Notice implements rpc.Handler. It applies grants.
func (k *keeperConns) Notice(peer *rpc.Conn, method string, params json.RawMessage) {
	if method != message.MethodGrant {
		return
	}
	var grant message.Grant
	if err := json.Unmarshal(params, &grant); err != nil {
		k.log.Warn("grant cannot be read", "keeper", peer.Name(), "error", err)
		return
	}
	k.loop.applyGrant(grant, func(inForce bool) {
		if inForce {
			k.setLeader(peer)
		}
	})
}

// setLeader records the keeper that leads and the time of its grant.
func (k *keeperConns) setLeader(peer *rpc.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, keeper := range k.byAddress {
		if keeper.conn == peer {
			k.leader = keeper
			k.lastGrant = time.Now()
		}
	}
}

// leaderFirst returns all open connections, the leader's first.
func (k *keeperConns) leaderFirst() []*rpc.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	var conns []*rpc.Conn
	if k.leader != nil {
		conns = append(conns, k.leader.conn)
	}
	for _, keeper := range k.byAddress {
		if keeper != k.leader {
			conns = append(conns, keeper.conn)
		}
	}
	return conns
}
