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
	foundPause = 100 * time.Millisecond
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
type founding struct {
	settings settings.Keeper
	log      hclog.Logger
	journal  *journal.Journal
	init     bool
	dial     func(ctx context.Context, address string) (*rpc.Conn, error)

	clock clock.Clock
	began time.Time // when this keeper began to found
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
func (f *founding) run(ctx context.Context) (journal.Identity, error) {
	id, err := f.identity()
	if err != nil {
		return id, err
	}
	switch {
	case id.Founded || f.journal.IsMember():
		// A joined keeper whose log says that it is a member must not wait for a
		// leader here: after a loss of power everywhere, its vote may be the one
		// that a quorum lacks.
		return id, nil
	case id.FoundingPeerIDs != nil:
		return f.waitForPeers(ctx)
	default:
		return f.join(ctx, id)
	}
}

// identity returns the folder's identity, and draws one for an empty folder.
func (f *founding) identity() (journal.Identity, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.journal.Identity()
	if id.ID != "" {
		return id, nil
	}
	id = journal.Identity{Name: f.settings.Name, ID: f.settings.Name + "-" + rand.Text()}
	if f.init {
		id.FoundingPeerIDs = map[string]string{id.Name: id.ID}
	}
	if err := f.journal.SetIdentity(id); err != nil {
		return id, fmt.Errorf("save the identity: %w", err)
	}
	return id, nil
}

// answer serves MethodFound.
func (f *founding) answer(p foundParams) (foundResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.journal.Identity()
	if id.FoundingPeerIDs == nil {
		return foundResult{}, fleet.NewError(fleet.KindPrecondition, "start it with --init, or wait for it", "keeper %s founds no group", f.settings.Name)
	}
	if id.FoundingPeerIDs[p.Name] == "" && !id.Founded {
		if err := f.bind(id, p.Name, p.ID); err != nil {
			return foundResult{}, err
		}
	}
	return foundResult{ID: id.ID, Bound: f.journal.Identity().FoundingPeerIDs[p.Name], Founded: id.Founded}, nil
}

func (f *founding) bind(id journal.Identity, name, peerID string) error {
	bound := make(map[string]string, len(id.FoundingPeerIDs)+1)
	for n, v := range id.FoundingPeerIDs {
		bound[n] = v
	}
	bound[name] = peerID
	id.FoundingPeerIDs = bound
	return f.journal.SetIdentity(id)
}

// waitForPeers asks all peers until each has bound this keeper's ID, or most of
// them have founded the group.
func (f *founding) waitForPeers(ctx context.Context) (journal.Identity, error) {
	f.began = f.clock.Now()
	missing := make(map[string]string)
	for _, p := range f.settings.PeerList() {
		if p.Name != f.settings.Name {
			missing[p.Name] = p.Address
		}
	}
	for f.waits(missing) {
		err := f.askMissing(ctx, missing)
		if errors.Is(err, errJoin) {
			return f.join(ctx, f.journalIdentity())
		}
		if err != nil {
			return journal.Identity{}, err
		}
		if id := f.journalIdentity(); id.Founded {
			return id, nil // a peer has formed the group
		}
		// A proposal that was made stands, also once all peers are there: one may
		// have taken part already.
		if len(f.journalIdentity().ProposedMembers) > 0 || f.mayForm(missing) {
			if id, done, err := f.propose(ctx, missing); done || err != nil {
				return id, err
			}
		}
		if f.waits(missing) && !sleep(ctx, foundPause) {
			return journal.Identity{}, ctx.Err()
		}
	}
	return f.conclude()
}

func (f *founding) waits(missing map[string]string) bool {
	return len(missing) > 0 || len(f.journalIdentity().ProposedMembers) > 0
}

// askMissing asks the missing peers, and strikes those off that have bound this
// keeper's ID.
func (f *founding) askMissing(ctx context.Context, missing map[string]string) error {
	for name, address := range missing {
		ok, err := f.askPeer(ctx, name, address)
		if err != nil {
			return err
		}
		if ok {
			delete(missing, name)
		}
	}
	return nil
}

func (f *founding) askPeer(ctx context.Context, name, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := f.dial(ctx, address)
	if err != nil {
		f.log.Debug("founding: peer cannot be reached", "peer", name, "error", err)
		return false, nil
	}
	defer conn.Close()
	mine := f.journalIdentity()
	var theirs foundResult
	if err := conn.Call(ctx, message.MethodFoundGroup, foundParams{Name: mine.Name, ID: mine.ID}, &theirs); err != nil {
		f.log.Debug("founding: peer is not ready", "peer", name, "error", err)
		return false, nil
	}
	if f.settings.AutoMembers && theirs.Founded && theirs.Bound != mine.ID {
		return false, errJoin
	}
	if theirs.Bound != mine.ID {
		return false, &IdentityConflictError{Peer: name, Name: mine.Name}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.journal.Identity()
	if id.FoundingPeerIDs[name] == "" {
		return true, f.bind(id, name, theirs.ID)
	}
	if id.FoundingPeerIDs[name] != theirs.ID {
		return false, &IdentityConflictError{Peer: mine.Name, Name: name}
	}
	return true, nil
}

func (f *founding) journalIdentity() journal.Identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.journal.Identity()
}

// conclude makes the founding members durable.
func (f *founding) conclude() (journal.Identity, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.journal.Identity()
	if id.Founded {
		return id, nil
	}
	for _, p := range f.settings.PeerList() {
		id.FoundingMembers = append(id.FoundingMembers, quorum.Member{ID: id.FoundingPeerIDs[p.Name], Name: p.Name, Address: p.Address, Voter: true})
	}
	slices.SortFunc(id.FoundingMembers, func(a, b quorum.Member) int { return cmp.Compare(a.Name, b.Name) })
	id.Founded = true
	if err := f.journal.SetIdentity(id); err != nil {
		return id, fmt.Errorf("save the identity: %w", err)
	}
	f.log.Info("group founded", "members", len(id.FoundingMembers), "id", id.ID)
	return id, nil
}

// join asks the group to take this keeper as a replacement. The leader then
// sends it the log; it votes only once it holds all of it.
func (f *founding) join(ctx context.Context, id journal.Identity) (journal.Identity, error) {
	for {
		if members, ok := f.askAll(ctx, id, nil); ok {
			f.log.Info("joined as a learner", "id", id.ID, "members", len(members))
			id.FoundingMembers = members
			return id, nil
		}
		if !sleep(ctx, foundPause) {
			return id, ctx.Err()
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
