// Package keeperclient is a router's client of the keepers. It renews the lease on the API keys
// of accounts and receives the configuration, the targets and the addresses of the keepers. While
// no keeper leads, it continues with the last known state.
package keeperclient

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/pace"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/quota"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/targetlist"
	"laburnumfall/internal/warmup"
)

const (
	// hedgeDelay is how long a keeper may take to answer before another one is asked as well. A
	// later answer still counts until the round ends after roundTimeout, because a large
	// configuration takes longer and this router may be overloaded.
	hedgeDelay   = 400 * time.Millisecond
	roundTimeout = 2 * time.Second
	// maxRoundRequests limits the requests of one round.
	maxRoundRequests = 12
	// While no leader is known, searchInterval is the pause between two rounds and between the
	// requests of a round. searchRoundTimeout ends such a round early, because a keeper that left
	// a request unanswered may be running again.
	searchInterval     = 100 * time.Millisecond
	searchRoundTimeout = 2 * hedgeDelay
	// minRoundPause is the minimum pause between two rounds.
	minRoundPause = 30 * time.Millisecond
	// maxListAge is the age of the list of targets from which a router reads the platform's list
	// itself. The leader reads it every 600 ms.
	maxListAge = 1800 * time.Millisecond
	// ownReadShare is the share of the platform's read rate that all routers without a leader may
	// use together. The rest is for the leader and for other users.
	ownReadShare = 0.5
	// minOwnReadPeriod is the shortest time between two reads of the list by one router.
	minOwnReadPeriod = 800 * time.Millisecond
	listReadTimeout  = time.Second
)

// A State is what a router last received from the keepers. It is immutable.
type State struct {
	Table *fleet.RoutingTable
	// KeyLeaseExpiry is when the API keys of accounts expire unless the lease is renewed.
	KeyLeaseExpiry time.Time
	// ConfigLeaseExpiry is from when a newer configuration may be in force elsewhere unless the
	// lease is renewed; zero if that is KeyLeaseExpiry.
	ConfigLeaseExpiry time.Time
	Routers           int
	// Evacuated lists the availability zones whose targets get no new work.
	Evacuated fleet.EvacuatedZones
}

// A TargetList reads the platform's list of targets.
type TargetList interface {
	Read(ctx context.Context) (fleet.TargetListing, error)
	// Address returns where the list is read. It is logged with damaged entries.
	Address() string
}

