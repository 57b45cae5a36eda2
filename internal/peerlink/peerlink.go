// Package peerlink exchanges datagrams between routers, for state that a few of them hold for all.
//
// A router listens at one address for all kinds of datagrams. Datagrams may be lost, repeated and late.
// Each proves the fleet's secret. One of a kind without a handler, such as of a newer version, is
// ignored.
package peerlink

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/clock"
)

// unusedLogInterval is the least time between two log lines about datagrams that are not used.
const unusedLogInterval = 10 * time.Second

// A Kind says what a datagram is for.
type Kind string

// A Handler processes the text of a datagram from the router with an address.
type Handler func(from string, text []byte) error

// A Link exchanges datagrams with other routers over UDP. Set the exported fields, then call Run. Send
// may be called at any time; before Run, nothing is sent.
type Link struct {
	// Listen is the address (IP:port) at which other routers reach this one.
	Listen string
	Clock  clock.Clock
	Log    hclog.Logger
	// Secret is the fleet's secret, which datagrams prove.
	Secret []byte
	// Handlers process datagrams, one at a time.
	Handlers map[Kind]Handler

	mu       sync.Mutex // guards the fields below
	conn     *net.UDPConn
	loggedAt time.Time // when a datagram that is not used was last logged
}

// Run receives datagrams until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	address, err := netip.ParseAddrPort(l.Listen)
	if err != nil {
		return fmt.Errorf("listen for other routers (set an address IP:port): %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("listen for other routers (free the address): %w", err)
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // ends the read below
	buffer := make([]byte, MaxBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.logUnused("unknown", err) // such as a message that an earlier datagram reached nobody
			continue
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		if err := l.receive(sender, buffer[:n]); err != nil {
			l.logUnused(sender, err)
		}
	}
}

// Running reports whether datagrams can be sent and received.
func (l *Link) Running() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

func (l *Link) receive(from string, data []byte) error {
	text, err := Open(data, l.Secret)
	if err != nil {
		return err
	}
	var header struct {
		Kind Kind `json:"kind"`
	}
	if err := json.Unmarshal(text, &header); err != nil {
		return fmt.Errorf("decode a packet (the router may run an incompatible version): %w", err)
	}
	if handle := l.Handlers[header.Kind]; handle != nil {
		return handle(from, text)
	}
	return nil
}

// Send sends a packet, whose JSON form has its kind. A datagram that is not sent counts as lost, which
// may happen to any.
func (l *Link) Send(address string, packet any) {
	to, err := netip.ParseAddrPort(address)
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if err != nil || conn == nil {
		return
	}
	text, err := json.Marshal(packet)
	if err != nil {
		return
	}
	if data, err := Seal(text, l.Secret); err == nil {
		_, _ = conn.WriteToUDPAddrPort(data, to)
	}
}

// logUnused logs a datagram that is not used. Anybody can send such datagrams, so lines are limited.
func (l *Link) logUnused(from string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if now.Sub(l.loggedAt) < unusedLogInterval {
		return
	}
	l.loggedAt = now
	l.Log.Warn("datagram of a router not used", "address", from, "error", err)
}
