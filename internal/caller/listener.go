package caller

import (
	"fmt"
	"net"
	"sync"
	"time"

	"laburnumfall/internal/socket"
)

const (
	// maxDrainPolls bounds how often a Listener looks for unread bytes before it is closed. It
	// counts looks instead of time, so that a suspension of the process does not use them up.
	maxDrainPolls     = 20
	drainPollInterval = 5 * time.Millisecond
)

// A Listener accepts connections of callers. Set the exported fields before the first Accept.
type Listener struct {
	*net.TCPListener
	// WriteTimeout is how long a caller may take to accept a part of a response. Otherwise one that
	// does not read would occupy a target, and memory, until it closes its connection.
	WriteTimeout time.Duration

	mu    sync.Mutex
	conns map[*Conn]struct{} // open connections
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
	return &Listener{TCPListener: tcpListener, conns: make(map[*Conn]struct{})}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	tcpConn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	conn := newConn(tcpConn)
	conn.writeTimeout = l.WriteTimeout
	conn.onClose = func() { l.remove(conn) }
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn, nil
}

func (l *Listener) remove(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// Drain waits for a limited time until all connections have been accepted, and what has arrived on
// them has been read. Otherwise a server that shuts down would reset them.
func (l *Listener) Drain() {
	for range maxDrainPolls {
		if !l.hasUnread() {
			return
		}
		time.Sleep(drainPollInterval) // also after the last bytes were read, so that the server notices
	}
}

// hasUnread reports whether a connection waits to be accepted or has unread bytes.
func (l *Listener) hasUnread() bool {
	if socket.HasPendingConn(l) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		if !socket.IsIdle(conn) && !socket.PeerClosed(conn) {
			return true
		}
	}
	return false
}
