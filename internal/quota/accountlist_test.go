package quota

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/message"
)

// Guards against names that grow with every account that ever asked, and against rows that are
// not those of the names.
func TestNamesCoverWhatIsAskedAndLittleMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n AccountList
		for range rapid.IntRange(1, 30).Draw(t, "turns") {
			want := make(map[string]float64)
			var demand []message.Demand
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 500), 0, 80, rapid.ID).Draw(t, "accounts") {
				d := message.Demand{Account: fmt.Sprint(i), Rate: float64(i + 1)}
				want[d.Account] = d.Rate
				demand = append(demand, d)
			}
			before, digest := n.list, n.Digest()
			rows := n.Align(demand)
			got := make(map[string]float64)
			for i, row := range rows {
				require.Equal(t, n.list[i], row.Account)
				if row.Rate > 0 {
					got[row.Account] = row.Rate
				}
			}
			require.Equal(t, want, got)
			require.LessOrEqual(t, len(rows), 2*len(demand)+unusedNames)
			require.Equal(t, slices.Equal(before, n.list), digest == n.Digest())
		}
	})
}
