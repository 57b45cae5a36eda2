package keeper

import (
	"context"
	"sync"

	"laburnumfall/internal/rpc"
)

// A linkCache keeps one link to each address that calls are made to.
type linkCache struct {
	mu    sync.Mutex
	links map[string]*rpc.Conn
}

type dialer func(ctx context.Context, address string) (*rpc.Conn, error)

func (l *linkCache) get(ctx context.Context, address string, dial dialer) (*rpc.Conn, error) {
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
		l.links = make(map[string]*rpc.Conn)
	}
	if other := l.links[address]; other != nil && !ended(other) {
		conn.Close()
		return other, nil
	}
	l.links[address] = conn
	return conn, nil
}

// drop ends a link, unless another has taken its place.
func (l *linkCache) drop(address string, conn *rpc.Conn) {
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[address] == conn {
		delete(l.links, address)
	}
}

func ended(conn *rpc.Conn) bool {
	select {
	case <-conn.Done():
		return true
	default:
		return false
	}
}
