package waitlist

import (
	"slices"
	"time"

	"laburnumfall/internal/peerlink"
)

const (
	// holderCount is how many routers hold a claim: it outlives one of them.
	holderCount = 2
	// maxUnanswered is how many questions in a row a holder may leave unanswered, such as when datagrams
	// are lost, before it is skipped.
	maxUnanswered = 3
	// skipTime is how long a holder is skipped. Then one question tries it again.
	skipTime = 5 * time.Second
	// maxSilences bounds the holders that are remembered as silent.
	maxSilences = 4096
)

// A directory decides what a router holds, asks and answers. It is deterministic: it has no clock,
// goroutine or socket.
type directory struct {
	self  string // address of this router
	peers peerlink.Peers

	claims   Claims
	seq      uint64
	asked    map[uint64]*question
	silences map[string]*silence // by address; holders that answer are missing
}

// A silence is what a directory knows about a holder that leaves questions unanswered.
type silence struct {
	unanswered int // questions in a row
	skipUntil  time.Time
}

// A question is one about the place of a request that has no outcome yet.
type question struct {
	askedAt time.Time
	key     string
	offered time.Duration
	holders []string // by rank
	answers []Answer // by rank; the zero value is none yet
}

// An outcome is the end of a question.
type outcome struct {
	seq    uint64
	answer Answer
}

// ask asks the holders of a key. The outcome is known at once if this router is the only one, or the
// first holder has taken the place, or no holder is asked since none answers.
func (d *directory) ask(now time.Time, key string, offered time.Duration) (seq uint64, datagrams []datagram, ended *outcome) {
	holders := d.peers.Holders(key, holderCount)
	d.seq++
	q := &question{askedAt: now, key: key, offered: offered, holders: holders, answers: make([]Answer, len(holders))}
	if d.asked == nil {
		d.asked = make(map[uint64]*question)
	}
	d.asked[d.seq] = q
	for rank, address := range holders {
		if address == d.self {
			q.answers[rank] = d.claims.Present(now, key, Asker{d.self, d.seq}, offered)
			continue
		}
		if d.skips(now, address) {
			q.answers[rank] = Answer{State: Silent}
			continue
		}
		datagrams = append(datagrams, datagram{address, q.packet(d.seq)})
	}
	return d.seq, datagrams, d.conclude(d.seq, false)
}

func (q *question) packet(seq uint64) packet {
	return packet{Kind: packetAsk, Key: q.key, Seq: seq, In: packetDuration(q.offered)}
}

// askAgain returns the datagrams of a question to the holders that have not answered.
func (d *directory) askAgain(seq uint64) (datagrams []datagram) {
	q := d.asked[seq]
	if q == nil {
		return nil
	}
	for rank, address := range q.holders {
		if q.answers[rank].State == "" {
			datagrams = append(datagrams, datagram{address, q.packet(seq)})
		}
	}
	return datagrams
}

// skips reports whether a holder is not asked because it has left questions unanswered.
func (d *directory) skips(now time.Time, address string) bool {
	kept := d.silences[address]
	if kept == nil || kept.unanswered < maxUnanswered {
		return false
	}
	if now.Before(kept.skipUntil) {
		return true
	}
	kept.skipUntil = now.Add(skipTime) // unless this question is answered
	return false
}

// giveUp ends a question whose time is up with the answers that have arrived. The holders that are missing
// count as silent.
func (d *directory) giveUp(seq uint64) Answer {
	if q := d.asked[seq]; q != nil {
		for rank, address := range q.holders {
			if q.answers[rank].State == "" {
				d.leftUnanswered(q.askedAt, address)
			}
		}
	}
	return d.abandon(seq)
}

func (d *directory) leftUnanswered(askedAt time.Time, address string) {
	kept := d.silences[address]
	if kept == nil {
		if d.silences == nil || len(d.silences) >= maxSilences {
			d.silences = make(map[string]*silence)
		}
		kept = &silence{}
		d.silences[address] = kept
	}
	kept.unanswered++
	kept.skipUntil = askedAt.Add(skipTime)
}

// abandon ends a question whose caller has left with the answers that have arrived.
func (d *directory) abandon(seq uint64) Answer {
	if ended := d.conclude(seq, true); ended != nil {
		return ended.answer
	}
	return Answer{State: Silent, Recorded: true}
}

// receive processes a datagram. It returns what to send, and the outcome of the question that it ends,
// if any.
func (d *directory) receive(now time.Time, received datagram) (replies []datagram, ended *outcome) {
	p := received.packet
	switch p.Kind {
	case packetAsk:
		answer := d.claims.Present(now, p.Key, Asker{received.address, p.Seq}, time.Duration(p.In))
		return []datagram{{received.address, packet{Kind: packetAnswer, Key: p.Key, Seq: p.Seq, State: answer.State, In: packetDuration(answer.In), Age: packetDuration(answer.Waited), Late: answer.Late}}}, nil
	case packetAnswer:
		q := d.asked[p.Seq]
		if q == nil || q.key != p.Key {
			return nil, nil // late, repeated, or not asked for
		}
		for rank, address := range q.holders {
			if address == received.address && q.answers[rank].State == "" {
				delete(d.silences, address)
				q.answers[rank] = Answer{State: p.State, In: max(time.Duration(p.In), 0), Waited: max(time.Duration(p.Age), 0), Late: p.Late}
			}
		}
		return nil, d.conclude(p.Seq, false)
	}
	return nil, nil
}

// conclude ends a question if its outcome is known, or if it must end.
func (d *directory) conclude(seq uint64, mustEnd bool) *outcome {
	q := d.asked[seq]
	if q == nil {
		return nil
	}
	answer, ok := q.decide()
	answer.Recorded = q.recorded(answer)
	if !ok && !mustEnd {
		return nil
	}
	delete(d.asked, seq)
	return &outcome{seq, answer}
}

// decide returns the answer that counts, and whether answers that are still missing cannot change it. The
// first holder that knows an older place decides. The second one is heard only if the first does not
// answer or has lost what it knew.
func (q *question) decide() (best Answer, final bool) {
	best, final = Answer{State: Silent}, true
	late := false
	for _, answer := range q.answers {
		switch answer.State {
		case "":
			final = false
			continue
		case Honored, Used, Early:
			answer.Late = false
			return answer, final
		case Told:
			if best.State != Told {
				best = answer
			}
		default:
			if best.State == Silent {
				best = answer
			}
		}
		late = late || answer.Late
	}
	best.Late = late
	return best, final
}

// recorded reports whether a holder may have recorded the place that was offered.
func (q *question) recorded(decided Answer) bool {
	if decided.State == Silent {
		return len(q.holders) > 0
	}
	return slices.ContainsFunc(q.answers, func(a Answer) bool { return a.State == Told })
}
