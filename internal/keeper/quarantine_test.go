package keeper

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/statestore"
)

const testFingerprint quarantine.Fingerprint = "alike"

// sendQuarantineReport sends a router's report of terminations and permit requests to the leader,
// and returns the restrictions in the response.
func (cluster *autoCluster) sendQuarantineReport(report quarantine.Report) []quarantine.Restriction {
	for range 300 {
		if leader := cluster.leader(); leader != nil {
			response := leader.core.renew(cluster.clock.Time, message.RenewRequest{Router: "r", Incarnation: 1, Quarantine: &report})
			require.NotNil(cluster.t, response.Restrictions)
			cluster.run(5 * simStep) // until the report is in the log
			return response.Restrictions.Restrictions
		}
		cluster.run(simStep)
	}
	require.Fail(cluster.t, "no keeper leads", cluster.describe())
	return nil
}

// injectOutage restarts the leader, cuts the power of all keepers, or loses one disk while all
// other keepers lose power.
func (cluster *autoCluster) injectOutage() {
	victim := cluster.vms[cluster.random.IntN(len(cluster.vms))]
	switch cluster.random.IntN(3) {
	case 0:
		if leader := cluster.leader(); leader != nil {
			victim = leader
		}
		cluster.restart(victim, true)
		return
	case 1:
		victim = nil
	}
	for _, vm := range cluster.vms {
		if vm != victim {
			cluster.restart(vm, true)
		}
	}
	if victim != nil {
		cluster.replaceDisk(victim)
	}
}

// Guards against a quarantined request that terminates more targets than allowed after keepers
// fail, because only one keeper knew of a restriction or a permit. Three targets terminate during
// the request, and permits are requested throughout the outages.
func TestQuarantineSurvivesKeeperFailures(t *testing.T) {
	const maxTrials = 2
	for seed := range uint64(40) {
		cluster := newAutoCluster(t, seed, 5)
		require.True(t, cluster.waitHealthy())
		for _, id := range []string{"a", "b", "c"} {
			cluster.sendQuarantineReport(quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: testFingerprint, Account: "x", Target: fleet.Incarnation{ID: id}}}})
		}
		permitIDs := map[uint64]bool{}
		for range 12 {
			cluster.run(time.Duration(cluster.random.IntN(400)) * time.Millisecond)
			cluster.injectOutage()
			require.True(t, cluster.waitHealthy(), "seed %d", seed)
			cluster.sendQuarantineReport(quarantine.Report{PermitRequests: []quarantine.Fingerprint{testFingerprint}})
			restrictions := cluster.sendQuarantineReport(quarantine.Report{})
			require.Len(t, restrictions, 1, "seed %d: the restriction is lost", seed)
			require.GreaterOrEqual(t, restrictions[0].TerminationCount, 3)
			if restrictions[0].PermitID > 0 {
				permitIDs[restrictions[0].PermitID] = true
			}
			cluster.clock.Time = cluster.clock.Time.Add(20 * time.Second) // so that trials fall due
			require.True(t, cluster.waitHealthy(), "seed %d", seed)
		}
		require.LessOrEqual(t, len(permitIDs), maxTrials, "seed %d", seed)
		require.NotEmpty(t, permitIDs, "seed %d", seed)
	}
}

// Guards against the loss of an acknowledged configuration that was durable on only one disk.
// That disk is lost right after the acknowledgment, while all other keepers lose power.
func TestAcknowledgedConfigSurvivesDiskAndPowerLoss(t *testing.T) {
	for seed := range uint64(100) {
		cluster := newAutoCluster(t, seed, 5)
		require.True(t, cluster.waitHealthy())
		for range 3 {
			cluster.putConfig()
			for range 200 {
				if cluster.newestAcked == cluster.newestSent {
					break
				}
				cluster.run(simStep)
			}
			acked := cluster.newestAcked
			cluster.run(time.Duration(cluster.random.IntN(40)) * simStep)
			victim := cluster.vms[cluster.random.IntN(len(cluster.vms))]
			for _, vm := range cluster.vms {
				if vm != victim {
					cluster.restart(vm, true)
				}
			}
			cluster.replaceDisk(victim)
			require.True(t, cluster.waitHealthy(), "seed %d", seed)
			require.GreaterOrEqual(t, cluster.leader().core.store.RouteConfig().Number, acked, "seed %d", seed)
		}
	}
}

