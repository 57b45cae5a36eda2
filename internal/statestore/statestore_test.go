package statestore

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

var start = time.Unix(1e9, 0)

func (s *Store) claimOne(t require.TestingT, at time.Time, claim message.Claim) message.ClaimResult {
	result, err := s.ApplyCommand(Command{ProposedAt: at, Claims: []message.Claim{claim}}.Encode())
	require.NoError(t, err)
	return result.ClaimResults[0]
}

func (s *Store) settleOne(t require.TestingT, at time.Time, settlement message.Settlement) {
	_, err := s.ApplyCommand(Command{ProposedAt: at, Settlements: []message.Settlement{settlement}}.Encode())
	require.NoError(t, err)
}

// Guards against a claim that is granted after its release: a router that got no result releases its
// claim, and the release arrives before the delayed claim. The request would stay claimed, or run
// although its router has given it up.
func TestRefusesClaimThatArrivesAfterItsRelease(t *testing.T) {
	var store Store
	key := HashKey("a", "k")
	store.settleOne(t, start, message.Settlement{Key: key, Owner: "r1/1", Attempt: 1, State: message.RunStateNotRun})
	result := store.claimOne(t, start, message.Claim{Key: key, Owner: "r1/1", Attempt: 1})
	require.False(t, result.Granted)
	require.Equal(t, message.RunStateNotRun, result.State)
	require.True(t, store.claimOne(t, start, message.Claim{Key: key, Owner: "r2/1", Attempt: 1}).Granted)
}

func TestRepeatedClaimGetsSameResult(t *testing.T) {
	var store Store
	claim := message.Claim{Key: HashKey("a", "k"), Owner: "r1/1", Attempt: 1}
	require.True(t, store.claimOne(t, start, claim).Granted)
	require.True(t, store.claimOne(t, start, claim).Granted)
	otherAttempt := message.Claim{Key: claim.Key, Owner: "r1/1", Attempt: 2}
	require.Equal(t, message.RunStateRunning, store.claimOne(t, start, otherAttempt).State)
	store.settleOne(t, start, message.Settlement{Key: claim.Key, Owner: "r1/1", Attempt: 1, State: message.RunStateRan})
	require.Equal(t, message.RunStateRan, store.claimOne(t, start, claim).State)
	store.settleOne(t, start, message.Settlement{Key: claim.Key, Owner: "r1/1", Attempt: 1, State: message.RunStateNotRun})
	require.Equal(t, message.RunStateRan, store.claimOne(t, start, otherAttempt).State, "a request that ran stays so")
}

func TestClaimLimitAndRetention(t *testing.T) {
	store := Store{ClaimLimit: 3}
	claim := func(at time.Time, id int) message.ClaimResult {
		return store.claimOne(t, at, message.Claim{Key: HashKey("a", fmt.Sprint(id)), Owner: "r1/1", Attempt: uint64(id)})
	}
	for id := range 3 {
		require.True(t, claim(start, id+1).Granted)
	}
	require.True(t, claim(start.Add(time.Hour), 4).ClaimsFull)
	require.Equal(t, 3, store.ClaimCount())
	require.Equal(t, message.RunStateRunning, store.claimOne(t, start.Add(ClaimRetention), message.Claim{Key: HashKey("a", "1"), Owner: "x"}).State)
	late := start.Add(ClaimRetention + generationSpan)
	require.True(t, claim(late, 4).Granted)
	require.Equal(t, 1, store.ClaimCount())
}

// The store agrees with a reference model that keeps claims in a map, also after snapshots are
// restored.
func TestClaimsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Store
		type modelClaim struct {
			owner    string
			attempt  uint64
			runState message.RunState
		}
		records := make(map[string]modelClaim)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := HashKey("a", rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key"))
			owner := rapid.SampledFrom([]string{"r1/1", "r1/2", "r2/1"}).Draw(t, "owner")
			attempt := rapid.Uint64Range(1, 3).Draw(t, "attempt")
			existing, found := records[key]
			sameAttempt := found && existing.owner == owner && existing.attempt == attempt
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0, 1:
				result := store.claimOne(t, start, message.Claim{Key: key, Owner: owner, Attempt: attempt})
				wantGranted := !found || sameAttempt && existing.runState == message.RunStateRunning || !sameAttempt && existing.runState == message.RunStateNotRun
				require.Equal(t, wantGranted, result.Granted)
				if wantGranted {
					records[key] = modelClaim{owner, attempt, message.RunStateRunning}
				}
			case 2, 3:
				runState := rapid.SampledFrom([]message.RunState{message.RunStateRan, message.RunStateNotRun, message.RunStateUnknown}).Draw(t, "fate")
				store.settleOne(t, start, message.Settlement{Key: key, Owner: owner, Attempt: attempt, State: runState})
				if sameAttempt && existing.runState != message.RunStateRan || !found && runState == message.RunStateNotRun {
					records[key] = modelClaim{owner, attempt, runState}
				}
			default:
				data, err := store.Snapshot()
				require.NoError(t, err)
				store = Store{}
				require.NoError(t, store.Restore(data))
			}
			require.Equal(t, len(records), store.ClaimCount())
		}
	})
}

