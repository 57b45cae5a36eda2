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

func (l *Store) claimOne(t require.TestingT, at time.Time, c message.Claim) message.ClaimResult {
	r, err := l.Do(Command{At: at, Claims: []message.Claim{c}}.Encode())
	require.NoError(t, err)
	return r.Verdicts[0]
}

func (l *Store) settleOne(t require.TestingT, at time.Time, s message.Settlement) {
	_, err := l.Do(Command{At: at, Settlements: []message.Settlement{s}}.Encode())
	require.NoError(t, err)
}

// Symptom: a request stays claimed for ever, or runs though its router gave it
// up.
// Sequence: a claim's answer is lost; the router releases it; the release
// overtakes the claim, which is still on its way.
// Cause: the late claim finds no record and is granted.
func TestReleaseThatOvertakesItsClaim(t *testing.T) {
	var l Store
	key := KeyOf("a", "k")
	l.settleOne(t, start, message.Settlement{Key: key, Owner: "r1/1", Attempt: 1, State: message.RunStateNotRun})
	v := l.claimOne(t, start, message.Claim{Key: key, Owner: "r1/1", Attempt: 1})
	require.False(t, v.Granted)
	require.Equal(t, message.RunStateNotRun, v.State)
	require.True(t, l.claimOne(t, start, message.Claim{Key: key, Owner: "r2/1", Attempt: 1}).Granted)
}

func TestClaimSentAgainGetsTheSameAnswer(t *testing.T) {
	var l Store
	c := message.Claim{Key: KeyOf("a", "k"), Owner: "r1/1", Attempt: 1}
	require.True(t, l.claimOne(t, start, c).Granted)
	require.True(t, l.claimOne(t, start, c).Granted)
	other := message.Claim{Key: c.Key, Owner: "r1/1", Attempt: 2}
	require.Equal(t, message.RunStateRunning, l.claimOne(t, start, other).State)
	l.settleOne(t, start, message.Settlement{Key: c.Key, Owner: "r1/1", Attempt: 1, State: message.RunStateRan})
	require.Equal(t, message.RunStateRan, l.claimOne(t, start, c).State)
	l.settleOne(t, start, message.Settlement{Key: c.Key, Owner: "r1/1", Attempt: 1, State: message.RunStateNotRun})
	require.Equal(t, message.RunStateRan, l.claimOne(t, start, other).State, "what ran stays so")
}

func TestClaimsAreBoundedAndKeptForTheirTime(t *testing.T) {
	l := Store{Limit: 3}
	claim := func(at time.Time, n int) message.ClaimResult {
		return l.claimOne(t, at, message.Claim{Key: KeyOf("a", fmt.Sprint(n)), Owner: "r1/1", Attempt: uint64(n)})
	}
	for n := range 3 {
		require.True(t, claim(start, n+1).Granted)
	}
	require.True(t, claim(start.Add(time.Hour), 4).ClaimsFull)
	require.Equal(t, 3, l.Claims())
	require.Equal(t, message.RunStateRunning, l.claimOne(t, start.Add(Retention), message.Claim{Key: KeyOf("a", "1"), Owner: "x"}).State)
	late := start.Add(Retention + generationSpan)
	require.True(t, claim(late, 4).Granted)
	require.Equal(t, 1, l.Claims())
}

