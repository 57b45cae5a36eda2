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

// formPatience is how long a founder waits for all its peers before it forms the
// group with most of them. Programs that start together find each other within
// a second; a VM that is dead does not come.
const partialGroupDelay = 3 * time.Second

// errJoin says that the group is founded without this keeper, which therefore
// joins it as a learner.
var errFoundedWithout = errors.New("the group is founded without this keeper")

// formParams is the parameter of MethodFormed: a group that is to be founded
// without some of the peers.
type formParams struct {
	Members []quorum.Member `json:"members"`
}

// formResult is its result: the members that the asked keeper has founded a
// group with, which may be others.
type formResult struct {
	Members []quorum.Member `json:"members"`
}

// mayForm reports whether this keeper is to propose a group without the missing
// peers: most are there, and it is the first of them by name.
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

// propose asks the peers that are there to found the group with this keeper.
//
// Two groups must never form. Any two of more than half of the peers share one,
// and each takes part in one group only: it makes durable which before it
// answers. A proposal is durable too before it is sent, and is repeated
// unchanged until it is accepted, or refused by a peer that has taken part in
// another group, without which this one can have no quorum.
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
			b.log.Debug("forming: peer does not answer", "peer", member.Name, "error", err)
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

// proposal returns this keeper's identity with its proposal, which it makes once.
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

// giveWay takes part in the group that a peer has founded: as a founder if this
// keeper is one of its members, and else as a learner.
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

// form serves MethodFormed: it takes part in the proposed group, unless it takes
// part in another.
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
