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
	// joinTimeout bounds the request to one keeper. A keeper without power does not answer, and
	// the next one may be the leader.
	joinTimeout = 700 * time.Millisecond
)

// A bootstrapper establishes the identity of a keeper: a founder of a group, or a replacement
// that joins an existing group.
//
// Each data folder has its own ID. A founder binds each peer's name to the first ID that it
// receives from that peer, and makes the binding durable before it responds. A keeper counts the
// group as founded once all its peers have bound its ID. A founder that loses its disk restarts
// with a new ID, finds its name bound to the old one, and stops. With the old identity its votes
// could contradict promises that were lost with the disk.
type bootstrapper struct {
	settings settings.Keeper
	log      hclog.Logger
	journal  *journal.Journal
	init     bool
	dial     func(ctx context.Context, address string) (*rpc.Conn, error)

	clock     clock.Clock
	startedAt time.Time // when this keeper began to found the group
	// seeds are the addresses of the keepers in the newest settings.
	seeds atomic.Pointer[[]string]

	mu sync.Mutex
}

// foundParams are the parameters of MethodFoundGroup.
type foundParams struct {
	Name string `json:"name"`
	ID   string `json:"id"`
}

// foundResult is the result of MethodFoundGroup. Bound is the ID that the peer has bound to the
// caller's name.
type foundResult struct {
	ID      string `json:"id"`
	Bound   string `json:"bound"`
	Founded bool   `json:"founded,omitempty"`
}

// joinParams are the parameters of MethodJoinGroup.
type joinParams struct {
	Name    string `json:"name"`
	ID      string `json:"id"`
	Address string `json:"address"`
}

// joinResult is the result of MethodJoinGroup. Members are the members that the new member may
// respond to until it learns the membership from the log.
type joinResult struct {
	Members []quorum.Member `json:"members"`
}

// An IdentityConflictError means that a peer has bound this keeper's name, or this keeper a
// peer's name, to the ID of another disk.
type IdentityConflictError struct {
	Peer string
	Name string
}

// Error returns the names of both keepers and the remedy.
func (e *IdentityConflictError) Error() string {
	return fmt.Sprintf("keeper %s has bound the name of keeper %s to another disk (start that keeper without --init, so that it joins as a replacement)", e.Peer, e.Name)
}

// run returns the keeper's identity once the keeper may take part in the group.
func (b *bootstrapper) run(ctx context.Context) (journal.Identity, error) {
	identity, err := b.loadIdentity()
	if err != nil {
		return identity, err
	}
	switch {
	case identity.Founded || b.journal.IsMember():
		// A keeper that has joined and is a member by its log must not wait for a leader here:
		// after a power loss of all keepers, its vote may be needed for a quorum.
		return identity, nil
	case identity.FoundingPeerIDs != nil:
		return b.waitForPeers(ctx)
	default:
		return b.join(ctx, identity)
	}
}

// loadIdentity returns the identity of the data folder. It generates one for an empty folder.
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

// handleFoundGroup serves MethodFoundGroup.
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

// bindPeer durably binds a peer's name to its ID.
func (b *bootstrapper) bindPeer(identity journal.Identity, name, peerID string) error {
	bound := make(map[string]string, len(identity.FoundingPeerIDs)+1)
	for boundName, boundID := range identity.FoundingPeerIDs {
		bound[boundName] = boundID
	}
	bound[name] = peerID
	identity.FoundingPeerIDs = bound
	return b.journal.SetIdentity(identity)
}

// waitForPeers asks the peers until each has bound this keeper's ID, or until a majority has
// founded the group.
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
			return identity, nil // a peer has founded the group with this keeper
		}
		// An existing proposal is pursued even when all peers have become reachable, because a
		// peer may have accepted it already.
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

// isIncomplete reports whether peers are still missing or this keeper's proposal is undecided.
func (b *bootstrapper) isIncomplete(missing map[string]string) bool {
	return len(missing) > 0 || len(b.currentIdentity().ProposedMembers) > 0
}

// askMissingPeers asks the missing peers and removes those that have bound this keeper's ID.
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
		b.log.Debug("founding: peer is unreachable", "peer", name, "error", err)
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

// completeFounding makes the founding members durable.
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

// join asks the group to admit this keeper as a replacement. The leader then replicates the log
// to it. The keeper votes only once it has the complete log.
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

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
