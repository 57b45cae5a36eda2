package keeper

import (
	"context"
	"sync"

	"laburnumfall/internal/rpc"
)

// A connCache keeps one connection for each address that calls are sent to.
type connCache struct {
	mu    sync.Mutex
	conns map[string]*rpc.Conn
}

type dialFunc func(ctx context.Context, address string) (*rpc.Conn, error)

// get returns the connection to an address. It dials if there is none or the connection is closed.
func (c *connCache) get(ctx context.Context, address string, dial dialFunc) (*rpc.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil && !isClosed(conn) {
		return conn, nil
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[string]*rpc.Conn)
	}
	if existing := c.conns[address]; existing != nil && !isClosed(existing) {
		conn.Close()
		return existing, nil
	}
	c.conns[address] = conn
	return conn, nil
}

// drop closes a connection and removes it, unless another one has replaced it already.
func (c *connCache) drop(address string, conn *rpc.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

func isClosed(conn *rpc.Conn) bool {
	select {
	case <-conn.Done():
		return true
	default:
		return false
	}
}
