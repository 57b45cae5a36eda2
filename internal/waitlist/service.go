package waitlist

import (
	"context"
	"sync"
	"time"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/peerlink"
)

const (
	// maxAskTime is the longest that a question takes: two round trips between zones and some time at
	// a busy router.
	maxAskTime = 30 * time.Millisecond
	// askDivisor bounds a question to the latency objective divided by it.
	askDivisor = 16
	// repeatDivisor is the part of its time after which a question is sent again, since datagrams get
	// lost.
	repeatDivisor = 2
)

// AskTime returns how long a question may take for a request with a latency objective.
func AskTime(objective time.Duration) time.Duration {
	return min(maxAskTime, objective/askDivisor)
}

// A Service asks for places and holds them for other routers. Set the exported fields, and give Handlers
// to the link, before the link runs. The other methods may be called at any time.
type Service struct {
	Clock clock.Clock
	Link  *peerlink.Link

	mu        sync.Mutex // guards the fields below
	directory directory
	waiting   map[uint64]chan Answer
}

// SetPeers sets the routers of the fleet.
func (s *Service) SetPeers(peers peerlink.Peers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.self, s.directory.peers = s.Link.Listen, peers
}

// Handlers returns what processes the datagrams of other routers.
func (s *Service) Handlers() map[peerlink.Kind]peerlink.Handler {
	return map[peerlink.Kind]peerlink.Handler{packetAsk: s.receive, packetAnswer: s.receive}
}

// Ask asks the holders of a key whether its request has a place, and offers one after a time, unless that
// is 0. The answer is Silent if no holder answers within the limit.
func (s *Service) Ask(ctx context.Context, key string, offered, limit time.Duration) Answer {
	seq, answer, answers := s.ask(key, offered)
	if answers == nil {
		return answer
	}
	defer s.forget(seq)
	timeout, repeat := time.NewTimer(limit), time.NewTimer(limit/repeatDivisor)
	defer timeout.Stop()
	defer repeat.Stop()
	for {
		select {
		case answer := <-answers:
			return answer
		case <-repeat.C:
			s.askAgain(seq)
		case <-timeout.C:
			return s.end(seq, s.directory.giveUp)
		case <-ctx.Done():
			return s.end(seq, s.directory.abandon)
		}
	}
}

// ask sends a question. Without a channel, the answer is known at once.
func (s *Service) ask(key string, offered time.Duration) (uint64, Answer, <-chan Answer) {
	if !s.Link.Running() {
		return 0, Answer{State: Silent}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.directory.seq == 0 {
		s.directory.seq = uint64(uint32(now.UnixMilli())) // unlike those of an earlier run of this router
	}
	seq, datagrams, ended := s.directory.ask(now, key, offered)
	s.send(datagrams)
	if ended != nil {
		return 0, ended.answer, nil
	}
	if s.waiting == nil {
		s.waiting = make(map[uint64]chan Answer)
	}
	answers := make(chan Answer, 1)
	s.waiting[seq] = answers
	return seq, Answer{}, answers
}

func (s *Service) askAgain(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(s.directory.askAgain(seq))
}

// end ends a question that may have been answered by now.
func (s *Service) end(seq uint64, end func(uint64) Answer) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case answer := <-s.waiting[seq]:
		return answer // it has just arrived
	default:
		return end(seq)
	}
}

func (s *Service) forget(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, seq)
}

func (s *Service) receive(from string, text []byte) error {
	received, err := parsePacket(text)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	replies, ended := s.directory.receive(s.Clock.Now(), datagram{from, received})
	s.send(replies)
	if ended == nil {
		return nil
	}
	if answers := s.waiting[ended.seq]; answers != nil {
		answers <- ended.answer // has room: a question ends once
	}
	return nil
}

func (s *Service) send(datagrams []datagram) {
	for _, sent := range datagrams {
		s.Link.Send(sent.address, sent.packet)
	}
}
