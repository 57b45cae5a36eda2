package origin

import (
	"context"
	"sync"
	"time"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/peerlink"
)

const (
	// findTimeout is how long a question may take: several round trips between regions.
	findTimeout = 300 * time.Millisecond
	// repeatInterval is the time after which a question is sent again, since datagrams get lost.
	repeatInterval = 60 * time.Millisecond
)

// A Service keeps the origins of streams and exchanges them with other routers. Set the exported fields,
// and give Handlers to the link, before the link runs. The other methods may be called at any time.
type Service struct {
	Clock clock.Clock
	Link  *peerlink.Link

	mu        sync.Mutex // guards the fields below
	directory directory
	waiting   map[uint64]chan outcome
}

// SetPeers sets the routers of the fleet.
func (s *Service) SetPeers(peers peerlink.Peers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.self, s.directory.peers = s.Link.Listen, peers
}

// Record records where the stream of a request began, and until when its caller may come back. It does
// not block.
func (s *Service) Record(request string, began Origin, expiresAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(s.directory.record(s.Clock.Now(), request, began, expiresAt))
}

// Find returns where the stream of a request began. The error is ErrUnknown if neither this router nor
// one of those that should know it does, or if none of them answers.
func (s *Service) Find(ctx context.Context, request string) (Finding, error) {
	finding, seq, answers := s.ask(request)
	if answers == nil {
		if finding.Source == "" {
			return finding, ErrUnknown
		}
		return finding, nil
	}
	defer s.forget(seq)
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for {
		select {
		case answer := <-answers:
			if !answer.known {
				return Finding{}, ErrUnknown
			}
			return answer.finding, nil
		case <-ticker.C:
			s.askAgain(seq)
		case <-ctx.Done():
			return Finding{}, ErrUnknown
		}
	}
}

// ask returns what this router knows itself, or else sends a question. Without either, the results are
// zero.
func (s *Service) ask(request string) (Finding, uint64, <-chan outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if finding, ok := s.directory.lookup(s.Clock.Now(), request); ok {
		return finding, 0, nil
	}
	seq, datagrams := s.directory.ask(request)
	if len(datagrams) == 0 {
		return Finding{}, 0, nil
	}
	if s.waiting == nil {
		s.waiting = make(map[uint64]chan outcome)
	}
	answers := make(chan outcome, 1)
	s.waiting[seq] = answers
	s.send(datagrams)
	return Finding{}, seq, answers
}

func (s *Service) askAgain(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(s.directory.askAgain(seq))
}

func (s *Service) forget(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.forget(seq)
	delete(s.waiting, seq)
}

// Handlers returns what processes the datagrams of other routers.
func (s *Service) Handlers() map[peerlink.Kind]peerlink.Handler {
	return map[peerlink.Kind]peerlink.Handler{packetTell: s.receive, packetAsk: s.receive, packetAnswer: s.receive}
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
		answers <- *ended // has room: a question ends once
	}
	return nil
}

// send sends datagrams.
func (s *Service) send(datagrams []datagram) {
	for _, sent := range datagrams {
		s.Link.Send(sent.address, sent.packet)
	}
}
