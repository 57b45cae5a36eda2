package keeper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/statestore"
)

// An autoCluster is a simulated group of keepers that manage their membership automatically, and
// of routers that renew their lease on keys. Disks, network and clock are fakes, and the keepers
// run the real code. The routers follow the same rules as package keeperclient.
type autoCluster struct {
	t                require.TestingT
	random           *rand.Rand
	clock            clock.MockClock
	vms              []*keeperVM
	replacementCount int
	inFlight         []delayedMessage
	lossy            bool

	routers  []*leaseRouter
	renewals []renewal

	newestSent  uint64 // highest configuration number sent
	newestAcked uint64 // highest configuration number acknowledged
	ackedAt     time.Time
}

// A keeperVM is a VM that runs a keeper. It outlives the keeper's processes and disks.
type keeperVM struct {
	name        string
	core        *core // nil while the process is down
	disk        *journal.MockDisk
	frozenUntil time.Time
	partition   int  // only VMs with the same value reach each other
	lost        bool // permanently
	joined      bool
	joinAskedAt time.Time
}

// A delayedMessage is a quorum message in flight.
type delayedMessage struct {
	arrivesAt time.Time
	msg       quorum.Message
}

// A leaseRouter is the part of a router that holds the lease on keys.
type leaseRouter struct {
	name         string
	configNumber uint64
	leaseUntil   time.Time
	nextRenewal  time.Time
	partitioned  bool
}

// A renewal is a router's request in flight to a keeper, or the response in flight back.
type renewal struct {
	router    *leaseRouter
	vm        *keeperVM
	sentAt    time.Time
	arrivesAt time.Time // arrival of the request, or of the response once there is one
	response  *message.RenewResponse
}

const (
	simStep       = 10 * time.Millisecond
	keyLease      = 4500 * time.Millisecond
	renewInterval = 250 * time.Millisecond
)

type autoTransport struct{ cluster *autoCluster }

func (t *autoTransport) send(msg quorum.Message) {
	if t.cluster.lossy && t.cluster.random.IntN(6) == 0 {
		return
	}
	t.cluster.inFlight = append(t.cluster.inFlight, delayedMessage{t.cluster.clock.Time.Add(time.Duration(t.cluster.random.IntN(3)) * simStep), msg})
}

func (t *autoTransport) sendGrant(*rpc.Conn, message.Grant) {}

func (t *autoTransport) setMembers(string, []quorum.Member) {}

func newAutoCluster(t require.TestingT, seed uint64, size int) *autoCluster {
	cluster := &autoCluster{t: t, random: rand.New(rand.NewPCG(seed, 11)), clock: clock.MockClock{Time: time.Unix(1e9, 0)}}
	var members []quorum.Member
	for i := range size {
		vm := cluster.newVM()
		members = append(members, quorum.Member{ID: vm.name + "-0", Name: vm.name, Address: vm.name, Voter: i < 3})
	}
	for i, vm := range cluster.vms {
		cluster.startKeeper(vm, &journal.Identity{Name: vm.name, ID: vm.name + "-0", Founded: true, FoundingMembers: members})
		vm.joined = i < 3
	}
	for i := range 3 {
		cluster.routers = append(cluster.routers, &leaseRouter{name: fmt.Sprint("r", i)})
	}
	return cluster
}

func (cluster *autoCluster) newVM() *keeperVM {
	vm := &keeperVM{name: fmt.Sprint("k", len(cluster.vms)), disk: &journal.MockDisk{Seed: uint64(len(cluster.vms))}}
	cluster.vms = append(cluster.vms, vm)
	return vm
}

func (cluster *autoCluster) startKeeper(vm *keeperVM, identity *journal.Identity) {
	wal := &journal.Journal{Disk: vm.disk}
	_, err := wal.Open()
	require.NoError(cluster.t, err)
	if identity != nil {
		require.NoError(cluster.t, wal.SetIdentity(*identity))
	}
	c := newCore(&cluster.clock, hclog.NewNullLogger(), wal, &autoTransport{cluster})
	c.autoMembers = true
	require.NoError(cluster.t, c.start(wal.Identity()))
	vm.core, vm.frozenUntil = c, time.Time{}
}

