package quota

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/message"
)

// Guards against a list that grows with every account that ever had demand, and against rows that
// do not match the list.
func TestAccountListCoversDemandAndStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list AccountList
		for range rapid.IntRange(1, 30).Draw(t, "turns") {
			want := make(map[string]float64)
			var demand []message.Demand
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 500), 0, 80, rapid.ID).Draw(t, "accounts") {
				d := message.Demand{Account: fmt.Sprint(i), Rate: float64(i + 1)}
				want[d.Account] = d.Rate
				demand = append(demand, d)
			}
			before, digest := list.names, list.Digest()
			rows := list.Align(demand)
			got := make(map[string]float64)
			for i, row := range rows {
				require.Equal(t, list.names[i], row.Account)
				if row.Rate > 0 {
					got[row.Account] = row.Rate
				}
			}
			require.Equal(t, want, got)
			require.LessOrEqual(t, len(rows), 2*len(demand)+maxUnusedAccounts)
			require.Equal(t, slices.Equal(before, list.names), digest == list.Digest())
		}
	})
}
