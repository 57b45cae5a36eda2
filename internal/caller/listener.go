package caller

import (
	"fmt"
	"net"
	"time"
)

// A Listener accepts connections of callers. Set the exported fields before the first Accept.
type Listener struct {
	*net.TCPListener
	// WriteTimeout is how long a caller may take to accept a part of a response. Otherwise one that
	// does not read would occupy a target, and memory, until it closes its connection.
	WriteTimeout time.Duration
}

// Listen returns a listener on an address.
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers (free the address or change listen): %w", err)
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listen for callers: %T is no TCP listener", listener)
	}
	return &Listener{TCPListener: tcpListener}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	tcpConn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	conn := newConn(tcpConn)
	conn.writeTimeout = l.WriteTimeout
	return conn, nil
}
