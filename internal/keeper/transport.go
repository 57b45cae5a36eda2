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
	peerQueueSize   = 256
	redialDelay     = 100 * time.Millisecond
	peerCallTimeout = 2 * time.Second
	grantQueueSize  = 16
	// flushTimeout bounds how long a stopping keeper waits until its last messages are sent: a
	// few round trips.
	flushTimeout      = 100 * time.Millisecond
	flushPollInterval = time.Millisecond
)

// An rpcTransport sends quorum messages to the other keepers and grants to routers. It drops
// messages for which the queue is full, because both kinds are repeated.
type rpcTransport struct {
	log     hclog.Logger
	name    string
	secret  rpc.Secret
	counter *rpc.Counter
	handler rpc.Handler

	pendingCount atomic.Int64 // messages to members that are not sent yet

	mu           sync.Mutex
	ctx          context.Context
	peerSenders  map[string]*peerSender     // by member ID
	grantSenders map[*rpc.Conn]*grantSender // by the connection on which the router reports
}

var _ transport = &rpcTransport{}

// A peerSender is the queue of messages to one member, and the goroutine that sends them.
type peerSender struct {
	address string
	queue   chan quorum.Message
	cancel  context.CancelFunc
}

// A grantSender is the queue of grants to one router.
type grantSender struct {
	queue chan message.Grant
}

func (t *rpcTransport) run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	return nil
}

// setMembers starts and stops senders as the membership changes.
func (t *rpcTransport) setMembers(selfID string, members []quorum.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil {
		return
	}
	wanted := make(map[string]bool, len(members))
	for _, member := range members {
		wanted[member.ID] = true
		if member.ID == selfID || t.peerSenders[member.ID] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(t.ctx)
		sender := &peerSender{address: member.Address, queue: make(chan quorum.Message, peerQueueSize), cancel: cancel}
		t.peerSenders[member.ID] = sender
		go t.sendMessages(ctx, sender)
	}
	for id, sender := range t.peerSenders {
		if !wanted[id] {
			sender.cancel()
			delete(t.peerSenders, id)
		}
	}
}

// send queues a message to a member. A process that is not a member, such as a removed one that
// still sends requests, gets no response.
func (t *rpcTransport) send(msg quorum.Message) {
	t.mu.Lock()
	sender := t.peerSenders[msg.To]
	t.mu.Unlock()
	if sender == nil {
		return
	}
	select {
	case sender.queue <- msg:
		t.pendingCount.Add(1)
	default:
	}
}

// flush waits until the queued messages are sent, for at most flushTimeout.
func (t *rpcTransport) flush() {
	for deadline := time.Now().Add(flushTimeout); t.pendingCount.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}

func (t *rpcTransport) sendMessages(ctx context.Context, sender *peerSender) {
	var conn *rpc.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			t.pendingCount.Add(-int64(len(sender.queue)))
			return
		case msg := <-sender.queue:
			if conn == nil {
				conn = t.dialMember(ctx, sender)
			}
			if conn != nil && conn.Notify(message.MethodQuorum, msg) != nil {
				conn.Close() // lost messages are repeated
				conn = nil
			}
			t.pendingCount.Add(-1)
		}
	}
}

// dialMember connects to a member. If that fails, it drops the queued messages, so that the
// member does not get a backlog of old messages later.
func (t *rpcTransport) dialMember(ctx context.Context, sender *peerSender) *rpc.Conn {
	conn, err := rpc.Dial(ctx, sender.address, t.name, t.secret, t.handler, t.counter)
	if err == nil {
		return conn
	}
	t.log.Debug("keeper is unreachable", "address", sender.address, "error", err)
	sleep(ctx, redialDelay)
	for {
		select {
		case <-sender.queue:
			t.pendingCount.Add(-1)
		default:
			return nil
		}
	}
}

// sendGrant queues a grant on the connection on which the router reports.
func (t *rpcTransport) sendGrant(conn *rpc.Conn, grant message.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grantSenders == nil {
		t.grantSenders = make(map[*rpc.Conn]*grantSender)
	}
	sender := t.grantSenders[conn]
	if sender == nil {
		sender = &grantSender{queue: make(chan message.Grant, grantQueueSize)}
		t.grantSenders[conn] = sender
		go t.sendGrants(conn, sender)
	}
	select {
	case sender.queue <- grant:
	default:
		t.log.Warn("grant dropped: the router takes none", "router", conn.PeerName())
	}
}

func (t *rpcTransport) sendGrants(conn *rpc.Conn, sender *grantSender) {
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.grantSenders, conn)
	}()
	for {
		select {
		case <-conn.Done():
			return
		case grant := <-sender.queue:
			if err := conn.Notify(message.MethodGrant, grant); err != nil {
				conn.Close()
				return
			}
		}
	}
}
