package keeper

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/settings"
)

const (
	foundRetryInterval = 100 * time.Millisecond
	// joinTimeout bounds the asking of one keeper. One without power answers
	// nothing, and the next one may lead.
	joinTimeout = 700 * time.Millisecond
)

// founding gives a keeper its identity: one of the founders of a group, or a
// replacement that joins one.
//
// Each data folder has an ID of its own. A founder binds the first ID that it
// hears of each peer, durably, before it answers; the group is founded at a
// keeper once all its peers have bound its ID. A founder that loses its disk
// comes back with another ID, finds the old one bound, and stops: under its
// old identity it could vote against what it had promised.
type bootstrapper struct {
	settings settings.Keeper
	log      hclog.Logger
	journal  *journal.Journal
	init     bool
	dial     func(ctx context.Context, address string) (*rpc.Conn, error)

	clock     clock.Clock
	startedAt time.Time // when this keeper began to found
	// seeds are keepers that the settings name by now.
	seeds atomic.Pointer[[]string]

	mu sync.Mutex
}

// foundParams is the parameter of MethodFound.
type foundParams struct {
	Name string `json:"name"`
	ID   string `json:"id"`
}

// foundResult is the result of MethodFound. Bound is the ID that the peer has
// bound for the asker.
type foundResult struct {
	ID      string `json:"id"`
	Bound   string `json:"bound"`
	Founded bool   `json:"founded,omitempty"`
}

// joinParams is the parameter of MethodJoin.
type joinParams struct {
	Name    string `json:"name"`
	ID      string `json:"id"`
	Address string `json:"address"`
}

// joinResult is the result of MethodJoin: whom the new member answers until the
// log tells it who the members are.
type joinResult struct {
	Members []quorum.Member `json:"members"`
}

// An IdentityConflictError says that a peer knows this keeper under another disk.
type IdentityConflictError struct {
	Peer string
	Name string
}

// Error returns the peer and the remedy.
func (e *IdentityConflictError) Error() string {
	return fmt.Sprintf("keeper %s knows %s under another disk (start without --init, so that it joins as a replacement)", e.Peer, e.Name)
}

// run returns the identity once the keeper may take part.
func (b *bootstrapper) run(ctx context.Context) (journal.Identity, error) {
	identity, err := b.loadIdentity()
	if err != nil {
		return identity, err
	}
	switch {
	case identity.Founded || b.journal.IsMember():
		// A joined keeper whose log says that it is a member must not wait for a
		// leader here: after a loss of power everywhere, its vote may be the one
		// that a quorum lacks.
		return identity, nil
	case identity.FoundingPeerIDs != nil:
		return b.waitForPeers(ctx)
	default:
		return b.join(ctx, identity)
	}
}

// identity returns the folder's identity, and draws one for an empty folder.
func (b *bootstrapper) loadIdentity() (journal.Identity, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	identity := b.journal.Identity()
	if identity.ID != "" {
		return identity, nil
	}
	identity = journal.Identity{Name: b.settings.Name, ID: b.settings.Name + "-" + rand.Text()}
	if b.init {
		identity.FoundingPeerIDs = map[string]string{identity.Name: identity.ID}
	}
	if err := b.journal.SetIdentity(identity); err != nil {
		return identity, fmt.Errorf("save the identity: %w", err)
	}
	return identity, nil
}

// answer serves MethodFound.
func (b *bootstrapper) handleFoundGroup(params foundParams) (foundResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	identity := b.journal.Identity()
	if identity.FoundingPeerIDs == nil {
		return foundResult{}, fleet.NewError(fleet.KindPrecondition, "start it with --init, or wait for it", "keeper %s founds no group", b.settings.Name)
	}
	if identity.FoundingPeerIDs[params.Name] == "" && !identity.Founded {
		if err := b.bindPeer(identity, params.Name, params.ID); err != nil {
			return foundResult{}, err
		}
	}
	return foundResult{ID: identity.ID, Bound: b.journal.Identity().FoundingPeerIDs[params.Name], Founded: identity.Founded}, nil
}

func (b *bootstrapper) bindPeer(identity journal.Identity, name, peerID string) error {
	bound := make(map[string]string, len(identity.FoundingPeerIDs)+1)
	for boundName, boundID := range identity.FoundingPeerIDs {
		bound[boundName] = boundID
	}
	bound[name] = peerID
	identity.FoundingPeerIDs = bound
	return b.journal.SetIdentity(identity)
}

