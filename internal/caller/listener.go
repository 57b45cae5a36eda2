package caller

import (
	"fmt"
	"net"
)

// A Listener accepts connections of callers.
type Listener struct {
	*net.TCPListener
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
	return newConn(tcpConn), nil
}
