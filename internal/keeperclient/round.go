package keeperclient

import (
	"context"
	"time"

	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

// A renewalRound is one attempt to get a response from the leader.
type renewalRound struct {
	client       *Client
	replies      chan renewalReply
	pending      int // requests without a reply
	requestCount int // requests sent
	askedKeepers map[string]bool
	redialed     map[string]bool      // keepers asked again over a new connection
	firstAsked   map[string]time.Time // when each keeper was first asked in this round
	pendingConns map[string]*rpc.Conn // connections with an unanswered request
}

func newRenewalRound(client *Client) *renewalRound {
	return &renewalRound{
		client: client, replies: make(chan renewalReply, maxRoundRequests), askedKeepers: make(map[string]bool), redialed: make(map[string]bool),
		firstAsked: make(map[string]time.Time), pendingConns: make(map[string]*rpc.Conn),
	}
}

// send sends a renewal request to a keeper, unless the keeper was already asked in this round.
// With redial, it asks again over a new connection, because the existing one may be silent.
func (r *renewalRound) send(ctx context.Context, address string, redial bool) {
	if address == "" || r.requestCount >= maxRoundRequests || r.askedKeepers[address] && !redial {
		return
	}
	r.askedKeepers[address] = true
	r.pending++
	r.requestCount++
	client := r.client
	reply := renewalReply{address: address, sentAt: client.Clock.Now()}
	if _, ok := r.firstAsked[address]; !ok {
		r.firstAsked[address] = reply.sentAt
	}
	if !redial {
		reply.conn = client.conns[address]
		reply.packed = reply.conn != nil && reply.conn == client.packedConn
	}
	request := message.RenewRequest{Router: client.Name, Zone: client.Zone, Incarnation: client.Incarnation, Number: client.configNumber(), Term: client.listTerm, ListRevision: client.listRevision, AcceptsColumns: true, AccountsDigest: client.accountsDigest, KeepersDigest: client.keepersDigest}
	request.Demand, request.Backlog = client.Load(reply.sentAt)
	reply.ownBacklog = request.Backlog
	request.PeerAddress, request.PeersDigest = client.PeerAddress, client.peersDigest
	request.EvacuationRevision = client.State().Evacuated.Revision
	if client.PaceNews != nil {
		request.Paces = client.PaceNews(reply.sentAt)
	}
	if client.WarmupLease != nil {
		request.WarmupLease = client.WarmupLease(reply.sentAt)
	}
	if client.QuarantineReport != nil {
		report := client.QuarantineReport(reply.sentAt)
		request.Quarantine = &report
	}
	if client.KeptReport != nil {
		request.Kept = client.KeptReport(reply.sentAt)
	}
	if reply.conn != nil {
		r.pendingConns[address] = reply.conn
	}
	go func() { r.replies <- client.sendRenewal(ctx, reply, request) }()
}

// sendToNext sends a request to the next keeper. While no leader is known, keepers that were
// already asked are asked again over a new connection: after a restart of the whole fleet,
// keepers that were asked before they ran never reply, and a router that waited for the end of
// its round got its configuration up to half a second later than one that started after the
// keepers.
func (r *renewalRound) sendToNext(ctx context.Context) {
	r.send(ctx, r.client.nextCandidate(), r.client.likelyLeader == "")
}

// handleReply processes a reply and reports whether the round is over. It is over if the leader
// has answered, or if no leader is known: then a new round soon is better than waiting for a
// keeper that may have failed. Any other reply determines which keeper to ask next.
func (r *renewalRound) handleReply(ctx context.Context, reply renewalReply) bool {
	client := r.client
	if r.pendingConns[reply.address] == reply.conn {
		delete(r.pendingConns, reply.address)
	}
	client.updateConn(reply)
	if reply.err == nil && !reply.response.Leads {
		client.addKeepers(reply.response.Keepers)
	}
	leader := reply.response.Leader
	switch {
	case reply.err != nil:
		client.Log.Debug("keeper did not answer; asking another one", "keeper", reply.address, "error", reply.err)
		if r.pending == 0 {
			r.send(ctx, client.nextCandidate(), false)
		}
	case reply.response.Leads:
		client.applyLeaderResponse(reply.sentAt, reply.address, reply.ownBacklog, reply.response)
		return true
	case leader == "":
		if reply.address == client.likelyLeader {
			client.likelyLeader = "" // it led before
		}
		delete(r.askedKeepers, reply.address) // it may name a leader the next time
		if client.likelyLeader == "" {
			client.markLeaderLost()
			return true
		}
	case leader == reply.address:
		client.likelyLeader = leader // it has just been elected and may not answer as the leader yet
		client.markLeaderLost()
		return true
	case r.overdue(leader):
		r.send(ctx, leader, !r.markRedialed(leader))
	default:
		client.likelyLeader = leader
		r.send(ctx, leader, false)
	}
	return false
}

// overdue reports whether a keeper that others name as the leader has left a request unanswered
// for hedgeDelay. Opening new connections earlier would overload a newly elected leader, because
// all routers send to it at that moment.
func (r *renewalRound) overdue(address string) bool {
	sentAt, asked := r.firstAsked[address]
	return asked && r.client.Clock.Now().Sub(sentAt) >= hedgeDelay
}

// markRedialed records that a keeper is asked over a new connection. It reports whether that was
// already done.
func (r *renewalRound) markRedialed(address string) bool {
	alreadyRedialed := r.redialed[address]
	r.redialed[address] = true
	return alreadyRedialed
}

// closeSilentConns closes connections on which a request stayed unanswered for the whole round:
// the connections or their keepers may no longer respond.
func (r *renewalRound) closeSilentConns() {
	for address, conn := range r.pendingConns {
		conn.Close()
		if r.client.conns[address] == conn {
			delete(r.client.conns, address)
		}
	}
}

// discardPending closes the connections opened for requests whose replies are no longer needed.
func (r *renewalRound) discardPending() {
	go func() {
		for range r.pending {
			if reply := <-r.replies; reply.dialed && reply.conn != nil {
				reply.conn.Close()
			}
		}
	}()
}
