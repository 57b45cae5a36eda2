package keeper

import (
	"context"
	"errors"
	"time"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

const (
	// forwardTimeout bounds how long an operator's request waits for a leader. Operators try
	// another keeper after one second.
	forwardTimeout       = 900 * time.Millisecond
	forwardRetryInterval = 40 * time.Millisecond
	// leaderCallTimeout bounds one call to the leader.
	leaderCallTimeout = 700 * time.Millisecond
)

// A LeaderClient sends the requests of operators to the leader, which may be this keeper or another
// one. It is safe for concurrent use.
type LeaderClient struct {
	keeper *Keeper
	conns  connCache
}

// PutRoutes makes a configuration of routes durable. After an error the configuration may still
// come into force; it is safe to send it again.
func (c *LeaderClient) PutRoutes(ctx context.Context, number uint64, config []byte) error {
	packed, err := codec.Compress(config)
	if err != nil {
		return err
	}
	request := message.PutRequest{Number: number, PackedConfig: packed}
	return c.forward(ctx, func(ctx context.Context, conn *rpc.Conn) error {
		if conn == nil {
			_, err := c.keeper.core.putRoutes(ctx, request)
			return err
		}
		return conn.Call(ctx, message.MethodPutRoutes, request, nil)
	})
}

// ReadRoutes returns the newest configuration of routes, in the form in which it was put, or
// number 0 if there is none. It fails if it cannot be certain that the configuration is the
// newest.
func (c *LeaderClient) ReadRoutes(ctx context.Context) (number uint64, config []byte, err error) {
	var document message.RoutesDocument
	err = c.forward(ctx, func(ctx context.Context, conn *rpc.Conn) error {
		var err error
		if conn == nil {
			document, err = c.keeper.core.readRoutes(ctx)
			return err
		}
		return conn.Call(ctx, message.MethodReadRoutes, struct{}{}, &document)
	})
	if err != nil || document.Number == 0 {
		return 0, nil, err
	}
	config, err = codec.Decompress(document.PackedConfig)
	return document.Number, config, err
}

// forward calls the leader, with a nil conn if that is this keeper. It retries while no leader is
// known or reachable, or the called keeper does not lead.
func (c *LeaderClient) forward(ctx context.Context, call func(ctx context.Context, conn *rpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	for {
		err := c.forwardOnce(ctx, call)
		var refusal *fleet.Error
		if err == nil || !errors.As(err, &refusal) || refusal.Kind != fleet.KindNotLeader {
			return err
		}
		if !sleep(ctx, forwardRetryInterval) {
			return err
		}
	}
}

func (c *LeaderClient) forwardOnce(ctx context.Context, call func(ctx context.Context, conn *rpc.Conn) error) error {
	members, err := c.keeper.core.members(ctx)
	if err != nil {
		return err
	}
	if members.Leader == c.keeper.Settings.Listen {
		return call(ctx, nil)
	}
	if members.Leader == "" {
		return fleet.NewError(fleet.KindNotLeader, "ask again, or another keeper", "no keeper leads")
	}
	callCtx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	conn, err := c.conns.get(callCtx, members.Leader, c.keeper.dialPeer)
	if err != nil {
		return fleet.NewError(fleet.KindNotLeader, "ask again, or another keeper", "the leader cannot be reached: %v", err)
	}
	err = call(callCtx, conn)
	var refusal *fleet.Error
	if err != nil && !errors.As(err, &refusal) {
		c.conns.drop(members.Leader, conn) // the connection may hang without a reset
	}
	return err
}
