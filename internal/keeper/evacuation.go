package keeper

import (
	"context"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/statestore"
)

// Evacuate begins or ends the evacuation of an availability zone. It returns once that is
// durable. An error of another kind than [fleet.KindMalformed] means that it may or may not
// come in force; to send the order again is safe.
func (c *LeaderClient) Evacuate(ctx context.Context, p message.EvacuateRequest) error {
	return c.try(ctx, func(ctx context.Context, conn *rpc.Conn) error {
		if conn == nil {
			_, err := c.keeper.core.evacuate(ctx, p)
			return err
		}
		return conn.Call(ctx, message.MethodEvacuate, p, nil)
	})
}

func (c *core) evacuate(ctx context.Context, p message.EvacuateRequest) (message.EvacuateResult, error) {
	return await(ctx, c, func(now time.Time, done func(message.EvacuateResult, error)) { c.order(now, p, done) })
}

// order proposes an operator's order. Where it changes nothing, it was sent again, and what
// the log holds answers it: also an end of what has never begun, of a zone that is known.
func (c *core) order(now time.Time, p message.EvacuateRequest, done func(message.EvacuateResult, error)) {
	held := c.ledger.Evacuations()
	switch {
	case !c.leads(now):
		done(message.EvacuateResult{}, quorum.NewNotLeaderError(c.leaderAddress()))
	case !held.Contains(p.Zone) && !c.hasZone(p.Zone):
		done(message.EvacuateResult{}, fleet.NewError(fleet.KindMalformed, "name a zone that has targets", "no zone is named %q", p.Zone))
	case held.Contains(p.Zone) != p.End:
		done(message.EvacuateResult{Zones: held.Zones}, nil)
	default:
		c.log.Info("evacuation ordered", "zone", p.Zone, "end", p.End, "operator", p.Operator)
		cmd := statestore.Command{Evacuation: &statestore.Evacuation{Zone: p.Zone, End: p.End}}
		c.submit(now, cmd, func(_ statestore.Result, err error) {
			done(message.EvacuateResult{Zones: c.ledger.Evacuations().Zones}, err)
		})
	}
}

// hasZone reports whether the settings, the configuration in force or the list of targets
// name a zone.
func (c *core) hasZone(z fleet.Zone) bool {
	if slices.Contains(c.zones, z) {
		return true
	}
	config, _ := c.ledger.Config()
	inZone := func(in fleet.Instance) bool { return in.Zone == z }
	return slices.ContainsFunc(config.Targets, func(t fleet.Target) bool { return t.Zone == z }) ||
		slices.ContainsFunc(c.routes.targets, inZone)
}

// noteEvacuations puts a change of the evacuated zones in force at the routers of events.
// Those of routes hear it with their next renewal.
func (c *core) noteEvacuations(before, now fleet.EvacuatedZones) {
	if before.Revision == now.Revision {
		return
	}
	c.log.Info("evacuated zones changed", "zones", now.Zones, "revision", now.Revision)
	c.giveGone()
}
