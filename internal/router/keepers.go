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
	redialFirst = 50 * time.Millisecond
	redialLast  = time.Second
	// leaderSilence is how long after its last grant a keeper still counts as
	// the leader; then reports go to all keepers again.
	leaderSilence = 700 * time.Millisecond
	// reportRing bounds the reports that wait for a slow keeper.
	reportRing = 2
)

// keepers are the router's links to all keepers.
type keepers struct {
	addresses []string
	name      string
	secret    rpc.Secret
	count     *rpc.Counter
	log       hclog.Logger
	desk      *desk

	mu      sync.Mutex
	links   map[string]*keeperLink
	leader  *keeperLink
	granted time.Time
}

// keeperLink is one open link and the reports that wait for it.
type keeperLink struct {
	conn    *rpc.Conn
	reports chan message.Report
}

func (k *keepers) run(ctx context.Context) error {
	k.mu.Lock()
	k.links = make(map[string]*keeperLink)
	k.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	for _, address := range k.addresses {
		g.Go(func() error { return k.keepLink(ctx, address) })
	}
	return g.Wait()
}

// keepLink holds a link to one keeper and opens it again when it breaks.
func (k *keepers) keepLink(ctx context.Context, address string) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = redialFirst
	pause.MaxInterval = redialLast
	for ctx.Err() == nil {
		conn, err := rpc.Dial(ctx, address, k.name, k.secret, k, k.count)
		if err == nil {
			pause.Reset()
			k.log.Debug("linked", "keeper", conn.PeerName(), "address", address)
			k.useLink(ctx, address, conn)
		} else {
			k.log.Debug("no link", "address", address, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
	return nil
}

func (k *keepers) useLink(ctx context.Context, address string, conn *rpc.Conn) {
	l := &keeperLink{conn: conn, reports: make(chan message.Report, reportRing)}
	k.mu.Lock()
	k.links[address] = l
	k.mu.Unlock()
	defer func() {
		conn.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.links, address)
		if k.leader == l {
			k.leader = nil
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			return
		case r := <-l.reports:
			if err := conn.Notify(message.MethodReport, r); err != nil {
				return
			}
		}
	}
}

// report sends a report to the leader, or to all keepers while none is known.
// One that finds a full ring is dropped: the next holds all that it did.
func (k *keepers) report(r message.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leader != nil && time.Since(k.granted) < leaderSilence {
		k.leader.offer(r)
		return
	}
	for _, l := range k.links {
		l.offer(r)
	}
}

func (l *keeperLink) offer(r message.Report) {
	select {
	case l.reports <- r:
	default:
	}
}

// Call implements rpc.Handler. Keepers call nothing of a router.
func (k *keepers) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, fleet.NewError(fleet.KindMalformed, "call a keeper", "a router serves no calls")
}

// Notify implements rpc.Handler: it takes grants.
func (k *keepers) Notify(peer *rpc.Conn, method string, params json.RawMessage) {
	if method != message.MethodGrant {
		return
	}
	var g message.Grant
	if err := json.Unmarshal(params, &g); err != nil {
		k.log.Warn("grant cannot be read", "keeper", peer.PeerName(), "error", err)
		return
	}
	k.desk.granted(g, func(inForce bool) {
		if inForce {
			k.follow(peer)
		}
	})
}

// follow notes which keeper leads.
func (k *keepers) follow(peer *rpc.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.links {
		if l.conn == peer {
			k.leader = l
			k.granted = time.Now()
		}
	}
}

// conns returns the links in the order in which to try them: the leader's
// first.
func (k *keepers) conns() []*rpc.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []*rpc.Conn
	if k.leader != nil {
		list = append(list, k.leader.conn)
	}
	for _, l := range k.links {
		if l != k.leader {
			list = append(list, l.conn)
		}
	}
	return list
}
