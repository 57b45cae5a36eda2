package origin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/clock"
)

const (
	// findTimeout is how long a question may take: several round trips between regions.
	findTimeout = 300 * time.Millisecond
	// repeatInterval is the time after which a question is sent again, since datagrams get lost.
	repeatInterval = 60 * time.Millisecond
	// badPacketInterval is the least time between two log lines about datagrams that are not used.
	badPacketInterval = 10 * time.Second
)

// A Service keeps the origins of streams and exchanges them with other routers over UDP. Set the
// exported fields, then call Run. The other methods may be called at any time; before Run, nothing is
// told or asked.
type Service struct {
	// Listen is the address (IP:port) at which other routers reach this one.
	Listen string
	Clock  clock.Clock
	Log    hclog.Logger
	// Secret is the fleet's secret, which datagrams prove.
	Secret []byte

	mu        sync.Mutex // guards the fields below
	directory directory
	conn      *net.UDPConn
	waiting   map[uint64]chan outcome
	loggedAt  time.Time // when a datagram that is not used was last logged
}

// SetPeers sets the routers of the fleet.
func (s *Service) SetPeers(peers Peers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.peers = peers
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

// Run exchanges datagrams until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	address, err := netip.ParseAddrPort(s.Listen)
	if err != nil {
		return fmt.Errorf("listen for other routers (set an address IP:port): %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("listen for other routers (free the address): %w", err)
	}
	s.mu.Lock()
	s.directory.self, s.conn = s.Listen, conn
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // ends the read below
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.logUnused("unknown", err) // such as a message that an earlier datagram reached nobody
		default:
			s.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), buffer[:n])
		}
	}
}

func (s *Service) receive(from string, data []byte) {
	received, err := decodePacket(data, s.Secret)
	if err != nil {
		s.logUnused(from, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	replies, ended := s.directory.receive(s.Clock.Now(), datagram{from, received})
	s.send(replies)
	if ended == nil {
		return
	}
	if answers := s.waiting[ended.seq]; answers != nil {
		answers <- *ended // has room: a question ends once
	}
}

// logUnused logs a datagram that is not used. Anybody can send such datagrams, so lines are limited.
func (s *Service) logUnused(from string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if now.Sub(s.loggedAt) < badPacketInterval {
		return
	}
	s.loggedAt = now
	s.Log.Warn("datagram of a router not used", "address", from, "error", err)
}

// send sends datagrams. A datagram that is not sent counts as lost, which may happen to any.
func (s *Service) send(datagrams []datagram) {
	for _, sent := range datagrams {
		address, err := netip.ParseAddrPort(sent.address)
		if err != nil || s.conn == nil {
			continue
		}
		if data, err := sent.packet.encode(s.Secret); err == nil {
			_, _ = s.conn.WriteToUDPAddrPort(data, address)
		}
	}
}
