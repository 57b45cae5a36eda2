package keeper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/ledger"
	"laburnumfall/internal/message"
	"laburnumfall/internal/packed"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/quota"
	"laburnumfall/internal/roster"
	"laburnumfall/internal/warmup"
)

// routerMemory is how long a router counts after it last renewed. One that is cut
// off goes on sending, and using its part of what all routers share.
const routerMemory = 30 * time.Second

// sweepPause is kept between two looks for routers that count no longer. At each renewal
// it would take a leader time with the square of the routers.
const sweepPause = time.Second

// routes is what a leader knows for the routers of routes. All but the document
// is soft: a new leader learns it within a second.
type routes struct {
	routers map[string]time.Time // when each last renewed
	swept   time.Time            // when these were looked through last
	targets []fleet.Instance
	damaged []string // IDs that damaged entries of the list name
	packed  []byte   // targets
	sums    packedSums
	names   quota.Names // of accounts
	// list counts the changes of targets within the term.
	list   uint64
	term   uint64
	readAt time.Time
	board  quota.Board
	own    ledger.Document // the product's own configuration, packed
	absent roster.Absences
	listed map[fleet.Incarnation]bool // targets

	warming warming
	seats   warmup.Seats // of seatsOf
	seatsOf uint64       // the term
}

// renew answers a router. The lease of the leader is looked up right here: the
// router counts its keys from when it asked, so that an answer that is held up
// afterwards renews nothing for longer.
func (c *core) renew(now time.Time, p message.Renew) message.Renewal {
	r := message.Renewal{Term: c.node.Term()}
	if keepers := c.addresses(); p.Members != message.Digest(keepers) {
		r.Keepers = keepers
	}
	if !c.leads(now) {
		r.Leader = c.leaderAddress()
		return r
	}
	c.routes.see(now, p.Router)
	c.routes.board.Report(now, p.Router, p.Demand, p.Backlog)
	r.Leads = true
	r.Seat = c.seats(now).Renew(now, p.Router, p.Inc, p.Seat)
	if e := c.ledger.Evacuations(); e.Revision != p.Evacuations {
		r.Evacuations = &e
	}
	c.routes.absent.Report(now, p.Absent, func(in fleet.Incarnation) bool { return c.routes.listed[in] })
	if revision, targets := c.routes.absent.Now(now); revision != p.Absences {
		r.Absences = &message.Absences{Revision: revision, Targets: targets}
	}
	if p.Columns {
		r.Loads = c.loads(now, p.Names)
	} else {
		r.Demand, r.Backlog, _ = c.routes.board.Sums(now)
	}
	r.Routers = len(c.routes.routers)
	if p.Quarantine != nil {
		c.takeQuarantine(now, message.Owner(p.Router, p.Inc), *p.Quarantine)
		r.Rulings = c.rulings(now, *p.Quarantine)
	}
	d := c.document()
	r.Number = d.Number
	if p.Number != d.Number {
		r.Text = d.Text
	}
	if c.routes.list == 0 || c.routes.term != r.Term {
		return r
	}
	r.List = c.routes.list
	r.Age = now.Sub(c.routes.readAt)
	if p.Term == r.Term && p.List == r.List {
		return r
	}
	r.Damaged, r.Warming = c.routes.damaged, c.routes.warming.at(now)
	if p.Columns {
		r.Roll = c.routes.packed
	} else {
		r.Targets = c.routes.targets
	}
	return r
}

// packedSums are what all routers report, summed at a time and packed, with the accounts and
// without.
type packedSums struct {
	at             time.Time
	names          uint32 // digest of the accounts
	named, unnamed []byte
}

// loads returns the sums of what routers report, packed, for a router that holds the accounts
// of a digest. All that hold the same get the same until the sums or the targets change.
func (c *core) loads(now time.Time, held uint32) []byte {
	demand, backlog, summed := c.routes.board.Sums(now)
	if c.routes.sums.named == nil || !summed.Equal(c.routes.sums.at) {
		sums, err := packSums(summed, quota.Columns(c.routes.names.Cover(demand), backlog, c.routes.targets), c.routes.names.Digest())
		if err != nil {
			c.log.Error("loads cannot be packed: routers go on with those before", "error", err)
			return nil
		}
		c.routes.sums = sums
	}
	if held != 0 && held == c.routes.sums.names {
		return c.routes.sums.unnamed
	}
	return c.routes.sums.named
}

func packSums(at time.Time, l message.Loads, names uint32) (packedSums, error) {
	l.Names = names
	named, err := packed.PackJSON(l)
	if err != nil {
		return packedSums{}, err
	}
	l.Accounts = nil
	unnamed, err := packed.PackJSON(l)
	return packedSums{at: at, names: names, named: named, unnamed: unnamed}, err
}

// document returns the configuration that routers of routes serve: the one in an
// operator's own form, or else the product's own.
func (c *core) document() ledger.Document {
	if d := c.ledger.Document(); d.Number > 0 {
		return d
	}
	config, text := c.ledger.Config()
	if len(config.Routes) == 0 || c.routes.own.Number == config.Number {
		return c.routes.own
	}
	data, err := packed.Pack(text)
	if err != nil {
		c.log.Error("a configuration cannot be packed: its routes are not served", "number", config.Number, "error", err)
		return c.routes.own
	}
	c.routes.own = ledger.Document{Number: config.Number, Text: data}
	return c.routes.own
}

