package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/quorum"
)

func voter(id string) quorum.Member   { return quorum.Member{ID: id, Name: id, Voter: true} }
func learner(id string) quorum.Member { return quorum.Member{ID: id, Name: id} }

func TestMemberToRemove(t *testing.T) {
	now := time.Unix(1e9, 0)
	fiveVoters := []quorum.Member{voter("a"), voter("b"), voter("c"), voter("d"), voter("e")}
	tests := []struct {
		name    string
		members []quorum.Member
		silent  map[string]time.Duration
		want    string
	}{
		{name: "all members respond", members: fiveVoters},
		{name: "silent voter of five may return", members: fiveVoters, silent: map[string]time.Duration{"c": time.Hour}},
		{name: "silent voter has a replacement", members: append(fiveVoters[:5:5], voter("f")), silent: map[string]time.Duration{"c": 3 * time.Second}, want: "c"},
		{name: "voter restarts within the limit", members: append(fiveVoters[:5:5], voter("f")), silent: map[string]time.Duration{"c": 2 * time.Second}},
		{name: "replacement is still a learner", members: append(fiveVoters[:5:5], learner("f")), silent: map[string]time.Duration{"c": time.Hour}},
		{name: "silent learner", members: append(fiveVoters[:5:5], learner("f")), silent: map[string]time.Duration{"f": time.Minute}, want: "f"},
		{name: "two voters are below the minimum", members: fiveVoters[:2], silent: map[string]time.Duration{"b": time.Hour}},
		{name: "silent voter of four", members: fiveVoters[:4], silent: map[string]time.Duration{"b": time.Hour}, want: "b"},
		{name: "leader never removes itself", members: fiveVoters[:4], silent: map[string]time.Duration{"a": time.Hour}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			member, ok := memberToRemove(now, "a", tt.members, func(id string) time.Time { return now.Add(-tt.silent[id]) })
			require.Equal(t, tt.want != "", ok)
			require.Equal(t, tt.want, member.ID)
		})
	}
}

// Guards against the removal of a silent voter that does not raise the number of live voters that
// the group can lose.
func TestRemovingSilentVoterRaisesLossTolerance(t *testing.T) {
	now := time.Unix(1e9, 0)
	toleratedLosses := func(members []quorum.Member, silent map[string]bool) int {
		voters, live := 0, 0
		for _, member := range members {
			if member.Voter {
				voters++
				if !silent[member.ID] {
					live++
				}
			}
		}
		return live - (voters/2 + 1)
	}
	rapid.Check(t, func(t *rapid.T) {
		var members []quorum.Member
		silent := make(map[string]bool)
		for i := range rapid.IntRange(1, 9).Draw(t, "members") {
			member := quorum.Member{ID: string(rune('a' + i)), Voter: rapid.Bool().Draw(t, "voter")}
			silent[member.ID] = i > 0 && rapid.Bool().Draw(t, "silent")
			members = append(members, member)
		}
		member, ok := memberToRemove(now, "a", members, func(id string) time.Time {
			if silent[id] {
				return now.Add(-time.Minute)
			}
			return now
		})
		if !ok {
			return
		}
		require.True(t, silent[member.ID])
		var remaining []quorum.Member
		for _, other := range members {
			if other.ID != member.ID {
				remaining = append(remaining, other)
			}
		}
		if member.Voter {
			require.Greater(t, toleratedLosses(remaining, silent), toleratedLosses(members, silent))
		}
	})
}
