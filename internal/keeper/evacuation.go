package keeper

import (
	"context"
	"errors"
	"time"

	"laburnumfall/internal/caller"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/statestore"
)

// ticketTime is how long after it was asked for a ticket a leader carries out the request. A call to it
// takes some milliseconds; the rest is for processes that are short of processor time.
const ticketTime = 250 * time.Millisecond

// errOperatorLeft reports a request whose operator has closed its connection.
var errOperatorLeft = errors.New("the operator has left before its request was sent to the leader (send it again)")

// Evacuate begins or ends the evacuation of an availability zone and returns once that is
// durable. After an error whose kind is not [fleet.KindMalformed] the request may still take
// effect; it is safe to send it again.
//
// This process may have been suspended with the request unread, and the operator may have given the
// opposite one to another keeper since. So the leader is asked first, then it is checked whether the operator
// is still there, and the leader carries the request out only if it comes soon after it was asked.
func (c *LeaderClient) Evacuate(ctx context.Context, request message.EvacuateRequest) (message.EvacuateResult, error) {
	var result message.EvacuateResult
	err := c.forward(ctx, func(ctx context.Context, conn *rpc.Conn) (err error) {
		request.Ask, request.Ticket = true, nil
		result, err = c.callEvacuate(ctx, conn, request)
		if err != nil || result.Ticket == nil {
			return err // a leader of an earlier version has carried it out
		}
		if caller.HasLeft(ctx) {
			return errOperatorLeft
		}
		request.Ask, request.Ticket = false, result.Ticket
		result, err = c.callEvacuate(ctx, conn, request)
		return err
	})
	return result, err
}

// callEvacuate calls the leader, which is this keeper if conn is nil.
func (c *LeaderClient) callEvacuate(ctx context.Context, conn *rpc.Conn, request message.EvacuateRequest) (result message.EvacuateResult, err error) {
	if conn == nil {
		return c.keeper.core.evacuate(ctx, request)
	}
	err = conn.Call(ctx, message.MethodEvacuate, request, &result)
	return result, err
}

func (c *core) evacuate(ctx context.Context, request message.EvacuateRequest) (message.EvacuateResult, error) {
	return await(ctx, c, func(now time.Time, done func(message.EvacuateResult, error)) { c.proposeEvacuation(now, request, done) })
}

// proposeEvacuation proposes an operator's request. A request that changes nothing, such as a
// repeated one or the end of an evacuation that never began, is answered from the store.
func (c *core) proposeEvacuation(now time.Time, request message.EvacuateRequest, done func(message.EvacuateResult, error)) {
	if !c.isReadyLeader(now) {
		done(message.EvacuateResult{}, quorum.NewNotLeaderError(c.leaderAddress()))
		return
	}
	if request.Ask {
		done(message.EvacuateResult{Ticket: &message.Ticket{Term: c.node.Term(), At: now.UnixNano()}}, nil)
		return
	}
	if request.Ticket != nil && !c.isRecent(now, *request.Ticket) {
		done(message.EvacuateResult{}, fleet.NewError(fleet.KindNotLeader, "send it again", "the request came too late after the leader was asked"))
		return
	}
	check := c.checkZone(now, request.Zone)
	if err := c.refuseEvacuation(now, request, check); err != nil {
		done(message.EvacuateResult{}, err)
		return
	}
	result := func() message.EvacuateResult {
		return message.EvacuateResult{Zones: c.store.EvacuatedZones().Zones, Unconfirmed: check != zoneNamed}
	}
	if c.store.EvacuatedZones().Contains(request.Zone) != request.End {
		done(result(), nil)
		return
	}
	c.log.Info("evacuation ordered", "zone", request.Zone, "end", request.End, "operator", request.Operator, "unconfirmed", check != zoneNamed)
	command := statestore.Command{Evacuation: &statestore.EvacuationChange{Zone: request.Zone, End: request.End}}
	c.submit(now, command, func(_ statestore.Result, err error) { done(result(), err) })
}

// isRecent reports whether this leader has given a ticket a short time ago.
func (c *core) isRecent(now time.Time, ticket message.Ticket) bool {
	age := time.Duration(now.UnixNano() - ticket.At)
	return ticket.Term == c.node.Term() && age >= 0 && age <= ticketTime
}

// refuseEvacuation returns why a request is not carried out, or nil. Requests for zones that are
// evacuated already are not refused.
//
// A zone that cannot be checked, because the list of targets has not been read or cannot be, is
// evacuated nevertheless: what makes an operator evacuate a zone may be what stopped the keepers or
// the list, and the evacuation of a zone without targets has no effect.
func (c *core) refuseEvacuation(now time.Time, request message.EvacuateRequest, check zoneCheck) error {
	evacuations := c.store.EvacuatedZones()
	switch {
	case evacuations.Contains(request.Zone) || check == zoneNamed:
		return nil
	case check == zoneUnnamed || request.Zone == "":
		return fleet.NewError(fleet.KindMalformed, "name a zone that has targets", "no zone is named %q", request.Zone)
	case c.divider == nil || c.divider.Term != c.node.Term() || now.Before(c.zoneCheckDeadline):
		return fleet.NewError(fleet.KindNotLeader, "send it again", "the leader is new and has not read the list of targets yet")
	case request.End:
		return nil
	case len(evacuations.Zones) >= maxEvacuatedZones:
		return fleet.NewError(fleet.KindPrecondition, "end the evacuation of another zone, or send it again when the list of targets can be read",
			"zone %q cannot be checked, and %d zones are evacuated already", request.Zone, len(evacuations.Zones))
	case len(request.Zone) > maxZoneLength:
		return fleet.NewError(fleet.KindPrecondition, "name a zone that has targets, or send it again when the list of targets can be read",
			"a zone that cannot be checked has a name of over %d bytes", maxZoneLength)
	default:
		return nil
	}
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
