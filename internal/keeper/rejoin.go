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
	rejoinPeriod = 500 * time.Millisecond
	// unheard is how long a keeper hears no leader before it asks to be taken in
	// again. Longer than an election takes.
	unheard = 2 * time.Second
)

// stay is the duty that keeps this keeper a member. One that was away for long
// may have been removed; nobody sends to it then, and it cannot tell this from
// a group without a leader. To ask is harmless: a member is told that it is one.
func (k *Keeper) stay(ctx context.Context, id journal.Identity) error {
	for sleep(ctx, rejoinPeriod) {
		needsRejoin := false
		var known []string
		err := k.core.ask(ctx, func(now time.Time) {
			needsRejoin = k.core.needsRejoin(now)
			known = k.core.addresses()
		})
		if err == nil && needsRejoin {
			k.found.askAll(ctx, id, known)
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
	member := slices.ContainsFunc(c.node.Members(), func(m quorum.Member) bool { return m.ID == c.node.ID })
	return !member || now.Sub(c.node.LastLeaderContact()) > unheard
}

// askAll asks each keeper that may know the leader to take this one in, once.
func (f *founding) askAll(ctx context.Context, id journal.Identity, known []string) ([]quorum.Member, bool) {
	params := joinParams{Name: id.Name, ID: id.ID, Address: f.address()}
	asked := map[string]bool{f.address(): true, "": true}
	for _, p := range f.settings.PeerList() {
		known = append(known, p.Address)
	}
	if more := f.seeds.Load(); more != nil {
		known = append(known, *more...)
	}
	for i := 0; i < len(known); i++ {
		if asked[known[i]] {
			continue
		}
		asked[known[i]] = true
		members, more, ok := f.askJoin(ctx, known[i], params)
		if ok {
			return members, true
		}
		known = append(known, more...)
	}
	return nil, false
}

// address is where the other keepers reach this one.
func (f *founding) address() string {
	for _, p := range f.settings.PeerList() {
		if p.Name == f.settings.Name {
			return p.Address
		}
	}
	return f.settings.Listen
}

// askJoin asks one keeper. One that does not lead tells whom to ask instead.
func (f *founding) askJoin(ctx context.Context, address string, params joinParams) ([]quorum.Member, []string, bool) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn, err := f.dial(ctx, address)
	if err != nil {
		f.log.Debug("join: keeper cannot be reached", "address", address, "error", err)
		return nil, nil, false
	}
	defer conn.Close()
	var result joinResult
	err = conn.Call(ctx, message.MethodJoinGroup, params, &result)
	if err == nil {
		return result.Members, nil, true
	}
	f.log.Debug("join: refused", "by", address, "error", err)
	var more message.MembersResult
	if err := conn.Call(ctx, message.MethodMembers, struct{}{}, &more); err != nil {
		f.log.Debug("join: no word of other keepers", "by", address, "error", err)
		return nil, nil, false
	}
	return nil, append(more.Keepers, more.Leader), false
}
