package keeper

import (
	"context"
	"slices"
	"time"

	"laburnumfall/internal/journal"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
)

const (
	rejoinInterval = 500 * time.Millisecond
	// leaderSilenceLimit is how long a keeper has no contact with a leader before it asks to be
	// admitted again. It is longer than an election takes.
	leaderSilenceLimit = 2 * time.Second
)

// keepMembership asks the group to admit this keeper again when needed. A keeper that was
// unreachable for long may have been removed. No member sends to it then, and it cannot
// distinguish that from a group without a leader. Asking is harmless: the leader only confirms
// an existing membership.
func (k *Keeper) keepMembership(ctx context.Context, identity journal.Identity) error {
	for sleep(ctx, rejoinInterval) {
		needsRejoin := false
		var addresses []string
		err := k.core.runAndWait(ctx, func(now time.Time) {
			needsRejoin = k.core.needsRejoin(now)
			addresses = k.core.memberAddresses()
		})
		if err == nil && needsRejoin {
			k.bootstrapper.requestJoin(ctx, identity, addresses)
		}
	}
	return nil
}

// needsRejoin reports whether this keeper has had no contact with a leader for long, or is not a
// member.
func (c *core) needsRejoin(now time.Time) bool {
	if c.node.IsActiveLeader(now) {
		return false
	}
	isMember := slices.ContainsFunc(c.node.Members(), func(member quorum.Member) bool { return member.ID == c.node.ID })
	return !isMember || now.Sub(c.node.LastLeaderContact()) > leaderSilenceLimit
}

// requestJoin asks every keeper that may know the leader, each once, to admit this keeper.
func (b *bootstrapper) requestJoin(ctx context.Context, identity journal.Identity, addresses []string) ([]quorum.Member, bool) {
	params := joinParams{Name: identity.Name, ID: identity.ID, Address: b.ownAddress()}
	asked := map[string]bool{b.ownAddress(): true, "": true}
	for _, peer := range b.settings.PeerList() {
		addresses = append(addresses, peer.Address)
	}
	if more := b.seeds.Load(); more != nil {
		addresses = append(addresses, *more...)
	}
	for i := 0; i < len(addresses); i++ {
		if asked[addresses[i]] {
			continue
		}
		asked[addresses[i]] = true
		members, more, ok := b.requestJoinFrom(ctx, addresses[i], params)
		if ok {
			return members, true
		}
		addresses = append(addresses, more...)
	}
	return nil, false
}

// ownAddress returns the address at which the other keepers reach this one.
func (b *bootstrapper) ownAddress() string {
	for _, peer := range b.settings.PeerList() {
		if peer.Name == b.settings.Name {
			return peer.Address
		}
	}
	return b.settings.Listen
}

// requestJoinFrom asks one keeper to admit this one. If that keeper refuses, it returns the
// addresses of the keepers that it knows, the leader included.
func (b *bootstrapper) requestJoinFrom(ctx context.Context, address string, params joinParams) ([]quorum.Member, []string, bool) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn, err := b.dial(ctx, address)
	if err != nil {
		b.log.Debug("join: keeper is unreachable", "address", address, "error", err)
		return nil, nil, false
	}
	defer conn.Close()
	var result joinResult
	err = conn.Call(ctx, message.MethodJoinGroup, params, &result)
	if err == nil {
		return result.Members, nil, true
	}
	b.log.Debug("join: refused", "by", address, "error", err)
	var known message.MembersResult
	if err := conn.Call(ctx, message.MethodMembers, struct{}{}, &known); err != nil {
		b.log.Debug("join: keeper returned no other keepers", "by", address, "error", err)
		return nil, nil, false
	}
	return nil, append(known.Keepers, known.Leader), false
}
