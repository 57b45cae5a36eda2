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

// A reply is what came of a question to one keeper.
type reply struct {
	address string
	conn    *rpc.Conn
	dialed  bool // for this question
	packs   bool // the question may be packed
	asked   time.Time
	mine    []message.Backlog // that the question reported
	answer  message.RenewResponse
	err     error
}

// ask puts the question to the leader last heard of. While that does not answer, it
// asks the others by turns too, without giving the first one up: the leader may be
// gone, its link silent, its answer long or this router behind, and nothing tells
// which. One after the other, two keepers that are gone cost up to three seconds by
// calculation; a configuration was not in force in time on a day with two gone.
func (u *Client) ask(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	round := newRound(u)
	defer func() {
		cancel() // ends what is still asked
		round.drop()
	}()
	first, patience, most := u.last, callTimeout, longestCall
	if first == "" {
		first, patience, most = u.nextOther(), searchPause, searchCall
	}
	u.beat(patience)
	round.ask(ctx, first, false)
	end := time.After(most)
	tick := time.NewTicker(patience)
	defer tick.Stop()
	for round.open > 0 {
		select {
		case <-ctx.Done():
			return
		case <-end:
			round.dropSilent()
			u.lost()
			return
		case <-tick.C:
			u.beat(patience)
			round.askNext(ctx)
		case r := <-round.replies:
			round.open--
			if round.heard(ctx, r) {
				return
			}
		}
	}
	u.lost()
}

// call asks one keeper. It touches nothing of the uplink that changes.
func (u *Client) call(ctx context.Context, q reply, ask message.RenewRequest) reply {
	if q.conn == nil {
		q.conn, q.err = rpc.Dial(ctx, q.address, u.Name, u.Secret, noCalls{}, &u.count)
		q.dialed = true
	}
	if q.err != nil {
		return q
	}
	if !q.packs {
		q.err = q.conn.Call(ctx, message.MethodRenew, ask, &q.answer)
		return q
	}
	var p message.PackedRenewRequest
	if p, q.err = ask.Pack(); q.err == nil {
		q.err = q.conn.Call(ctx, message.MethodRenewPacked, p, &q.answer)
	}
	return q
}

// keep keeps the link of a reply, or gives it up if it failed.
func (u *Client) keep(q reply) {
	if q.conn == nil {
		return
	}
	held := u.links[q.address]
	switch {
	case q.err != nil:
		q.conn.Close()
		if held == q.conn {
			delete(u.links, q.address)
		}
	case held != q.conn:
		if held != nil {
			held.Close() // it answered nothing, or later than the new one
		}
		u.links[q.address] = q.conn
	}
	if q.err == nil && q.answer.AcceptsPacked {
		u.packs = q.conn
	}
}

// nextOther returns the keepers beside the one thought to lead, in turn.
func (u *Client) nextOther() string {
	list := u.others()
	for range list {
		u.turn++
		if address := list[u.turn%len(list)]; address != u.last {
			return address
		}
	}
	return ""
}

// others returns every keeper that was ever heard of.
func (u *Client) others() []string {
	seen := make(map[string]bool)
	var list []string
	for _, a := range append(append([]string(nil), u.keepers...), u.seedList()...) {
		if !seen[a] {
			seen[a] = true
			list = append(list, a)
		}
	}
	return list
}

func (u *Client) lost() {
	if u.leader == "" {
		return
	}
	u.Log.Warn("keepers: no leader found; going on with what is known", "last", u.leader,
		"silent", u.Clock.Now().Sub(u.renewed).Milliseconds(), "number", u.number())
	u.leader = ""
}

func (u *Client) number() uint64 {
	if s := u.state.Load(); s != nil && s.Table != nil {
		return s.Table.Number
	}
	return 0
}

// noCalls is the handler of a link over which the keepers ask nothing.
type noCalls struct{}

var errNoCalls = errors.New("a router serves no calls (ask a keeper)")

// Call implements rpc.Handler.
func (noCalls) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, errNoCalls
}

// Notice implements rpc.Handler.
func (noCalls) Notice(*rpc.Conn, string, json.RawMessage) {}

// mostKeepers bounds the keepers that a router remembers from hearsay: some times as many
// as there may be.
const mostKeepers = 64

// learn adds keepers that one who does not lead has named. What a leader says replaces it.
func (u *Client) learn(addresses []string) {
	for _, a := range addresses {
		if a != "" && len(u.keepers) < mostKeepers && !slices.Contains(u.keepers, a) {
			u.keepers, u.members = append(u.keepers, a), 0
		}
	}
}
