package standin

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// A Direction is one of the two directions of a connection through a Proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToCaller
)

// A Proxy simulates a faulty network between loopback addresses. It forwards connections to a
// target, and on request delays, blocks, stalls or resets them.
type Proxy struct {
	target   string
	listener net.Listener

	mu         sync.Mutex
	delay      time.Duration
	gates      [2]chan struct{}  // by direction; a closed channel lets bytes pass
	forwarding map[net.Conn]bool // false for stalled connections
	dialFailed map[string]bool   // addresses of callers for which the connection to the target failed
}

// StartProxy forwards connections to an address to a target.
func StartProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("start a proxy: %w", err)
	}
	p := &Proxy{target: target, listener: listener, forwarding: make(map[net.Conn]bool), dialFailed: make(map[string]bool)}
	for direction := range p.gates {
		p.gates[direction] = make(chan struct{})
		close(p.gates[direction])
	}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// DialFailed reports whether the proxy could not connect a caller to the target. Without the
// proxy, that caller's connection would have been refused.
func (p *Proxy) DialFailed(caller string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialFailed[caller]
}

// SetDelay delays all bytes in both directions.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Block holds back all bytes of a direction, on open and on new connections, until ClearFaults.
func (p *Proxy) Block(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.gates[direction]:
		p.gates[direction] = make(chan struct{})
	default: // already blocked
	}
}

// StallOpenConnections makes all open connections discard their bytes for good. New connections
// work.
func (p *Proxy) StallOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.forwarding {
		p.forwarding[conn] = false
	}
}

// ClearFaults removes the delay and unblocks both directions. Stalled connections stay stalled.
func (p *Proxy) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = 0
	for _, gate := range p.gates {
		select {
		case <-gate:
		default:
			close(gate)
		}
	}
}

// ResetConnections closes all open connections with a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.forwarding {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		_ = conn.Close() // ends copyStream for this connection
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // ends accept
	p.ClearFaults()
	p.ResetConnections()
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(caller)
	}
}

func (p *Proxy) forward(caller net.Conn) {
	target, err := net.Dial("tcp4", p.target)
	if err != nil {
		p.mu.Lock()
		p.dialFailed[caller.RemoteAddr().String()] = true
		p.mu.Unlock()
		_ = caller.Close() // the target is not reachable
		return
	}
	p.track(caller, target)
	var copies sync.WaitGroup
	copies.Go(func() { p.copyStream(target, caller, ToTarget) })
	copies.Go(func() { p.copyStream(caller, target, ToCaller) })
	copies.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range []net.Conn{caller, target} {
		delete(p.forwarding, conn)
		_ = conn.Close() // both directions have ended
	}
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.forwarding[conn] = true
	}
}

// copyStream copies one direction until its source ends, and then closes that direction of its
// destination.
func (p *Proxy) copyStream(to, from net.Conn, direction Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, readErr := from.Read(buf)
		p.waitForFaults(direction)
		if n > 0 && p.isForwarding(from) {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close() // ends the other direction too
				return
			}
		}
		if readErr != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the connection may be closed already
			}
			return
		}
	}
}

func (p *Proxy) isForwarding(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forwarding[conn]
}

// waitForFaults blocks for the current delay and while the direction is blocked.
func (p *Proxy) waitForFaults(direction Direction) {
	p.mu.Lock()
	delay, gate := p.delay, p.gates[direction]
	p.mu.Unlock()
	time.Sleep(delay)
	<-gate
}
