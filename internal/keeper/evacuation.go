package keeper

import (
	"context"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/ledger"
	"laburnumfall/internal/link"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
)

// Evacuate begins or ends the evacuation of an availability zone. It returns once that is
// durable. An error of another kind than [fleet.KindMalformed] means that it may or may not
// come in force; to send the order again is safe.
func (c *Control) Evacuate(ctx context.Context, p message.Evacuate) error {
	return c.try(ctx, func(ctx context.Context, conn *link.Conn) error {
		if conn == nil {
			_, err := c.keeper.core.evacuate(ctx, p)
			return err
		}
		return conn.Call(ctx, message.MethodEvacuate, p, nil)
	})
}

func (c *core) evacuate(ctx context.Context, p message.Evacuate) (message.Evacuated, error) {
	return await(ctx, c, func(now time.Time, done func(message.Evacuated, error)) { c.order(now, p, done) })
}

// order proposes an operator's order. Where it changes nothing, it was sent again, and what
// the log holds answers it: also an end of what has never begun, of a zone that is known.
func (c *core) order(now time.Time, p message.Evacuate, done func(message.Evacuated, error)) {
	held := c.ledger.Evacuations()
	switch {
	case !c.leads(now):
		done(message.Evacuated{}, quorum.NewNotLeaderError(c.leaderAddress()))
	case !held.Has(p.Zone) && !c.hasZone(p.Zone):
		done(message.Evacuated{}, fleet.NewError(fleet.KindMalformed, "name a zone that has targets", "no zone is named %q", p.Zone))
	case held.Has(p.Zone) != p.End:
		done(message.Evacuated{Zones: held.Zones}, nil)
	default:
		c.log.Info("evacuation ordered", "zone", p.Zone, "end", p.End, "operator", p.Operator)
		cmd := ledger.Command{Evacuation: &ledger.Evacuation{Zone: p.Zone, End: p.End}}
		c.submit(now, cmd, func(_ ledger.Result, err error) {
			done(message.Evacuated{Zones: c.ledger.Evacuations().Zones}, err)
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
func (c *core) noteEvacuations(before, now fleet.Evacuations) {
	if before.Revision == now.Revision {
		return
	}
	c.log.Info("evacuated zones changed", "zones", now.Zones, "revision", now.Revision)
	c.giveGone()
}
