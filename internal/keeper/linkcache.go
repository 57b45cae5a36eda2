package keeper

import (
	"context"
	"sync"

	"laburnumfall/internal/link"
)

// A linkCache keeps one link to each address that calls are made to.
type linkCache struct {
	mu    sync.Mutex
	links map[string]*link.Conn
}

type dialer func(ctx context.Context, address string) (*link.Conn, error)

func (l *linkCache) get(ctx context.Context, address string, dial dialer) (*link.Conn, error) {
	l.mu.Lock()
	conn := l.links[address]
	l.mu.Unlock()
	if conn != nil && !ended(conn) {
		return conn, nil
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links == nil {
		l.links = make(map[string]*link.Conn)
	}
	if other := l.links[address]; other != nil && !ended(other) {
		conn.Close()
		return other, nil
	}
	l.links[address] = conn
	return conn, nil
}

// drop ends a link, unless another has taken its place.
func (l *linkCache) drop(address string, conn *link.Conn) {
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[address] == conn {
		delete(l.links, address)
	}
}

func ended(conn *link.Conn) bool {
	select {
	case <-conn.Done():
		return true
	default:
		return false
	}
}
