package standin

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// A Direction is one way through a Proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToCaller
)

// A Proxy is a faulty network between loopback addresses: it passes connections on
// to a target, and delays, resets or silences them when told to.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	delay time.Duration
	open  [2]chan struct{}  // by direction; closed while bytes pass
	conns map[net.Conn]bool // whether bytes pass
	alone map[string]bool   // callers that reached nobody, by their addresses
}

// StartProxy passes connections to an address on to a target.
func StartProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	p := &Proxy{target: target, listener: l, conns: make(map[net.Conn]bool), alone: make(map[string]bool)}
	for d := range p.open {
		p.open[d] = make(chan struct{})
		close(p.open[d])
	}
	go p.run()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Alone reports whether a caller's connection reached nobody, since the target did not
// listen. Without a proxy between, it would have been refused.
func (p *Proxy) DialFailed(caller string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alone[caller]
}

// Delay holds all bytes up for a time, in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Silence holds all bytes of a direction back, of open and new connections, until
// Heal.
func (p *Proxy) Block(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.open[d]:
		p.open[d] = make(chan struct{})
	default: // it is silent
	}
}

// Stall lets the connections that are open now pass nothing more, ever; new ones work.
func (p *Proxy) StallOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.conns[c] = false
	}
}

// Heal ends all faults, but not those of stalled connections.
func (p *Proxy) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = 0
	for _, open := range p.open {
		select {
		case <-open:
		default:
			close(open)
		}
	}
}

// Reset resets all open connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close below then resets
		}
		_ = c.Close() // its copier sees it
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // ends the accepting
	p.ClearFaults()
	p.ResetConnections()
}

func (p *Proxy) run() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(caller)
	}
}

func (p *Proxy) pass(caller net.Conn) {
	target, err := net.Dial("tcp4", p.target)
	if err != nil {
		p.mu.Lock()
		p.alone[caller.RemoteAddr().String()] = true
		p.mu.Unlock()
		_ = caller.Close() // nobody is there
		return
	}
	p.keep(caller, target)
	var both sync.WaitGroup
	both.Go(func() { p.copy(target, caller, ToTarget) })
	both.Go(func() { p.copy(caller, target, ToCaller) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{caller, target} {
		delete(p.conns, c)
		_ = c.Close() // both ends are done
	}
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy passes one direction on until its source ends, and ends its sink likewise.
func (p *Proxy) copy(to, from net.Conn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, readErr := from.Read(buf)
		p.hold(d)
		if n > 0 && p.passes(from) {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close() // its other end must not wait for this one
				return
			}
		}
		if readErr != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // it may be closed already
			}
			return
		}
	}
}

func (p *Proxy) passes(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}

// hold waits as long as the faults of a direction say.
func (p *Proxy) hold(d Direction) {
	p.mu.Lock()
	delay, open := p.delay, p.open[d]
	p.mu.Unlock()
	time.Sleep(delay)
	<-open
}