// seats returns the leases on parts of what cold targets get, of this keeper's term.
func (c *core) seats(now time.Time) *warmup.Seats {
	if term := c.node.Term(); c.routes.seatsOf != term {
		c.routes.seats, c.routes.seatsOf = warmup.Seats{Since: now}, term
	}
	return &c.routes.seats
}

// A warming holds until when targets are cold, by the list that was read last.
type warming map[fleet.Incarnation]time.Time

// sameWarming is how much later a target may be said to be cold until, and nothing be new: the
// list that says so lags by turns more and less.
const sameWarming = time.Second

// beyond reports whether a target is cold that was not before, or for longer.
func (w warming) beyond(before warming) bool {
	for target, until := range w {
		if until.Sub(before[target]) > sameWarming {
			return true
		}
	}
	return false
}

// at returns the targets that are cold now.
func (w warming) at(now time.Time) []message.Warming {
	var list []message.Warming
	for target, until := range w {
		if left := until.Sub(now); left > 0 {
			list = append(list, message.Warming{Target: target.ID, Born: target.Born, Left: left})
		}
	}
	slices.SortFunc(list, func(a, b message.Warming) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

func (c *core) renewCall(ctx context.Context, p message.Renew) (message.Renewal, error) {
	return await(ctx, c, func(now time.Time, done func(message.Renewal, error)) { done(c.renew(now, p), nil) })
}

func (r *routes) see(now time.Time, router string) {
	if r.routers == nil {
		r.routers = make(map[string]time.Time)
	}
	r.routers[router] = now
	if now.Sub(r.swept) < sweepPause {
		return
	}
	r.swept = now
	for name, at := range r.routers {
		if now.Sub(at) > routerMemory {
			delete(r.routers, name)
		}
	}
}

// setTargets takes the platform's list of targets as it was read at a time. It goes to the
// routers as it is: what follows from a damaged entry, or from a list that is suddenly
// empty, is decided by the roster of each, or two of them would add up their patience.
func (c *core) setTargets(readAt time.Time, listing fleet.Listing) {
	targets, damaged := listing.Targets, listing.DamagedIDs()
	term := c.node.Term()
	if c.routes.term != term {
		c.routes.term, c.routes.list = term, 0
	}
	warming := warming(listing.WarmingUntil(readAt))
	if c.routes.list == 0 || !slices.Equal(c.routes.targets, targets) || !slices.Equal(c.routes.damaged, damaged) || warming.beyond(c.routes.warming) {
		data, err := packed.PackJSON(targets)
		if err != nil {
			c.log.Error("the list of targets cannot be packed: routers go on with the one before", "error", err)
			return
		}
		c.routes.list++
		c.routes.packed, c.routes.sums = data, packedSums{}
		c.log.Info("list of targets changed", "targets", len(targets), "damaged", len(damaged), "list", c.routes.list, "term", term)
	}
	c.routes.targets, c.routes.damaged, c.routes.readAt = targets, damaged, readAt
	c.routes.listed = make(map[fleet.Incarnation]bool, len(targets))
	for _, in := range targets {
		c.routes.listed[in.Incarnation] = true
	}
	c.routes.warming = warming
}

func (c *core) addresses() []string {
	members := c.node.Members()
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Address)
	}
	return list
}

func (c *core) leaderAddress() string {
	for _, m := range c.node.Members() {
		if m.ID == c.node.LeaderID() {
			return m.Address
		}
	}
	return ""
}

// put proposes a configuration of routes. It counts as accepted once a quorum
// has it, whether or not a higher one is in force.
func (c *core) put(ctx context.Context, p message.Put) (struct{}, error) {
	return await(ctx, c, func(now time.Time, done func(struct{}, error)) {
		if !c.leads(now) {
			done(struct{}{}, quorum.ErrNotLeader(c.leaderAddress()))
			return
		}
		if p.Number <= c.ledger.Document().Number {
			done(struct{}{}, nil) // overtaken, or sent again: it changes nothing
			return
		}
		cmd := ledger.Command{Document: &ledger.Document{Number: p.Number, Text: p.Text}}
		c.submit(now, cmd, func(_ ledger.Result, err error) { done(struct{}{}, err) })
	})
}

// read returns the newest configuration of routes. Only a leader whose lease
// holds may tell: another could have accepted a later one.
func (c *core) read(ctx context.Context) (message.Document, error) {
	return await(ctx, c, func(now time.Time, done func(message.Document, error)) {
		if !c.leads(now) {
			done(message.Document{}, quorum.ErrNotLeader(c.leaderAddress()))
			return
		}
		d := c.ledger.Document()
		done(message.Document{Number: d.Number, Text: d.Text}, nil)
	})
}

func (c *core) known(ctx context.Context) (message.Known, error) {
	return await(ctx, c, func(_ time.Time, done func(message.Known, error)) {
		done(message.Known{Keepers: c.addresses(), Leader: c.leaderAddress()}, nil)
	})
}