// Guards against a termination that is never counted because its report arrives while an entry of
// the log is committed but not yet applied.
func TestTerminationReportedBeforeApplyIsCounted(t *testing.T) {
	cluster := newSimCluster(t, 5)
	cluster.run(3 * time.Second)
	c, ok := cluster.healthyLeader()
	require.True(t, ok)
	key := routerKey{"told", 1}
	conn := &rpc.Conn{}
	cluster.routerNames[conn], cluster.partitioned[key.name] = key.name, true // its grants are not delivered
	handleReport := func(report quarantine.Report) {
		data, err := json.Marshal(message.Report{Router: key.name, Incarnation: key.incarnation, Full: true, Quarantine: &report})
		require.NoError(t, err)
		c.handleReport(conn, data)
		(<-c.tasks)(cluster.clock.Now())
	}
	terminations := func(id string) []quarantine.Termination {
		return []quarantine.Termination{{Fingerprint: testFingerprint, Account: "x", Target: fleet.Incarnation{ID: id}, IDReused: true}}
	}
	handleReport(quarantine.Report{Terminations: terminations("a")})
	require.NoError(t, c.runOnce())
	require.Equal(t, 1, c.coordinator.TerminationCount(testFingerprint))

	c.submit(cluster.clock.Now(), statestore.Command{}, func(statestore.Result, error) {})
	require.NoError(t, c.runOnce())
	cluster.commitWithoutApplying(c)
	require.False(t, c.node.AllApplied())
	handleReport(quarantine.Report{Terminations: terminations("b")})
	require.NoError(t, c.runOnce())
	require.Equal(t, 2, c.coordinator.TerminationCount(testFingerprint), "the next grant acknowledges the report")
}

// commitWithoutApplying delivers the followers' responses to the leader. The leader does not
// apply the entries that they commit.
func (cluster *simCluster) commitWithoutApplying(c *core) {
	for range 3 {
		messages := cluster.inFlight
		cluster.inFlight = nil
		for _, msg := range messages {
			if _, to := cluster.coreByID(msg.To); to == c {
				c.node.Step(cluster.clock.Now(), msg)
			} else if to != nil {
				to.node.Step(cluster.clock.Now(), msg)
				require.NoError(cluster.t, to.runOnce())
			}
		}
	}
}

// Guards against a router that counts its report as acknowledged although the leader dropped it,
// because the renewal arrives while an entry of the log is committed but not yet applied.
func TestRenewalBeforeApplyIsNotAnsweredAsLeader(t *testing.T) {
	cluster := newSimCluster(t, 5)
	cluster.run(3 * time.Second)
	c, ok := cluster.healthyLeader()
	require.True(t, ok)
	termination := quarantine.Termination{Fingerprint: testFingerprint, Account: "x", Target: fleet.Incarnation{ID: "a"}}
	request := message.RenewRequest{Router: "r", Incarnation: 1, Quarantine: &quarantine.Report{Terminations: []quarantine.Termination{termination}}}
	c.submit(cluster.clock.Now(), statestore.Command{}, func(statestore.Result, error) {})
	require.NoError(t, c.runOnce())
	cluster.commitWithoutApplying(c)
	require.False(t, c.node.AllApplied())
	response := c.renew(cluster.clock.Now(), request)
	require.False(t, response.Leads)
	require.Nil(t, response.Restrictions)
	require.Nil(t, response.EvacuatedZones)
	require.Zero(t, response.WarmupLease)
	require.NoError(t, c.runOnce())
	response = c.renew(cluster.clock.Now(), request)
	require.True(t, response.Leads)
	require.NotNil(t, response.Restrictions)
	require.Equal(t, 1, c.coordinator.TerminationCount(testFingerprint))
}