// waitForPeers asks all peers until each has bound this keeper's ID, or most of
// them have founded the group.
func (b *bootstrapper) waitForPeers(ctx context.Context) (journal.Identity, error) {
	b.startedAt = b.clock.Now()
	missing := make(map[string]string)
	for _, peer := range b.settings.PeerList() {
		if peer.Name != b.settings.Name {
			missing[peer.Name] = peer.Address
		}
	}
	for b.isIncomplete(missing) {
		err := b.askMissingPeers(ctx, missing)
		if errors.Is(err, errFoundedWithout) {
			return b.join(ctx, b.currentIdentity())
		}
		if err != nil {
			return journal.Identity{}, err
		}
		if identity := b.currentIdentity(); identity.Founded {
			return identity, nil // a peer has formed the group
		}
		// A proposal that was made stands, also once all peers are there: one may
		// have taken part already.
		if len(b.currentIdentity().ProposedMembers) > 0 || b.mayFoundWithout(missing) {
			if identity, done, err := b.proposeGroup(ctx, missing); done || err != nil {
				return identity, err
			}
		}
		if b.isIncomplete(missing) && !sleep(ctx, foundRetryInterval) {
			return journal.Identity{}, ctx.Err()
		}
	}
	return b.completeFounding()
}

func (b *bootstrapper) isIncomplete(missing map[string]string) bool {
	return len(missing) > 0 || len(b.currentIdentity().ProposedMembers) > 0
}

// askMissing asks the missing peers, and strikes those off that have bound this
// keeper's ID.
func (b *bootstrapper) askMissingPeers(ctx context.Context, missing map[string]string) error {
	for name, address := range missing {
		ok, err := b.askPeer(ctx, name, address)
		if err != nil {
			return err
		}
		if ok {
			delete(missing, name)
		}
	}
	return nil
}

func (b *bootstrapper) askPeer(ctx context.Context, name, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	conn, err := b.dial(ctx, address)
	if err != nil {
		b.log.Debug("founding: peer cannot be reached", "peer", name, "error", err)
		return false, nil
	}
	defer conn.Close()
	ownIdentity := b.currentIdentity()
	var result foundResult
	if err := conn.Call(ctx, message.MethodFoundGroup, foundParams{Name: ownIdentity.Name, ID: ownIdentity.ID}, &result); err != nil {
		b.log.Debug("founding: peer is not ready", "peer", name, "error", err)
		return false, nil
	}
	if b.settings.AutoMembers && result.Founded && result.Bound != ownIdentity.ID {
		return false, errFoundedWithout
	}
	if result.Bound != ownIdentity.ID {
		return false, &IdentityConflictError{Peer: name, Name: ownIdentity.Name}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	identity := b.journal.Identity()
	if identity.FoundingPeerIDs[name] == "" {
		return true, b.bindPeer(identity, name, result.ID)
	}
	if identity.FoundingPeerIDs[name] != result.ID {
		return false, &IdentityConflictError{Peer: ownIdentity.Name, Name: name}
	}
	return true, nil
}

func (b *bootstrapper) currentIdentity() journal.Identity {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.journal.Identity()
}

// conclude makes the founding members durable.
func (b *bootstrapper) completeFounding() (journal.Identity, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	identity := b.journal.Identity()
	if identity.Founded {
		return identity, nil
	}
	for _, peer := range b.settings.PeerList() {
		identity.FoundingMembers = append(identity.FoundingMembers, quorum.Member{ID: identity.FoundingPeerIDs[peer.Name], Name: peer.Name, Address: peer.Address, Voter: true})
	}
	slices.SortFunc(identity.FoundingMembers, func(a, b quorum.Member) int { return cmp.Compare(a.Name, b.Name) })
	identity.Founded = true
	if err := b.journal.SetIdentity(identity); err != nil {
		return identity, fmt.Errorf("save the identity: %w", err)
	}
	b.log.Info("group founded", "members", len(identity.FoundingMembers), "id", identity.ID)
	return identity, nil
}

// join asks the group to take this keeper as a replacement. The leader then
// sends it the log; it votes only once it holds all of it.
func (b *bootstrapper) join(ctx context.Context, identity journal.Identity) (journal.Identity, error) {
	for {
		if members, ok := b.requestJoin(ctx, identity, nil); ok {
			b.log.Info("joined as a learner", "id", identity.ID, "members", len(members))
			identity.FoundingMembers = members
			return identity, nil
		}
		if !sleep(ctx, foundRetryInterval) {
			return identity, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
