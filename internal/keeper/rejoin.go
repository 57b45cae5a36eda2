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
	// unheard is how long a keeper hears no leader before it asks to be taken in
	// again. Longer than an election takes.
	leaderSilenceLimit = 2 * time.Second
)

// stay is the duty that keeps this keeper a member. One that was away for long
// may have been removed; nobody sends to it then, and it cannot tell this from
// a group without a leader. To ask is harmless: a member is told that it is one.
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

// needsRejoin reports whether this keeper has heard no leader for long, or is no
// member.
func (c *core) needsRejoin(now time.Time) bool {
	if c.node.IsActiveLeader(now) {
		return false
	}
	isMember := slices.ContainsFunc(c.node.Members(), func(member quorum.Member) bool { return member.ID == c.node.ID })
	return !isMember || now.Sub(c.node.LastLeaderContact()) > leaderSilenceLimit
}

// askAll asks each keeper that may know the leader to take this one in, once.
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

// address is where the other keepers reach this one.
func (b *bootstrapper) ownAddress() string {
	for _, peer := range b.settings.PeerList() {
		if peer.Name == b.settings.Name {
			return peer.Address
		}
	}
	return b.settings.Listen
}

// askJoin asks one keeper. One that does not lead tells whom to ask instead.
func (b *bootstrapper) requestJoinFrom(ctx context.Context, address string, params joinParams) ([]quorum.Member, []string, bool) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn, err := b.dial(ctx, address)
	if err != nil {
		b.log.Debug("join: keeper cannot be reached", "address", address, "error", err)
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
		b.log.Debug("join: no word of other keepers", "by", address, "error", err)
		return nil, nil, false
	}
	return nil, append(known.Keepers, known.Leader), false
}