func TestRepeatedConfigUpdates(t *testing.T) {
	var store Store
	apply := func(number uint64, share float64) message.ApplyResult {
		config := fleet.Config{Number: number, Accounts: []fleet.Account{{Name: "a", Share: share}}}
		result, err := store.ApplyCommand(Command{ProposedAt: start, ConfigUpdate: &ConfigUpdate{Config: config.JSON(), Operator: "op"}}.Encode())
		require.NoError(t, err)
		return *result.ApplyResult
	}
	require.False(t, apply(1, 1).Conflict)
	require.False(t, apply(1, 1).Conflict, "repeated update")
	require.True(t, apply(1, 2).Conflict, "same number with other content")
	require.False(t, apply(3, 1).Conflict)
	require.Zero(t, apply(3, 1).NewerNumber, "it is active")
	require.False(t, apply(1, 1).Conflict, "accepted before and replaced since")
	require.Equal(t, uint64(3), apply(1, 1).NewerNumber, "the result has the number of the active one")
	conflict := apply(2, 1)
	require.True(t, conflict.Conflict)
	require.Equal(t, uint64(3), conflict.Number)
	data, err := store.Snapshot()
	require.NoError(t, err)
	var restored Store
	require.NoError(t, restored.Restore(data))
	require.Equal(t, store.ConfigDigest(), restored.ConfigDigest())
	require.Equal(t, store.ConfigHistory(), restored.ConfigHistory())
}

func FuzzCommand(f *testing.F) {
	f.Add([]byte(Command{ProposedAt: start, Claims: []message.Claim{{Key: "k", Owner: "o"}}}.Encode()))
	f.Add([]byte(`{"apply":{"config":{}}}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var store Store
		if _, err := store.ApplyCommand(data); err != nil {
			return
		}
		snapshot, err := store.Snapshot()
		require.NoError(t, err)
		var restored Store
		require.NoError(t, restored.Restore(snapshot))
		require.Equal(t, store.ClaimCount(), restored.ClaimCount())
	})
}

// For any snapshot data, Restore returns an error and changes nothing, or it yields a state that can be
// saved and restored again.
func FuzzRestore(f *testing.F) {
	var store Store
	_, err := store.ApplyCommand(Command{ProposedAt: start, Claims: []message.Claim{{Key: "k", Owner: "o"}}}.Encode())
	require.NoError(f, err)
	validSnapshot, err := store.Snapshot()
	require.NoError(f, err)
	f.Add([]byte(validSnapshot))
	f.Add([]byte(`{"claims":[{"records":"AAAA"}]}`))
	f.Add([]byte(`{"config":7,"document":{"number":-1}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var store Store
		if err := store.Restore(data); err != nil {
			require.Zero(t, store.ClaimCount())
			require.Zero(t, store.ConfigNumber())
			return
		}
		snapshot, err := store.Snapshot()
		require.NoError(t, err)
		var restored Store
		require.NoError(t, restored.Restore(snapshot))
		require.Equal(t, store.ClaimCount(), restored.ClaimCount())
		require.Equal(t, store.ConfigDigest(), restored.ConfigDigest())
		_, err = store.ApplyCommand(Command{ProposedAt: start, Claims: []message.Claim{{Key: "k", Owner: "o"}}}.Encode())
		require.NoError(t, err)
	})
}

// Guards against a keeper that ends at a later claim because a snapshot holds a run state that it does
// not know: the snapshot must be refused.
func TestRefusesUnknownRunState(t *testing.T) {
	var table claimTable
	table.insert(parseKey("k"), claimRecord{state: codeUnknown}, start)
	saved := table.save()
	require.NoError(t, new(claimTable).load(saved))
	saved[0].Records[claimRecordSize-1] = byte(codeUnknown) + 1
	require.Error(t, new(claimTable).load(saved))
}
