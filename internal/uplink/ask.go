package uplink

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"laburnumfall/internal/link"
	"laburnumfall/internal/message"
)

// ask puts the question to the leader last heard of, and to some others if that
// does not answer as leader. It does not walk through all of them: a router that
// is behind gets no answer from anybody in time, and must come back to the leader
// soon.
func (u *Uplink) ask(ctx context.Context) {
	if u.last != "" && u.askLeader(ctx, u.last) {
		return
	}
	for range othersAsked {
		address := u.nextOther()
		if address == "" || ctx.Err() != nil {
			break
		}
		r, ok := u.askOne(ctx, address, callTimeout)
		switch {
		case ok && r.Leads:
			return
		case ok && r.Leader == "":
			u.last = "" // the one before no longer leads
		case ok && r.Leader != u.last:
			u.last = r.Leader
			if u.askLeader(ctx, r.Leader) {
				return
			}
		}
	}
	u.lost()
}

// askLeader asks the keeper that is thought to lead, with patience: its answer
// may be long, or this router behind.
func (u *Uplink) askLeader(ctx context.Context, address string) bool {
	patience := max(u.patience, callTimeout)
	r, ok := u.askOne(ctx, address, patience)
	switch {
	case ok && r.Leads:
		u.patience = max(patience*9/10, callTimeout)
		return true
	case ok:
		u.last = r.Leader
	default:
		u.patience = min(2*patience, longestCall)
	}
	return false
}

// nextOther returns the keepers beside the one thought to lead, in turn.
func (u *Uplink) nextOther() string {
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
func (u *Uplink) others() []string {
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

func (u *Uplink) lost() {
	if u.leader == "" {
		return
	}
	u.Log.Warn("keepers: no leader found; going on with what is known", "last", u.leader,
		"silent", u.Clock.Now().Sub(u.renewed).Milliseconds(), "number", u.number())
	u.leader = ""
}

// askOne asks one keeper.
func (u *Uplink) askOne(ctx context.Context, address string, patience time.Duration) (message.Renewal, bool) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	conn, err := u.link(ctx, address)
	if err != nil {
		return message.Renewal{}, false
	}
	ask := message.Renew{Router: u.Name, Zone: u.Zone, Inc: u.Inc, Number: u.number(), Term: u.term, List: u.list, Columns: true}
	asked := u.Clock.Now()
	ask.Demand, ask.Backlog = u.Load(asked)
	var r message.Renewal
	if err := conn.Call(ctx, message.MethodRenew, ask, &r); err != nil {
		u.missed(address, conn, ctx.Err() != nil)
		return message.Renewal{}, false
	}
	u.misses[address] = 0
	if r.Leads {
		u.take(asked, address, ask.Backlog, r)
	}
	return r, true
}

// missed notes a question without an answer. A link that answers nothing twice
// has gone silent, or its keeper has; to open one anew each time would cost a
// router that is behind more than it has.
func (u *Uplink) missed(address string, conn *link.Conn, late bool) {
	u.misses[address]++
	if late && u.misses[address] < silentMisses {
		return
	}
	u.misses[address] = 0
	conn.Close()
	delete(u.links, address)
}

func (u *Uplink) link(ctx context.Context, address string) (*link.Conn, error) {
	if conn := u.links[address]; conn != nil {
		return conn, nil
	}
	conn, err := link.Dial(ctx, address, u.Name, u.Secret, noCalls{}, &u.count)
	if err != nil {
		return nil, err
	}
	u.links[address] = conn
	return conn, nil
}

func (u *Uplink) number() uint64 {
	if s := u.state.Load(); s != nil && s.Table != nil {
		return s.Table.Number
	}
	return 0
}

// noCalls is the handler of a link over which the keepers ask nothing.
type noCalls struct{}

var errNoCalls = errors.New("a router serves no calls (ask a keeper)")

// Call implements link.Handler.
func (noCalls) Call(context.Context, *link.Conn, string, json.RawMessage) (any, error) {
	return nil, errNoCalls
}

// Notice implements link.Handler.
func (noCalls) Notice(*link.Conn, string, json.RawMessage) {}