func (cluster *autoCluster) run(span time.Duration) {
	for end := cluster.clock.Time.Add(span); cluster.clock.Time.Before(end); cluster.clock.Time = cluster.clock.Time.Add(simStep) {
		for _, vm := range cluster.vms {
			cluster.runKeeper(vm)
		}
		cluster.deliverMessages()
		cluster.exchangeRenewals()
		cluster.checkInvariants()
	}
}

func (vm *keeperVM) isRunning(now time.Time) bool {
	return vm.core != nil && !now.Before(vm.frozenUntil)
}

func (cluster *autoCluster) runKeeper(vm *keeperVM) {
	now := cluster.clock.Time
	if !vm.isRunning(now) {
		return
	}
	if vm.core.runOnce() != nil {
		vm.core = nil // a keeper whose disk fails stops
		return
	}
	if now.Sub(vm.joinAskedAt) >= rejoinInterval && (!vm.joined || vm.core.needsRejoin(now)) {
		vm.joinAskedAt = now
		cluster.requestJoin(vm)
	}
}

// requestJoin asks every reachable keeper to admit a keeper until one does.
func (cluster *autoCluster) requestJoin(vm *keeperVM) {
	for _, other := range cluster.vms {
		if other == vm || !other.isRunning(cluster.clock.Time) || other.partition != vm.partition {
			continue
		}
		if other.core.admitMember(cluster.clock.Time, joinParams{Name: vm.name, ID: vm.core.node.ID, Address: vm.name}) == nil {
			vm.joined = true
			return
		}
	}
}

func (cluster *autoCluster) vmByID(id string) *keeperVM {
	for _, vm := range cluster.vms {
		if vm.core != nil && vm.core.node.ID == id {
			return vm
		}
	}
	return nil
}

func (cluster *autoCluster) deliverMessages() {
	var later []delayedMessage
	messages := cluster.inFlight
	cluster.inFlight = nil
	for _, delayed := range messages {
		to, from := cluster.vmByID(delayed.msg.To), cluster.vmByID(delayed.msg.From)
		switch {
		case to == nil || from == nil || to.partition != from.partition:
			// The message is lost.
		case delayed.arrivesAt.After(cluster.clock.Time) || !to.isRunning(cluster.clock.Time):
			later = append(later, delayed)
		default:
			to.core.node.Step(cluster.clock.Time, delayed.msg)
		}
	}
	cluster.inFlight = append(later, cluster.inFlight...)
}

// exchangeRenewals delivers the requests of the routers and the responses of the keepers.
func (cluster *autoCluster) exchangeRenewals() {
	now := cluster.clock.Time
	for _, router := range cluster.routers {
		if now.Before(router.nextRenewal) || router.partitioned {
			continue
		}
		router.nextRenewal = now.Add(renewInterval)
		for _, vm := range cluster.vms {
			delay := time.Duration(cluster.random.IntN(80)) * simStep
			cluster.renewals = append(cluster.renewals, renewal{router: router, vm: vm, sentAt: now, arrivesAt: now.Add(delay)})
		}
	}
	var later []renewal
	for _, renewal := range cluster.renewals {
		switch {
		case renewal.arrivesAt.After(now):
			later = append(later, renewal)
		case renewal.response != nil:
			renewal.router.handleResponse(renewal.sentAt, *renewal.response)
		case renewal.vm.isRunning(now):
			response := renewal.vm.core.renew(now, message.RenewRequest{Router: renewal.router.name, Number: renewal.router.configNumber})
			renewal.response, renewal.arrivesAt = &response, now.Add(time.Duration(cluster.random.IntN(80))*simStep)
			later = append(later, renewal)
		case renewal.vm.core != nil:
			later = append(later, renewal) // the keeper responds when it is no longer frozen
		}
	}
	cluster.renewals = later
}

