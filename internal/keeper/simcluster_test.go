package keeper

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
)

func newSimCluster(t require.TestingT, seed uint64) *simCluster {
	cluster := &simCluster{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), clock: clock.MockClock{Time: time.Unix(1e9, 0)},
		cores: map[string]*core{}, disks: map[string]*journal.MockDisk{}, partitioned: map[string]bool{},
		names: []string{"k1", "k2", "k3"}, routers: map[string]*dispatch.Scheduler{}, routerNames: map[*rpc.Conn]string{},
		acceptedDigests: map[uint64]string{}, highestNumbers: map[string]uint64{},
	}
	var members []quorum.Member
	for _, name := range cluster.names {
		members = append(members, quorum.Member{ID: name + "-0", Name: name, Voter: true})
	}
	for i, name := range cluster.names {
		cluster.disks[name] = &journal.MockDisk{Seed: seed + uint64(i)}
		cluster.startKeeper(name, &journal.Identity{Name: name, ID: name + "-0", Founded: true, FoundingMembers: members})
	}
	for _, name := range []string{"r1", "r2"} {
		cluster.startRouter(name)
	}
	return cluster
}

// startKeeper starts a keeper from its disk. If identity is not nil, it is written to the disk
// first.
func (cluster *simCluster) startKeeper(name string, identity *journal.Identity) {
	wal := &journal.Journal{Disk: cluster.disks[name]}
	_, err := wal.Open()
	require.NoError(cluster.t, err)
	if identity != nil {
		require.NoError(cluster.t, wal.SetIdentity(*identity))
	}
	c := newCore(&cluster.clock, hclog.NewNullLogger(), wal, &simTransport{cluster})
	require.NoError(cluster.t, c.start(wal.Identity()))
	cluster.cores[name] = c
}

func (cluster *simCluster) startRouter(name string) {
	cluster.routers[name] = &dispatch.Scheduler{Name: name, Zone: "z", Incarnation: uint64(cluster.clock.Now().UnixNano())}
	cluster.highestNumbers[name] = 0
	conn := &rpc.Conn{}
	cluster.routerNames[conn] = name
	cluster.routerConns = append(cluster.routerConns, conn)
}

// simTransport is the fake network.
type simTransport struct{ cluster *simCluster }

func (t *simTransport) send(msg quorum.Message) {
	if !t.cluster.lossy || t.cluster.random.IntN(5) > 0 {
		t.cluster.inFlight = append(t.cluster.inFlight, msg)
	}
}

func (t *simTransport) sendGrant(conn *rpc.Conn, grant message.Grant) {
	name := t.cluster.routerNames[conn]
	if t.cluster.partitioned[name] {
		return
	}
	scheduler := t.cluster.routers[name]
	scheduler.HandleGrant(t.cluster.clock.Now(), grant)
	require.GreaterOrEqual(t.cluster.t, scheduler.ConfigNumber(), t.cluster.highestNumbers[name], "a router returned to an older configuration")
	t.cluster.highestNumbers[name] = scheduler.ConfigNumber()
}

func (t *simTransport) setMembers(string, []quorum.Member) {}

func (cluster *simCluster) coreByID(id string) (string, *core) {
	for _, name := range cluster.names {
		if c := cluster.cores[name]; c != nil && c.node.ID == id {
			return name, c
		}
	}
	return "", nil
}

// run advances the clock by span.
func (cluster *simCluster) run(span time.Duration) {
	const step = 20 * time.Millisecond
	for end := cluster.clock.Time.Add(span); cluster.clock.Time.Before(end); cluster.clock.Time = cluster.clock.Time.Add(step) {
		for _, name := range cluster.names {
			cluster.runCore(name)
		}
		cluster.deliverMessages()
		cluster.tickRouters()
	}
}

func (cluster *simCluster) runCore(name string) {
	if c := cluster.cores[name]; c != nil && c.runOnce() != nil {
		cluster.cores[name] = nil // a keeper whose disk fails stops
	}
}

func (cluster *simCluster) deliverMessages() {
	for range 3 {
		messages := cluster.inFlight
		cluster.inFlight = nil
		for _, msg := range messages {
			from, _ := cluster.coreByID(msg.From)
			to, c := cluster.coreByID(msg.To)
			if c == nil || cluster.partitioned[from] || cluster.partitioned[to] {
				continue
			}
			c.node.Step(cluster.clock.Now(), msg)
			cluster.runCore(to)
		}
	}
}

func (cluster *simCluster) tickRouters() {
	for _, conn := range cluster.routerConns {
		name := cluster.routerNames[conn]
		scheduler := cluster.routers[name]
		scheduler.Tick(cluster.clock.Now())
		for _, action := range scheduler.TakeActions() {
			if send, ok := action.(dispatch.SendReport); ok && !cluster.partitioned[name] {
				cluster.deliverReport(conn, send.Report)
			}
		}
	}
}

