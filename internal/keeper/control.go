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
	controlPatience = 900 * time.Millisecond
	controlPause    = 40 * time.Millisecond
	// controlCall bounds one call to the leader.
	controlCall = 700 * time.Millisecond
)

// A LeaderClient carries operators' orders to the leading keeper, whichever it is.
// It serves any number of goroutines.
type LeaderClient struct {
	keeper *Keeper
	links  linkCache
}

// PutRoutes makes a configuration of routes durable. An error means that it may or
// may not come in force; to send it again is safe.
func (c *LeaderClient) PutRoutes(ctx context.Context, number uint64, text []byte) error {
	data, err := codec.Pack(text)
	if err != nil {
		return err
	}
	p := message.PutRequest{Number: number, PackedConfig: data}
	return c.try(ctx, func(ctx context.Context, conn *rpc.Conn) error {
		if conn == nil {
			_, err := c.keeper.core.put(ctx, p)
			return err
		}
		return conn.Call(ctx, message.MethodPutRoutes, p, nil)
	})
}

// ReadRoutes returns the newest configuration of routes, as it was put. It fails where
// that is not certain.
func (c *LeaderClient) ReadRoutes(ctx context.Context) (number uint64, text []byte, err error) {
	var d message.RoutesDocument
	err = c.try(ctx, func(ctx context.Context, conn *rpc.Conn) error {
		var err error
		if conn == nil {
			d, err = c.keeper.core.read(ctx)
			return err
		}
		return conn.Call(ctx, message.MethodReadRoutes, struct{}{}, &d)
	})
	if err != nil || d.Number == 0 {
		return 0, nil, err
	}
	text, err = codec.Unpack(d.PackedConfig)
	return d.Number, text, err
}

// try has this keeper, and then the leader that it knows, carry an order out.
func (c *LeaderClient) try(ctx context.Context, do func(ctx context.Context, conn *rpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, controlPatience)
	defer cancel()
	for {
		err := c.once(ctx, do)
		var refused *fleet.Error
		if err == nil || !errors.As(err, &refused) || refused.Kind != fleet.KindNotLeader {
			return err
		}
		if !sleep(ctx, controlPause) {
			return err
		}
	}
}

func (c *LeaderClient) once(ctx context.Context, do func(ctx context.Context, conn *rpc.Conn) error) error {
	known, err := c.keeper.core.known(ctx)
	if err != nil {
		return err
	}
	if known.Leader == c.keeper.Settings.Listen {
		return do(ctx, nil)
	}
	if known.Leader == "" {
		return fleet.NewError(fleet.KindNotLeader, "ask again, or another keeper", "no keeper leads")
	}
	limited, cancel := context.WithTimeout(ctx, controlCall)
	defer cancel()
	conn, err := c.links.get(limited, known.Leader, c.keeper.dialPeer)
	if err != nil {
		return fleet.NewError(fleet.KindNotLeader, "ask again, or another keeper", "the leader cannot be reached: %v", err)
	}
	err = do(limited, conn)
	var refused *fleet.Error
	if err != nil && !errors.As(err, &refused) {
		c.links.drop(known.Leader, conn) // it may hang without a reset
	}
	return err
}