// The ledger agrees with a naive one that keeps whole claims in a map, also
// across snapshots.
func TestClaimsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Store
		type naive struct {
			owner   string
			attempt uint64
			fate    message.RunState
		}
		records := make(map[string]naive)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := KeyOf("a", rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key"))
			owner := rapid.SampledFrom([]string{"r1/1", "r1/2", "r2/1"}).Draw(t, "owner")
			attempt := rapid.Uint64Range(1, 3).Draw(t, "attempt")
			old, found := records[key]
			mine := found && old.owner == owner && old.attempt == attempt
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0, 1:
				v := l.claimOne(t, start, message.Claim{Key: key, Owner: owner, Attempt: attempt})
				want := !found || mine && old.fate == message.RunStateRunning || !mine && old.fate == message.RunStateNotRun
				require.Equal(t, want, v.Granted)
				if want {
					records[key] = naive{owner, attempt, message.RunStateRunning}
				}
			case 2, 3:
				fate := rapid.SampledFrom([]message.RunState{message.RunStateRan, message.RunStateNotRun, message.RunStateUnknown}).Draw(t, "fate")
				l.settleOne(t, start, message.Settlement{Key: key, Owner: owner, Attempt: attempt, State: fate})
				if mine && old.fate != message.RunStateRan || !found && fate == message.RunStateNotRun {
					records[key] = naive{owner, attempt, fate}
				}
			default:
				data, err := l.Snapshot()
				require.NoError(t, err)
				l = Store{}
				require.NoError(t, l.Restore(data))
			}
			require.Equal(t, len(records), l.Claims())
		}
	})
}

func TestConfigurationsSentAgain(t *testing.T) {
	var l Store
	apply := func(number uint64, share float64) message.ApplyResult {
		c := fleet.Config{Number: number, Accounts: []fleet.Account{{Name: "a", Share: share}}}
		r, err := l.Do(Command{At: start, Apply: &Apply{Config: c.JSON(), Operator: "op"}}.Encode())
		require.NoError(t, err)
		return *r.Applied
	}
	require.False(t, apply(1, 1).Conflict)
	require.False(t, apply(1, 1).Conflict, "the same again")
	require.True(t, apply(1, 2).Conflict, "other content")
	require.False(t, apply(3, 1).Conflict)
	require.Zero(t, apply(3, 1).NewerNumber, "it is in force")
	require.False(t, apply(1, 1).Conflict, "accepted before, and replaced since")
	require.Equal(t, uint64(3), apply(1, 1).NewerNumber, "the answer says which is in force")
	conflict := apply(2, 1)
	require.True(t, conflict.Conflict)
	require.Equal(t, uint64(3), conflict.Number)
	data, err := l.Snapshot()
	require.NoError(t, err)
	var again Store
	require.NoError(t, again.Restore(data))
	require.Equal(t, l.Digest(), again.Digest())
	require.Equal(t, l.History(), again.History())
}

func FuzzCommand(f *testing.F) {
	f.Add([]byte(Command{At: start, Claims: []message.Claim{{Key: "k", Owner: "o"}}}.Encode()))
	f.Add([]byte(`{"apply":{"config":{}}}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var l Store
		if _, err := l.Do(data); err != nil {
			return
		}
		snap, err := l.Snapshot()
		require.NoError(t, err)
		var again Store
		require.NoError(t, again.Restore(snap))
		require.Equal(t, l.Claims(), again.Claims())
	})
}

// Whatever stands in place of a snapshot is an error that changes nothing, or a state that
// can be stored again.
func FuzzRestore(f *testing.F) {
	var l Store
	_, err := l.Do(Command{At: start, Claims: []message.Claim{{Key: "k", Owner: "o"}}}.Encode())
	require.NoError(f, err)
	good, err := l.Snapshot()
	require.NoError(f, err)
	f.Add([]byte(good))
	f.Add([]byte(`{"claims":[{"records":"AAAA"}]}`))
	f.Add([]byte(`{"config":7,"document":{"number":-1}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var l Store
		if err := l.Restore(data); err != nil {
			require.Zero(t, l.Claims())
			require.Zero(t, l.Number())
			return
		}
		snap, err := l.Snapshot()
		require.NoError(t, err)
		var again Store
		require.NoError(t, again.Restore(snap))
		require.Equal(t, l.Claims(), again.Claims())
		require.Equal(t, l.Digest(), again.Digest())
		_, err = l.Do(Command{At: start, Claims: []message.Claim{{Key: "k", Owner: "o"}}}.Encode())
		require.NoError(t, err)
	})
}
