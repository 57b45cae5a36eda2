package keeperclient

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

// A renewalReply is the outcome of one renewal request to one keeper.
type renewalReply struct {
	address    string
	conn       *rpc.Conn
	dialed     bool // conn was opened for this request
	packed     bool // the request may be sent packed
	sentAt     time.Time
	ownBacklog []message.Backlog // the backlog that the request reported
	response   message.RenewResponse
	err        error
}

// renew runs one renewal round: it sends a request to the keeper that is believed to lead and,
// while that keeper does not answer, to the other keepers in turn, one per interval. The first
// request stays open, because the router cannot distinguish a failed leader, a silent connection,
// a response that takes long and a router that is itself overloaded. With one request at a time,
// two failed keepers would cost up to three seconds by calculation; with two failed keepers, a
// configuration did not come into force in time.
//
// After a stall of the process, the response may have arrived and be unread, so the round waits once
// more before it gives up.
func (c *Client) renew(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	round := newRenewalRound(c)
	defer func() {
		cancel() // ends the requests that are still pending
		round.discardPending()
	}()
	first, interval, timeout := c.likelyLeader, hedgeDelay, roundTimeout
	if first == "" {
		first, interval, timeout = c.nextCandidate(), searchInterval, searchRoundTimeout
	}
	c.noteProgress(interval)
	round.send(ctx, first, false)
	expired := time.After(timeout)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for round.pending > 0 {
		select {
		case <-ctx.Done():
			return
		case <-expired:
			if c.noteProgress(interval) {
				expired = time.After(hedgeDelay)
				continue
			}
			round.closeSilentConns()
			c.markLeaderLost()
			return
		case <-ticker.C:
			if c.noteProgress(interval) {
				expired = time.After(hedgeDelay)
			}
			round.sendToNext(ctx)
		case reply := <-round.replies:
			round.pending--
			if round.handleReply(ctx, reply) {
				return
			}
		}
	}
	c.markLeaderLost()
}

// sendRenewal sends one request to one keeper and returns the reply with the outcome. It runs
// concurrently with the round, so it must not access fields of the client that change.
func (c *Client) sendRenewal(ctx context.Context, reply renewalReply, request message.RenewRequest) renewalReply {
	if reply.conn == nil {
		reply.conn, reply.err = rpc.Dial(ctx, reply.address, c.Name, c.Secret, noCallsHandler{}, &c.rpcCounter)
		reply.dialed = true
	}
	if reply.err != nil {
		return reply
	}
	if !reply.packed {
		reply.err = reply.conn.Call(ctx, message.MethodRenew, request, &reply.response)
		return reply
	}
	var packed message.PackedRenewRequest
	if packed, reply.err = request.Pack(); reply.err == nil {
		reply.err = reply.conn.Call(ctx, message.MethodRenewPacked, packed, &reply.response)
	}
	return reply
}

// updateConn keeps the connection of a reply for later requests, or closes it if the request
// failed.
func (c *Client) updateConn(reply renewalReply) {
	if reply.conn == nil {
		return
	}
	current := c.conns[reply.address]
	switch {
	case reply.err != nil:
		reply.conn.Close()
		if current == reply.conn {
			delete(c.conns, reply.address)
		}
	case current != reply.conn:
		if current != nil {
			current.Close() // it did not answer, or answered later than the new connection
		}
		c.conns[reply.address] = reply.conn
	}
	if reply.err == nil && reply.response.AcceptsPacked {
		c.packedConn = reply.conn
	}
}

// nextCandidate returns the address of the next keeper to try besides the likely leader, in
// rotation, or "" if there is none.
func (c *Client) nextCandidate() string {
	candidates := c.knownKeepers()
	for range candidates {
		c.rotation++
		if address := candidates[c.rotation%len(candidates)]; address != c.likelyLeader {
			return address
		}
	}
	return ""
}

// knownKeepers returns the addresses of all known keepers, without duplicates: those learned from
// keepers, then the seeds.
func (c *Client) knownKeepers() []string {
	seen := make(map[string]bool)
	var addresses []string
	for _, address := range append(append([]string(nil), c.keepers...), c.seedAddresses()...) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (c *Client) markLeaderLost() {
	if c.leader == "" {
		return
	}
	c.Log.Warn("keepers: no leader found; going on with what is known", "last", c.leader,
		"silent", c.Clock.Now().Sub(c.renewedAt).Milliseconds(), "number", c.configNumber())
	c.leader = ""
}

func (c *Client) configNumber() uint64 {
	if state := c.state.Load(); state != nil && state.Table != nil {
		return state.Table.Number
	}
	return 0
}

// noCallsHandler handles connections over which keepers make no calls.
type noCallsHandler struct{}

var errNoCalls = errors.New("a router serves no calls (ask a keeper)")

// Call implements rpc.Handler.
func (noCallsHandler) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, errNoCalls
}

// Notify implements rpc.Handler.
func (noCallsHandler) Notify(*rpc.Conn, string, json.RawMessage) {}

// maxKnownKeepers limits how many keepers a router remembers from answers of followers. It is
// several times the largest number of keepers.
const maxKnownKeepers = 64

// addKeepers adds keepers named by a keeper that does not lead. The next list of a leader
// replaces all of them.
func (c *Client) addKeepers(addresses []string) {
	for _, address := range addresses {
		if address != "" && len(c.keepers) < maxKnownKeepers && !slices.Contains(c.keepers, address) {
			c.keepers, c.keepersDigest = append(c.keepers, address), 0
		}
	}
}
