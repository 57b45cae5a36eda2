package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
)

const (
	peerRing    = 256
	redialPause = 100 * time.Millisecond
	callTimeout = 2 * time.Second
	grantRing   = 16
	// flushTime bounds how long a keeper that stops waits for its last messages to get
	// out: some round trips.
	flushTime = 100 * time.Millisecond
	flushPoll = time.Millisecond
)

// peers carries quorum messages to the other keepers and grants to routers.
// What finds a full ring is dropped: both are repeated.
type peers struct {
	log     hclog.Logger
	name    string
	secret  rpc.Secret
	count   *rpc.Counter
	handler rpc.Handler

	queued atomic.Int64 // messages to members that are not sent yet

	mu      sync.Mutex
	ctx     context.Context
	links   map[string]*peerLink    // by member ID
	routers map[*rpc.Conn]*outbound // by the link that reports come in by
}

var _ carrier = &peers{}

// peerLink is the duty that carries messages to one member.
type peerLink struct {
	address string
	ring    chan quorum.Message
	cancel  context.CancelFunc
}

// outbound is the duty that carries grants to one router.
type outbound struct {
	ring chan message.Grant
}

func (p *peers) run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	<-ctx.Done()
	return nil
}

// setMembers opens and closes links as the membership changes.
func (p *peers) setMembers(self string, members []quorum.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil {
		return
	}
	wanted := make(map[string]bool, len(members))
	for _, m := range members {
		wanted[m.ID] = true
		if m.ID == self || p.links[m.ID] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		l := &peerLink{address: m.Address, ring: make(chan quorum.Message, peerRing), cancel: cancel}
		p.links[m.ID] = l
		go p.carry(ctx, l)
	}
	for id, l := range p.links {
		if !wanted[id] {
			l.cancel()
			delete(p.links, id)
		}
	}
}

// send queues a message to a member. One that is no member, such as a removed
// one that still asks, gets no answer.
func (p *peers) send(m quorum.Message) {
	p.mu.Lock()
	l := p.links[m.To]
	p.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.ring <- m:
		p.queued.Add(1)
	default:
	}
}

// flush waits until what is queued is sent, or cannot be in time.
func (p *peers) flush() {
	for end := time.Now().Add(flushTime); p.queued.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushPoll)
	}
}

func (p *peers) carry(ctx context.Context, l *peerLink) {
	var conn *rpc.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			p.queued.Add(-int64(len(l.ring)))
			return
		case m := <-l.ring:
			if conn == nil {
				conn = p.open(ctx, l)
			}
			if conn != nil && conn.Notify(message.MethodQuorum, m) != nil {
				conn.Close() // what is lost is repeated
				conn = nil
			}
			p.queued.Add(-1)
		}
	}
}

// open dials a member. While it cannot be reached, what waits for it is
// dropped, so that it does not get a backlog of old messages later.
func (p *peers) open(ctx context.Context, l *peerLink) *rpc.Conn {
	conn, err := rpc.Dial(ctx, l.address, p.name, p.secret, p.handler, p.count)
	if err == nil {
		return conn
	}
	p.log.Debug("keeper cannot be reached", "address", l.address, "error", err)
	sleep(ctx, redialPause)
	for {
		select {
		case <-l.ring:
			p.queued.Add(-1)
		default:
			return nil
		}
	}
}

// grant queues a grant on the link that the router's reports come in by.
func (p *peers) grant(conn *rpc.Conn, g message.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routers == nil {
		p.routers = make(map[*rpc.Conn]*outbound)
	}
	o := p.routers[conn]
	if o == nil {
		o = &outbound{ring: make(chan message.Grant, grantRing)}
		p.routers[conn] = o
		go p.carryGrants(conn, o)
	}
	select {
	case o.ring <- g:
	default:
		p.log.Warn("grant dropped: the router takes none", "router", conn.Name())
	}
}

func (p *peers) carryGrants(conn *rpc.Conn, o *outbound) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.routers, conn)
	}()
	for {
		select {
		case <-conn.Done():
			return
		case g := <-o.ring:
			if err := conn.Notify(message.MethodGrant, g); err != nil {
				conn.Close()
				return
			}
		}
	}
}
