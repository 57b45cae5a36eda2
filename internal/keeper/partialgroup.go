package keeper

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
)

// partialGroupDelay is how long a founder waits for all its peers before it founds the group with
// a majority of them. Processes that start together reach each other within a second; a VM that
// is down stays unreachable.
const partialGroupDelay = 3 * time.Second

// errFoundedWithout means that the group is founded without this keeper, which then joins it as a
// learner.
var errFoundedWithout = errors.New("the group was founded without this keeper")

// formParams are the parameters of MethodFormGroup: the members of a group that is to be founded
// without some of the peers.
type formParams struct {
	Members []quorum.Member `json:"members"`
}

// formResult is the result of MethodFormGroup: the members of the group that the called keeper
// has founded, which may be a different group.
type formResult struct {
	Members []quorum.Member `json:"members"`
}

// mayFoundWithout reports whether this keeper may propose a group without the missing peers. That
// takes automatic membership, a wait of partialGroupDelay and a majority of present peers, of
// which this keeper must be the first by name.
func (b *bootstrapper) mayFoundWithout(missing map[string]string) bool {
	if !b.settings.AutoMembers || len(missing) == 0 || b.clock.Now().Sub(b.startedAt) < partialGroupDelay {
		return false
	}
	peers := b.settings.PeerList()
	present := 0
	for _, peer := range peers {
		if missing[peer.Name] != "" {
			continue
		}
		present++
		if peer.Name < b.settings.Name {
			return false
		}
	}
	return present > len(peers)/2
}

// proposeGroup asks the reachable peers to found the group with this keeper.
//
// Two groups must never be founded. Any two majorities of the peers have a peer in common, and
// each peer takes part in only one group: it makes its choice durable before it responds. A
// proposal is also durable before it is sent. It is repeated unchanged until it is accepted, or
// until a peer has taken part in another group; without that peer this group can have no quorum.
func (b *bootstrapper) proposeGroup(ctx context.Context, missing map[string]string) (identity journal.Identity, done bool, err error) {
	identity, err = b.ownProposal(missing)
	if err != nil {
		return identity, true, err
	}
	for _, member := range identity.ProposedMembers {
		if member.ID == identity.ID {
			continue
		}
		result, err := b.sendProposal(ctx, member.Address, identity.ProposedMembers)
		if err != nil {
			b.log.Debug("founding: peer did not accept the proposed group", "peer", member.Name, "error", err)
			return identity, false, nil
		}
		if !slices.Equal(result.Members, identity.ProposedMembers) {
			return b.acceptFoundedGroup(ctx, result.Members)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	identity = b.journal.Identity()
	identity.FoundingMembers, identity.Founded = identity.ProposedMembers, true
	b.log.Warn("group founded without all peers", "members", len(identity.FoundingMembers), "missing", len(missing))
	return identity, true, b.journal.SetIdentity(identity)
}

// ownProposal returns this keeper's identity with its proposal, which is made only once.
func (b *bootstrapper) ownProposal(missing map[string]string) (journal.Identity, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	identity := b.journal.Identity()
	if len(identity.ProposedMembers) > 0 {
		return identity, nil
	}
	for _, peer := range b.settings.PeerList() {
		if missing[peer.Name] == "" {
			identity.ProposedMembers = append(identity.ProposedMembers, quorum.Member{ID: identity.FoundingPeerIDs[peer.Name], Name: peer.Name, Address: peer.Address, Voter: true})
		}
	}
	slices.SortFunc(identity.ProposedMembers, func(a, b quorum.Member) int { return cmp.Compare(a.Name, b.Name) })
	return identity, b.journal.SetIdentity(identity)
}

func (b *bootstrapper) sendProposal(ctx context.Context, address string, members []quorum.Member) (formResult, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var result formResult
	conn, err := b.dial(ctx, address)
	if err != nil {
		return result, err
	}
	defer conn.Close()
	return result, conn.Call(ctx, message.MethodFormGroup, formParams{Members: members}, &result)
}

// acceptFoundedGroup takes part in a group that a peer has founded: as a founder if this keeper
// is one of its members, otherwise as a learner.
func (b *bootstrapper) acceptFoundedGroup(ctx context.Context, members []quorum.Member) (journal.Identity, bool, error) {
	b.mu.Lock()
	identity := b.journal.Identity()
	identity.ProposedMembers = nil
	if slices.ContainsFunc(members, func(member quorum.Member) bool { return member.ID == identity.ID }) {
		identity.FoundingMembers, identity.Founded = members, true
	}
	err := b.journal.SetIdentity(identity)
	b.mu.Unlock()
	if err != nil || identity.Founded {
		return identity, true, err
	}
	identity, err = b.join(ctx, identity)
	return identity, true, err
}

// handleFormGroup serves MethodFormGroup. It takes part in the proposed group unless this keeper
// takes part in another one.
func (b *bootstrapper) handleFormGroup(params formParams) (formResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	identity := b.journal.Identity()
	if identity.Founded {
		return formResult{Members: identity.FoundingMembers}, nil
	}
	isMember := slices.ContainsFunc(params.Members, func(member quorum.Member) bool { return member.ID == identity.ID })
	if identity.FoundingPeerIDs == nil || !isMember || len(identity.ProposedMembers) > 0 {
		return formResult{}, fleet.NewError(fleet.KindPrecondition, "ask again, or wait for its own proposal",
			"keeper %s takes no part in this group", b.settings.Name)
	}
	identity.FoundingMembers, identity.Founded = params.Members, true
	if err := b.journal.SetIdentity(identity); err != nil {
		return formResult{}, err
	}
	b.log.Info("group founded by a peer", "members", len(identity.FoundingMembers), "id", identity.ID)
	return formResult{Members: identity.FoundingMembers}, nil
}
