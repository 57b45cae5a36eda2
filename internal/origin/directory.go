package origin

import (
	"slices"
	"time"

	"laburnumfall/internal/peerlink"
)

const (
	// holderCount is how many routers are told where a stream began. In a fleet of up to smallFleet
	// routers there are smallFleetHolderCount: one event may end a larger part of it.
	holderCount           = 2
	smallFleetHolderCount = 3
	smallFleet            = 64
)

// holders returns the addresses of the routers that keep the stream of a request.
func holders(peers peerlink.Peers, request string) []string {
	if peers.Count() <= smallFleet {
		return peers.Holders(request, smallFleetHolderCount)
	}
	return peers.Holders(request, holderCount)
}

// A datagram is a packet to or from another router.
type datagram struct {
	address string
	packet  packet
}

// A directory decides what a router keeps, tells and asks. It is deterministic: it has no clock,
// goroutine or socket.
type directory struct {
	self  string // address of this router
	peers peerlink.Peers

	table table
	seq   uint64
	asked map[uint64]*question
}

// A question is one for the origin of a stream that has no answer yet.
type question struct {
	request string
	waiting []string // addresses of routers that have not answered
}

// An outcome is the end of a question.
type outcome struct {
	seq     uint64
	finding Finding
	known   bool
}

// record keeps where a stream began and returns what to tell other routers.
func (d *directory) record(now time.Time, request string, began Origin, expiresAt time.Time) []datagram {
	d.table.add(now, request, record{Origin: began, recordedAt: now, expiresAt: expiresAt})
	told := packet{Kind: packetTell, Request: request, Pool: began.Pool, Version: began.Version, Left: packetDuration(expiresAt.Sub(now))}
	return d.toHolders(request, told)
}

// lookup returns what this router knows about a stream itself.
func (d *directory) lookup(now time.Time, request string) (Finding, bool) {
	found, ok := d.table.find(now, request)
	return Finding{Origin: found.Origin, Source: sourceSelf, Age: now.Sub(found.recordedAt)}, ok
}

// ask returns a question to the routers that should know a stream. There is none if it returns no
// datagrams.
func (d *directory) ask(request string) (seq uint64, datagrams []datagram) {
	d.seq++
	datagrams = d.toHolders(request, packet{Kind: packetAsk, Request: request, Seq: d.seq})
	if len(datagrams) == 0 {
		return 0, nil
	}
	if d.asked == nil {
		d.asked = make(map[uint64]*question)
	}
	waiting := make([]string, 0, len(datagrams))
	for _, sent := range datagrams {
		waiting = append(waiting, sent.address)
	}
	d.asked[d.seq] = &question{request: request, waiting: waiting}
	return d.seq, datagrams
}

// askAgain returns the datagrams of a question to those who have not answered.
func (d *directory) askAgain(seq uint64) (datagrams []datagram) {
	pending := d.asked[seq]
	if pending == nil {
		return nil
	}
	for _, address := range pending.waiting {
		datagrams = append(datagrams, datagram{address, packet{Kind: packetAsk, Request: pending.request, Seq: seq}})
	}
	return datagrams
}

// forget ends a question.
func (d *directory) forget(seq uint64) {
	delete(d.asked, seq)
}

// receive processes a datagram. It returns what to send, and the outcome of the question that it ends,
// if any.
func (d *directory) receive(now time.Time, received datagram) (replies []datagram, ended *outcome) {
	p := received.packet
	switch p.Kind {
	case packetTell:
		began := Origin{Pool: p.Pool, Version: p.Version}
		d.table.add(now, p.Request, record{Origin: began, recordedAt: now.Add(-max(time.Duration(p.Age), 0)), expiresAt: now.Add(min(time.Duration(p.Left), maxLifetime))})
	case packetAsk:
		answer := packet{Kind: packetAnswer, Request: p.Request, Seq: p.Seq}
		if found, ok := d.table.find(now, p.Request); ok {
			answer.Known, answer.Pool, answer.Version, answer.Age = true, found.Pool, found.Version, packetDuration(now.Sub(found.recordedAt))
		}
		return []datagram{{received.address, answer}}, nil
	case packetAnswer:
		return nil, d.receiveAnswer(received)
	}
	return nil, nil
}

func (d *directory) receiveAnswer(received datagram) *outcome {
	p := received.packet
	pending := d.asked[p.Seq]
	if pending == nil || pending.request != p.Request || !slices.Contains(pending.waiting, received.address) {
		return nil // late, repeated, or not asked for
	}
	pending.waiting = slices.DeleteFunc(pending.waiting, func(address string) bool { return address == received.address })
	if !p.Known && len(pending.waiting) > 0 {
		return nil
	}
	d.forget(p.Seq)
	return &outcome{seq: p.Seq, known: p.Known, finding: Finding{Origin: Origin{Pool: p.Pool, Version: p.Version}, Source: received.address, Age: time.Duration(p.Age)}}
}

// toHolders returns a packet to each holder of a request except this router.
func (d *directory) toHolders(request string, p packet) (datagrams []datagram) {
	for _, address := range holders(d.peers, request) {
		if address != d.self {
			datagrams = append(datagrams, datagram{address, p})
		}
	}
	return datagrams
}
