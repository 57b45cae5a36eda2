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
const formPatience = 3 * time.Second

// errJoin says that the group is founded without this keeper, which therefore
// joins it as a learner.
var errJoin = errors.New("the group is founded without this keeper")

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
func (f *founding) mayForm(missing map[string]string) bool {
	if !f.settings.AutoMembers || len(missing) == 0 || f.clock.Now().Sub(f.began) < formPatience {
		return false
	}
	peers := f.settings.PeerList()
	present := 0
	for _, p := range peers {
		if missing[p.Name] != "" {
			continue
		}
		present++
		if p.Name < f.settings.Name {
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
func (f *founding) propose(ctx context.Context, missing map[string]string) (id journal.Identity, done bool, err error) {
	id, err = f.proposal(missing)
	if err != nil {
		return id, true, err
	}
	for _, m := range id.ProposedMembers {
		if m.ID == id.ID {
			continue
		}
		formed, err := f.askForm(ctx, m.Address, id.ProposedMembers)
		if err != nil {
			f.log.Debug("forming: peer does not answer", "peer", m.Name, "error", err)
			return id, false, nil
		}
		if !slices.Equal(formed.Members, id.ProposedMembers) {
			return f.giveWay(ctx, formed.Members)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	id = f.journal.Identity()
	id.FoundingMembers, id.Founded = id.ProposedMembers, true
	f.log.Warn("group founded without all peers", "members", len(id.FoundingMembers), "missing", len(missing))
	return id, true, f.journal.SetIdentity(id)
}

// proposal returns this keeper's identity with its proposal, which it makes once.
func (f *founding) proposal(missing map[string]string) (journal.Identity, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.journal.Identity()
	if len(id.ProposedMembers) > 0 {
		return id, nil
	}
	for _, p := range f.settings.PeerList() {
		if missing[p.Name] == "" {
			id.ProposedMembers = append(id.ProposedMembers, quorum.Member{ID: id.FoundingPeerIDs[p.Name], Name: p.Name, Address: p.Address, Voter: true})
		}
	}
	slices.SortFunc(id.ProposedMembers, func(a, b quorum.Member) int { return cmp.Compare(a.Name, b.Name) })
	return id, f.journal.SetIdentity(id)
}

func (f *founding) askForm(ctx context.Context, address string, members []quorum.Member) (formResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r formResult
	conn, err := f.dial(ctx, address)
	if err != nil {
		return r, err
	}
	defer conn.Close()
	return r, conn.Call(ctx, message.MethodFormGroup, formParams{Members: members}, &r)
}

// giveWay takes part in the group that a peer has founded: as a founder if this
// keeper is one of its members, and else as a learner.
func (f *founding) giveWay(ctx context.Context, members []quorum.Member) (journal.Identity, bool, error) {
	f.mu.Lock()
	id := f.journal.Identity()
	id.ProposedMembers = nil
	if slices.ContainsFunc(members, func(m quorum.Member) bool { return m.ID == id.ID }) {
		id.FoundingMembers, id.Founded = members, true
	}
	err := f.journal.SetIdentity(id)
	f.mu.Unlock()
	if err != nil || id.Founded {
		return id, true, err
	}
	id, err = f.join(ctx, id)
	return id, true, err
}

// form serves MethodFormed: it takes part in the proposed group, unless it takes
// part in another.
func (f *founding) form(p formParams) (formResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.journal.Identity()
	if id.Founded {
		return formResult{Members: id.FoundingMembers}, nil
	}
	mine := slices.ContainsFunc(p.Members, func(m quorum.Member) bool { return m.ID == id.ID })
	if id.FoundingPeerIDs == nil || !mine || len(id.ProposedMembers) > 0 {
		return formResult{}, fleet.NewError(fleet.KindPrecondition, "ask again, or wait for its own proposal",
			"keeper %s takes no part in this group", f.settings.Name)
	}
	id.FoundingMembers, id.Founded = p.Members, true
	if err := f.journal.SetIdentity(id); err != nil {
		return formResult{}, err
	}
	f.log.Info("group founded by a peer", "members", len(id.FoundingMembers), "id", id.ID)
	return formResult{Members: id.FoundingMembers}, nil
}