// A Client renews a router's state from the keepers. Set the exported fields, then call Run.
type Client struct {
	Name        string
	Zone        fleet.Zone
	Incarnation uint64
	Clock       clock.Clock
	Log         hclog.Logger
	// Secret authenticates this router to the keepers.
	Secret rpc.Secret
	// KeyLease is how long API keys are valid after the sending of a request that a leader
	// answers.
	KeyLease time.Duration
	// ConfigLease is how long the configuration then counts as the newest one; 0 for as long as
	// KeyLease.
	ConfigLease time.Duration
	// Decode parses a configuration.
	Decode func(text []byte) (*fleet.RoutingTable, error)
	// List is the platform's list, read while no keeper leads. ReadRate is how many reads per
	// second the platform accepts from all nodes together.
	List     TargetList
	ReadRate float64
	// OnChange is called after each change of the configuration, the evacuated zones or the
	// targets.
	OnChange func(state State, targets []fleet.Instance)
	// Load returns the demand and the backlog that this router reports to the leader. OnFleetLoad
	// receives the fleet's demand and the backlog of all other routers from the leader's
	// response.
	Load        func(now time.Time) ([]message.Demand, []message.Backlog)
	OnFleetLoad func(now time.Time, demand []message.Demand, backlog []message.Backlog)
	// PaceNews returns what targets have stated to this router as far as other routers do not know
	// it, and OnPaces receives what they have stated to any router. Both may be nil.
	PaceNews func(now time.Time) []message.TargetPace
	OnPaces  func(now time.Time, statements map[fleet.Incarnation]pace.Statement)
	// OnColdTargets receives the times until which targets are cold, before OnChange is called
	// for those targets. OnWarmupLease receives this router's share of the requests that cold
	// targets get, leased from sentAt on. WarmupLease returns the lease while it is valid.
	OnColdTargets func(coldUntil map[fleet.Incarnation]time.Time)
	OnWarmupLease func(sentAt time.Time, lease warmup.Lease)
	WarmupLease   func(now time.Time) warmup.Lease
	// PeerAddress is where this router listens for other routers, or "" if it does not. OnPeers then
	// receives the addresses of all routers by availability zone.
	PeerAddress string
	OnPeers     func(peers map[fleet.Zone][]string)
	// KeptReport returns what this router has learned of the parts of prompts that targets keep, or nil
	// if it does not track it. OnKept receives what others have learned.
	KeptReport func(now time.Time) *message.KeptReport
	OnKept     func(now time.Time, term uint64, update message.KeptUpdate)
	// QuarantineReport returns the requests under which targets terminated. OnRestrictions
	// receives the requests to hold back, decided by the leader of the term in response to the
	// request sent at sentAt. A value in PollNow starts the next round early.
	QuarantineReport func(now time.Time) quarantine.Report
	OnRestrictions   func(now, sentAt time.Time, term uint64, restrictions quarantine.RestrictionUpdate)
	PollNow          <-chan struct{}

	rpcCounter     rpc.Counter
	seeds          atomic.Pointer[[]string]
	state          atomic.Pointer[State]
	damagedEntries atomic.Uint64
	knownTargets   targetlist.List
	conns          map[string]*rpc.Conn
	rotation       int // counts the candidates tried in nextCandidate
	keepers        []string
	// loadAccounts are the accounts of the fleet's load, as a leader last named them.
	loadAccounts   []string
	keepersDigest  uint32    // digest of keepers as a leader sent them; 0 if others were added
	accountsDigest uint32    // digest of loadAccounts; 0 if there is none
	peersDigest    uint32    // digest of the routers that OnPeers received; 0 if there are none
	packedConn     *rpc.Conn // connection to a keeper that accepts packed requests
	leader         string    // "" while no leader is known
	likelyLeader   string    // the keeper that is believed to lead; "" if none
	renewedAt      time.Time
	listTerm       uint64
	listRevision   uint64
	sentTargets    sentTargetList
	damageNotes    targetlist.DamageLog
	lastOwnRead    time.Time // when this router last read the platform's list itself
	stalls         stallDetector
}

// State returns the current state.
func (c *Client) State() State {
	if state := c.state.Load(); state != nil {
		return *state
	}
	return State{}
}

// hasPool reports whether the configuration in force has a pool. It returns true while there is
// no configuration.
func (c *Client) hasPool(pool string) bool {
	table := c.State().Table
	if table == nil {
		return true
	}
	_, ok := table.Pools[pool]
	return ok
}

// DamagedEntries returns how many damaged entries this router has found in its own reads of the
// platform's list.
func (c *Client) DamagedEntries() uint64 {
	return c.damagedEntries.Load()
}

// SetSeeds sets the addresses of the keepers that the settings name. It may be called at any
// time; keepers learned from other keepers stay known.
func (c *Client) SetSeeds(addresses []string) {
	c.seeds.Store(&addresses)
}

func (c *Client) seedAddresses() []string {
	if seeds := c.seeds.Load(); seeds != nil {
		return *seeds
	}
	return nil
}

// Run renews the state until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.conns = make(map[string]*rpc.Conn)
	if c.List != nil {
		c.damageNotes.Source = c.List.Address()
	}
	c.damageNotes.Log, c.damageNotes.Count = c.Log, &c.damagedEntries
	c.knownTargets.IsRouted = c.hasPool
	defer func() {
		for _, conn := range c.conns {
			conn.Close()
		}
	}()
	for ctx.Err() == nil {
		startedAt := c.Clock.Now()
		c.renew(ctx)
		c.readPlatformList(ctx)
		pause := quota.ReportPeriod(c.State().Routers)
		if c.leader == "" {
			pause = searchInterval
		}
		if !c.StateIsFresh(c.Clock.Now()) {
			pause = 0
		}
		c.waitForNextRound(ctx, startedAt, pause)
	}
	return nil
}

// waitForNextRound waits until pause after startedAt, or until a value arrives in PollNow, but at
// least for minRoundPause.
func (c *Client) waitForNextRound(ctx context.Context, startedAt time.Time, pause time.Duration) {
	nextRound := startedAt.Add(pause)
	c.noteProgress(max(pause, minRoundPause))
	sleep(ctx, minRoundPause)
	timer := time.NewTimer(max(nextRound.Sub(c.Clock.Now()), 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.PollNow:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
