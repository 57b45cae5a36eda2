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
	// controlPatience bounds how long an operator's order looks for the leader.
	// Operators move on to another keeper after a second.
	orderTimeout       = 900 * time.Millisecond
	orderRetryInterval = 40 * time.Millisecond
	// controlCall bounds one call to the leader.
	leaderCallTimeout = 700 * time.Millisecond
)

// A LeaderClient carries operators' orders to the leading keeper, whichever it is.
// It serves any number of goroutines.
type LeaderClient struct {
	keeper *Keeper
	conns  connCache
}

// PutRoutes makes a configuration of routes durable. An error means that it may or
// may not come in force; to send it again is safe.
func (c *LeaderClient) PutRoutes(ctx context.Context, number uint64, config []byte) error {
	packed, err := codec.Pack(config)
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

// ReadRoutes returns the newest configuration of routes, as it was put. It fails where
// that is not certain.
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
	config, err = codec.Unpack(document.PackedConfig)
	return document.Number, config, err
}

// try has this keeper, and then the leader that it knows, carry an order out.
func (c *LeaderClient) forward(ctx context.Context, call func(ctx context.Context, conn *rpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for {
		err := c.forwardOnce(ctx, call)
		var refusal *fleet.Error
		if err == nil || !errors.As(err, &refusal) || refusal.Kind != fleet.KindNotLeader {
			return err
		}
		if !sleep(ctx, orderRetryInterval) {
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
		c.conns.drop(members.Leader, conn) // it may hang without a reset
	}
	return err
}