func (cluster *simCluster) deliverReport(conn *rpc.Conn, report message.Report) {
	for _, name := range cluster.names {
		c := cluster.cores[name]
		if c == nil || cluster.partitioned[name] || c.divider == nil || !c.node.IsActiveLeader(cluster.clock.Now()) {
			continue
		}
		c.routers[routerKey{report.Router, report.Incarnation}] = conn
		c.divider.HandleReport(cluster.clock.Now(), report)
		cluster.runCore(name)
	}
}

// apply acts as an operator who sends a configuration to one keeper and may get no response.
func (cluster *simCluster) apply(name string, number uint64, share float64) {
	c := cluster.cores[name]
	if c == nil {
		return
	}
	config := fleet.Config{Number: number, Accounts: []fleet.Account{{Name: "a", Share: share}}}
	c.submitConfig(cluster.clock.Now(), config, "op", func(result message.ApplyResult, err error) {
		if err != nil || result.Conflict {
			return
		}
		require.Equal(cluster.t, config.Digest(), result.Digest)
		if previous, ok := cluster.acceptedDigests[number]; ok {
			require.Equal(cluster.t, previous, result.Digest, "two configurations accepted under number %d", number)
		}
		cluster.acceptedDigests[number] = result.Digest
		cluster.newestAccepted = max(cluster.newestAccepted, number)
	})
	cluster.runCore(name)
}

// checkReads checks the state of every keeper that would answer a read now.
func (cluster *simCluster) checkReads() {
	leaders := 0
	for _, name := range cluster.names {
		c := cluster.cores[name]
		if c == nil || !c.node.IsActiveLeader(cluster.clock.Now()) {
			continue
		}
		leaders++
		require.GreaterOrEqual(cluster.t, c.store.ConfigNumber(), cluster.newestAccepted, "a reader at %s sees an older configuration", name)
		if wantDigest, ok := cluster.acceptedDigests[c.store.ConfigNumber()]; ok {
			require.Equal(cluster.t, wantDigest, c.store.ConfigDigest())
		}
	}
	require.LessOrEqual(cluster.t, leaders, 1)
}

// healthyLeader returns the leader and whether all three keepers are running, are voters and have
// every committed entry.
func (cluster *simCluster) healthyLeader() (*core, bool) {
	for _, name := range cluster.names {
		c := cluster.cores[name]
		if c == nil || !c.node.IsActiveLeader(cluster.clock.Now()) {
			continue
		}
		if c.node.MembershipChangePending() {
			return c, false
		}
		for _, member := range c.node.Members() {
			if cluster.cores[member.Name] == nil || cluster.cores[member.Name].node.ID != member.ID {
				return c, false
			}
			if !member.Voter || c.node.MatchIndex(member.ID) < c.node.CommitIndex() {
				return c, false
			}
		}
		return c, len(c.node.Members()) == 3
	}
	return nil, false
}

// replaceDisk replaces a keeper by one with an empty disk, ends partitions and message loss, and
// waits until the group is healthy again. It does nothing unless the group is healthy before.
func (cluster *simCluster) replaceDisk(name string) {
	if _, ok := cluster.healthyLeader(); !ok {
		return
	}
	cluster.replacementCount++
	identity := journal.Identity{Name: name, ID: fmt.Sprintf("%s-%d", name, cluster.replacementCount)}
	cluster.disks[name] = &journal.MockDisk{Seed: uint64(cluster.replacementCount)}
	cluster.startKeeper(name, &identity)
	clear(cluster.partitioned)
	cluster.lossy = false
	for range 400 {
		cluster.run(20 * time.Millisecond)
		for _, other := range cluster.names {
			if c := cluster.cores[other]; c != nil && other != name {
				// A keeper refuses while it does not lead or another change is in progress.
				_ = c.admitMember(cluster.clock.Now(), joinParams{Name: name, ID: identity.ID})
			}
		}
		if _, ok := cluster.healthyLeader(); ok {
			return
		}
	}
	require.Fail(cluster.t, "the group did not become healthy in time")
}

func (cluster *simCluster) crashAndRestart(name string) {
	cluster.disks[name].Crash()
	cluster.startKeeper(name, nil)
}

// newHealthyCluster returns a healthy group of three keepers and its leader.
func newHealthyCluster(t require.TestingT, seed uint64) (*simCluster, *core) {
	cluster := newSimCluster(t, seed)
	cluster.run(3 * time.Second)
	c, ok := cluster.healthyLeader()
	require.True(t, ok)
	return cluster, c
}