// handleResponse follows the rules of package keeperclient.
func (r *leaseRouter) handleResponse(sentAt time.Time, response message.RenewResponse) {
	if !response.Leads {
		return
	}
	if response.Number > r.configNumber && response.PackedConfig != nil {
		r.configNumber = response.Number
	}
	if until := sentAt.Add(keyLease); r.configNumber == response.Number && until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
}

// putConfig proposes the next configuration at every keeper that leads, which is at most one.
func (cluster *autoCluster) putConfig() {
	cluster.newestSent++
	number := cluster.newestSent
	for _, vm := range cluster.vms {
		if !vm.isRunning(cluster.clock.Time) || !vm.core.isReadyLeader(cluster.clock.Time) {
			continue
		}
		c := vm.core
		command := statestore.Command{RouteConfig: &statestore.RouteConfig{Number: number, Text: fmt.Append(nil, number)}}
		c.submit(cluster.clock.Time, command, func(_ statestore.Result, err error) {
			if err == nil && number > cluster.newestAcked {
				cluster.newestAcked, cluster.ackedAt = number, cluster.clock.Time
			}
		})
		cluster.runKeeper(vm)
	}
}

// checkInvariants checks that at most one keeper leads, that the leader has every acknowledged
// configuration, and that no router keeps a lease on the keys of an older one for too long.
func (cluster *autoCluster) checkInvariants() {
	now := cluster.clock.Time
	leaders := 0
	for _, vm := range cluster.vms {
		if !vm.isRunning(now) || !vm.core.isReadyLeader(now) {
			continue
		}
		leaders++
		require.GreaterOrEqual(cluster.t, vm.core.store.RouteConfig().Number, cluster.newestAcked, "a reader at %s would see an older configuration", vm.name)
	}
	require.LessOrEqual(cluster.t, leaders, 1)
	for _, router := range cluster.routers {
		if router.configNumber < cluster.newestAcked {
			require.LessOrEqual(cluster.t, router.leaseUntil, cluster.ackedAt.Add(keyLease), "router %s has a lease on keys of an older configuration for too long", router.name)
		}
	}
}

func (cluster *autoCluster) leader() *keeperVM {
	for _, vm := range cluster.vms {
		if vm.isRunning(cluster.clock.Time) && vm.core.isReadyLeader(cluster.clock.Time) {
			return vm
		}
	}
	return nil
}

// isHealthy reports whether the members are exactly the VMs that are not lost, and all of them
// are voters with every committed entry.
func (cluster *autoCluster) isHealthy() bool {
	leader := cluster.leader()
	if leader == nil || leader.core.node.MembershipChangePending() {
		return false
	}
	liveCount := 0
	for _, vm := range cluster.vms {
		if vm.lost {
			continue
		}
		liveCount++
		if vm.core == nil {
			return false
		}
		isCaughtUpVoter := slices.ContainsFunc(leader.core.node.Members(), func(member quorum.Member) bool {
			return member.ID == vm.core.node.ID && member.Voter && leader.core.node.MatchIndex(member.ID) >= leader.core.node.CommitIndex()
		})
		if !isCaughtUpVoter {
			return false
		}
	}
	return liveCount == len(leader.core.node.Members())
}

// describe returns the state of the group for failure messages.
func (cluster *autoCluster) describe() string {
	text := fmt.Sprintf("newest acknowledged %d\n", cluster.newestAcked)
	for _, vm := range cluster.vms {
		text += fmt.Sprintf("%s partition %d lost %t joined %t", vm.name, vm.partition, vm.lost, vm.joined)
		if c := vm.core; c != nil {
			text += fmt.Sprintf(" id %s role %d term %d commit %d document %d members", c.node.ID, c.node.Role(), c.node.Term(), c.node.CommitIndex(), c.store.RouteConfig().Number)
			for _, member := range c.node.Members() {
				text += fmt.Sprintf(" %s/%t", member.ID, member.Voter)
			}
		}
		text += "\n"
	}
	return text
}
