package router

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerTime and lingerBytes limit the reading of a refused request.
	lingerTime  = 2 * time.Second
	lingerBytes = 64 << 20
)

// A callerConn is a connection of a caller. Closing a connection with unread bytes resets it, and
// the caller may lose the response that gives the reason. So after a refused request, the
// connection is still read for a while before it is closed.
type callerConn struct {
	*net.TCPConn
	linger atomic.Bool
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if !c.linger.Swap(false) {
		return c.TCPConn.Close()
	}
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close()
	}
	go c.drain()
	return nil
}

func (c *callerConn) drain() {
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err == nil {
		// Whatever ends the copy, the connection is closed next.
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	_ = c.TCPConn.Close() // its response is sent
}

// A callerListener accepts connections of callers.
type callerListener struct {
	*net.TCPListener
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: conn}, nil
}

func listenCallers(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers (free the address or change listen): %w", err)
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return listener, nil
	}
	return callerListener{tcpListener}, nil
}
