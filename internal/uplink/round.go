package uplink

import (
	"context"
	"time"

	"laburnumfall/internal/link"
	"laburnumfall/internal/message"
)

// A round is one search for the leader's answer.
type round struct {
	uplink  *Uplink
	replies chan reply
	open    int // questions without a reply
	count   int // questions
	asked   map[string]bool
	fresh   map[string]bool       // asked over a fresh link
	since   map[string]time.Time  // when it was asked first
	waiting map[string]*link.Conn // links over which a question has no reply
}

func newRound(u *Uplink) *round {
	return &round{
		uplink: u, replies: make(chan reply, mostAsked), asked: make(map[string]bool), fresh: make(map[string]bool),
		since: make(map[string]time.Time), waiting: make(map[string]*link.Conn),
	}
}

// ask puts the question to a keeper, unless it was asked in this round. A fresh
// question goes over a link of its own: the one that is there may have gone silent.
func (r *round) ask(ctx context.Context, address string, fresh bool) {
	if address == "" || r.count >= mostAsked || r.asked[address] && !fresh {
		return
	}
	r.asked[address] = true
	r.open++
	r.count++
	u := r.uplink
	q := reply{address: address, asked: u.Clock.Now()}
	if _, ok := r.since[address]; !ok {
		r.since[address] = q.asked
	}
	if !fresh {
		q.conn = u.links[address]
		q.packs = q.conn != nil && q.conn == u.packs
	}
	ask := message.Renew{Router: u.Name, Zone: u.Zone, Inc: u.Inc, Number: u.number(), Term: u.term, List: u.list, Columns: true, Names: u.names, Members: u.members}
	ask.Demand, ask.Backlog = u.Load(q.asked)
	q.mine = ask.Backlog
	ask.Evacuations = u.State().Evacuated.Revision
	if u.Found != nil {
		ask.Absent, ask.Absences = u.Found(q.asked), u.absences
	}
	if u.Held != nil {
		ask.Seat = u.Held(q.asked)
	}
	if u.Quarantine != nil {
		report := u.Quarantine(q.asked)
		ask.Quarantine = &report
	}
	if q.conn != nil {
		r.waiting[address] = q.conn
	}
	go func() { r.replies <- u.call(ctx, q, ask) }()
}

// askNext puts the question to the next keeper. While no leader is known, to one that
// was asked already too, over a fresh link: after a restart of everything, keepers that
// were asked before they ran leave their question without any reply, and a router that
// waited for the end of its round had no configuration for up to half a second longer
// than one that had started after them.
func (r *round) askNext(ctx context.Context) {
	r.ask(ctx, r.uplink.nextOther(), r.uplink.last == "")
}

// heard takes a reply, and reports whether the round is over: a leader has answered,
// or nobody is known to lead, so that it is better to ask again shortly than to wait
// for a keeper that may be gone. Another reply tells whom to ask next.
func (r *round) heard(ctx context.Context, q reply) bool {
	u := r.uplink
	if r.waiting[q.address] == q.conn {
		delete(r.waiting, q.address)
	}
	u.keep(q)
	if q.err == nil && !q.answer.Leads {
		u.learn(q.answer.Keepers)
	}
	leader := q.answer.Leader
	switch {
	case q.err != nil:
		u.Log.Debug("a keeper did not answer: asking on", "keeper", q.address, "error", q.err)
		if r.open == 0 {
			r.ask(ctx, u.nextOther(), false)
		}
	case q.answer.Leads:
		u.take(q.asked, q.address, q.mine, q.answer)
		return true
	case leader == "":
		if q.address == u.last {
			u.last = "" // it led before
		}
		delete(r.asked, q.address) // it may know by the next time
		if u.last == "" {
			u.lost()
			return true
		}
	case leader == q.address:
		u.last = leader // it has just been elected and may not answer as leader yet
		u.lost()
		return true
	case r.stalled(leader):
		r.ask(ctx, leader, !r.again(leader))
	default:
		u.last = leader
		r.ask(ctx, leader, false)
	}
	return false
}

// stalled reports whether a keeper that others say leads has left a question without a
// reply for too long. To open links sooner would swamp a leader that has just been
// elected: all routers ask it at that moment.
func (r *round) stalled(address string) bool {
	at, asked := r.since[address]
	return asked && r.uplink.Clock.Now().Sub(at) >= callTimeout
}

// again reports whether a keeper was asked over a fresh link already, and notes it.
func (r *round) again(address string) bool {
	was := r.fresh[address]
	r.fresh[address] = true
	return was
}

// dropSilent gives up links that left a whole round without an answer: they, or their
// keepers, may have gone silent.
func (r *round) dropSilent() {
	for address, conn := range r.waiting {
		conn.Close()
		if r.uplink.links[address] == conn {
			delete(r.uplink.links, address)
		}
	}
}

// drop closes links that were opened for questions whose reply nobody takes.
func (r *round) drop() {
	go func() {
		for range r.open {
			if q := <-r.replies; q.dialed && q.conn != nil {
				q.conn.Close()
			}
		}
	}()
}
