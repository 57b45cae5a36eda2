package keeper

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/statestore"
)

// claimOnce claims a key at a leader and returns the result.
func (cluster *simCluster) claimOnce(c *core, owner string) (result message.ClaimResult) {
	answered := false
	claim := message.Claim{Key: statestore.HashKey("account", "key"), Owner: owner, Attempt: 1}
	c.pendingClaims = append(c.pendingClaims, claimCall{claims: []message.Claim{claim}, done: func(results []message.ClaimResult, err error) {
		require.NoError(cluster.t, err)
		answered, result = true, c.withUnknownFates(results)[0]
	}})
	for steps := 0; !answered; steps++ {
		require.Less(cluster.t, steps, 50, "the claim is not answered")
		cluster.run(20 * time.Millisecond)
	}
	return result
}

// Guards against a request that runs and is reported as one whose outcome nobody will know, by a
// new leader that has no report of its router yet.
func TestNewLeaderKeepsClaimOfUnreportedRouterRunning(t *testing.T) {
	for seed := range uint64(20) {
		cluster, oldLeader := newHealthyCluster(t, seed)
		owner := message.ClaimOwner("r1", cluster.routers["r1"].Incarnation)
		require.True(t, cluster.claimOnce(oldLeader, owner).Granted)
		require.Equal(t, message.RunStateRunning, cluster.claimOnce(oldLeader, "other").State)

		cluster.partitioned["r1"] = true // it keeps its lease for a while
		oldName, _ := cluster.coreByID(oldLeader.node.ID)
		cluster.crashAndRestart(oldName)
		var leader *core
		for range 500 {
			cluster.run(20 * time.Millisecond)
			if c, ok := cluster.healthyLeader(); ok && c != oldLeader {
				leader = c
				break
			}
		}
		require.NotNil(t, leader, "seed %d", seed)
		require.Equal(t, message.RunStateRunning, cluster.claimOnce(leader, "other").State, "seed %d: its router may have a lease", seed)
		cluster.run(3 * time.Second)
		require.Equal(t, message.RunStateUnknown, cluster.claimOnce(leader, "other").State, "seed %d: its lease has expired", seed)
	}
}

// Guards against final refusals by a leader that has not applied all entries of the log.
func TestOrdersBeforeApplyAreNotRefusedForGood(t *testing.T) {
	cluster, c := newHealthyCluster(t, 5)
	c.submit(cluster.clock.Now(), statestore.Command{}, func(statestore.Result, error) {})
	require.NoError(t, c.runOnce())
	cluster.commitWithoutApplying(c)
	require.False(t, c.node.AllApplied())
	ctx := context.Background()
	for name, order := range map[string]func() error{
		"evacuate": func() error {
			_, err := c.evacuate(ctx, message.EvacuateRequest{Zone: "nowhere"})
			return err
		},
		"lift": func() error { return c.liftQuarantine(ctx, message.LiftRequest{Fingerprint: testFingerprint}) },
		"claim": func() error {
			_, err := c.claim(ctx, message.ClaimRequest{Claims: []message.Claim{{Key: "key", Owner: "owner"}}})
			return err
		},
		"apply": func() error {
			_, err := c.applyConfig(ctx, message.ApplyRequest{Config: fleet.Config{Number: 1}.JSON()})
			return err
		},
		"show": func() error {
			_, err := c.showConfig(ctx)
			return err
		},
		"routes": func() error {
			_, err := c.readRoutes(ctx)
			return err
		},
	} {
		errs := make(chan error, 1)
		go func() { errs <- order() }()
		(<-c.tasks)(cluster.clock.Now())
		var refusal *fleet.Error
		require.ErrorAs(t, <-errs, &refusal, name)
		require.Equal(t, fleet.KindNotLeader, refusal.Kind, name)
	}
}
