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

// Evacuate begins or ends the evacuation of an availability zone and returns once that is
// durable. After an error whose kind is not [fleet.KindMalformed] the request may still take
// effect; it is safe to send it again.
func (c *LeaderClient) Evacuate(ctx context.Context, request message.EvacuateRequest) error {
	return c.forward(ctx, func(ctx context.Context, conn *rpc.Conn) error {
		if conn == nil {
			_, err := c.keeper.core.evacuate(ctx, request)
			return err
		}
		return conn.Call(ctx, message.MethodEvacuate, request, nil)
	})
}

func (c *core) evacuate(ctx context.Context, request message.EvacuateRequest) (message.EvacuateResult, error) {
	return await(ctx, c, func(now time.Time, done func(message.EvacuateResult, error)) { c.proposeEvacuation(now, request, done) })
}

// proposeEvacuation proposes an operator's request. A zone that is neither evacuated nor found by
// hasZone is refused. A request that changes nothing, such as a repeated one or the end of an
// evacuation that never began, is answered from the store.
func (c *core) proposeEvacuation(now time.Time, request message.EvacuateRequest, done func(message.EvacuateResult, error)) {
	evacuations := c.store.EvacuatedZones()
	switch {
	case !c.isReadyLeader(now):
		done(message.EvacuateResult{}, quorum.NewNotLeaderError(c.leaderAddress()))
	case !evacuations.Contains(request.Zone) && !c.hasZone(request.Zone):
		done(message.EvacuateResult{}, fleet.NewError(fleet.KindMalformed, "name a zone that has targets", "no zone is named %q", request.Zone))
	case evacuations.Contains(request.Zone) != request.End:
		done(message.EvacuateResult{Zones: evacuations.Zones}, nil)
	default:
		c.log.Info("evacuation ordered", "zone", request.Zone, "end", request.End, "operator", request.Operator)
		command := statestore.Command{Evacuation: &statestore.EvacuationChange{Zone: request.Zone, End: request.End}}
		c.submit(now, command, func(_ statestore.Result, err error) {
			done(message.EvacuateResult{Zones: c.store.EvacuatedZones().Zones}, err)
		})
	}
}

// hasZone reports whether the settings, the configuration in force or the list of targets name a
// zone.
func (c *core) hasZone(zone fleet.Zone) bool {
	if slices.Contains(c.zones, zone) {
		return true
	}
	config, _ := c.store.Config()
	inZone := func(instance fleet.Instance) bool { return instance.Zone == zone }
	return slices.ContainsFunc(config.Targets, func(target fleet.Target) bool { return target.Zone == zone }) ||
		slices.ContainsFunc(c.renewals.targets, inZone)
}

// handleEvacuationChange applies a change of the evacuated zones to the routers that serve
// events. Routers that serve routes get it with their next renewal.
func (c *core) handleEvacuationChange(before, after fleet.EvacuatedZones) {
	if before.Revision == after.Revision {
		return
	}
	c.log.Info("evacuated zones changed", "zones", after.Zones, "revision", after.Revision)
	c.updateUnavailableTargets()
}
