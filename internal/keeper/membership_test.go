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

func TestSilentMember(t *testing.T) {
	now := time.Unix(1e9, 0)
	five := []quorum.Member{voter("a"), voter("b"), voter("c"), voter("d"), voter("e")}
	tests := []struct {
		name    string
		members []quorum.Member
		silent  map[string]time.Duration
		want    string
	}{
		{name: "all answer", members: five},
		{name: "one of five is away: it may come back", members: five, silent: map[string]time.Duration{"c": time.Hour}},
		{name: "it was replaced", members: append(five[:5:5], voter("f")), silent: map[string]time.Duration{"c": 3 * time.Second}, want: "c"},
		{name: "it restarts", members: append(five[:5:5], voter("f")), silent: map[string]time.Duration{"c": 2 * time.Second}},
		{name: "its replacement does not vote yet", members: append(five[:5:5], learner("f")), silent: map[string]time.Duration{"c": time.Hour}},
		{name: "a learner is gone", members: append(five[:5:5], learner("f")), silent: map[string]time.Duration{"f": time.Minute}, want: "f"},
		{name: "two of three: none may go", members: five[:2], silent: map[string]time.Duration{"b": time.Hour}},
		{name: "one of four is away", members: five[:4], silent: map[string]time.Duration{"b": time.Hour}, want: "b"},
		{name: "the leader never takes itself out", members: five[:4], silent: map[string]time.Duration{"a": time.Hour}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, ok := memberToRemove(now, "a", tt.members, func(id string) time.Time { return now.Add(-tt.silent[id]) })
			require.Equal(t, tt.want != "", ok)
			require.Equal(t, tt.want, m.ID)
		})
	}
}

// TestTakingOutASilentVoterNeverCostsALoss checks that the group bears as many
// losses of voters that answer after the change as before it.
func TestTakingOutASilentVoterNeverCostsALoss(t *testing.T) {
	now := time.Unix(1e9, 0)
	bears := func(members []quorum.Member, silent map[string]bool) int {
		voters, live := 0, 0
		for _, m := range members {
			if m.Voter {
				voters++
				if !silent[m.ID] {
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
			m := quorum.Member{ID: string(rune('a' + i)), Voter: rapid.Bool().Draw(t, "voter")}
			silent[m.ID] = i > 0 && rapid.Bool().Draw(t, "silent")
			members = append(members, m)
		}
		m, ok := memberToRemove(now, "a", members, func(id string) time.Time {
			if silent[id] {
				return now.Add(-time.Minute)
			}
			return now
		})
		if !ok {
			return
		}
		require.True(t, silent[m.ID])
		var after []quorum.Member
		for _, other := range members {
			if other.ID != m.ID {
				after = append(after, other)
			}
		}
		if m.Voter {
			require.Greater(t, bears(after, silent), bears(members, silent))
		}
	})
}
