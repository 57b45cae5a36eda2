package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Symptom: a third of the answers to short prompts are late, though their first token was
// predicted within a tenth of the aim and three quarters of the slots are free.
// Sequence: eight routers send prompts to nine engines; each sees at once what it has sent
// itself, and a quarter of a second later what the other seven have.
// Cause: an engine reads what came first. Seven eighths of what is ahead of a request had not
// been heard of when its engine was chosen.
func TestRoutersThatHearOfEachOtherSoonAnswerInTime(t *testing.T) {
	for _, name := range []string{"catalogue.toml", "catalogue-grown.toml"} {
		t.Run(name, func(t *testing.T) {
			s := scenario(t, name, 8*time.Second)
			soon := MeanResults(runs(t, s, 2, PolicyRouter))[0]
			s.ReportPeriod = fleet.Duration(250 * time.Millisecond)
			late := MeanResults(runs(t, s, 2, PolicyRouter))[0]
			require.Less(t, soon.Late, late.Late)
			require.Greater(t, soon.OnTime, late.OnTime)
			require.Greater(t, soon.ValueRatio, late.ValueRatio)
			require.GreaterOrEqual(t, soon.WorstAccountShare, late.WorstAccountShare-0.05)
		})
	}
}
