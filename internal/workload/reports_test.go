package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Guards against late first tokens because of stale load reports. Eight routers send prompts to
// nine engines, which prefill in order of arrival. If routers report only every 250 ms, 7/8 of
// the backlog ahead of a request is unknown when its engine is chosen: a third of the responses
// to short prompts came late, although the predicted time to first token was within a tenth of
// the latency objective and three quarters of the slots were free.
func TestFrequentReportsImproveLatency(t *testing.T) {
	for _, name := range []string{"catalogue.toml", "catalogue-grown.toml"} {
		t.Run(name, func(t *testing.T) {
			scenario := readExample(t, name, 8*time.Second)
			frequent := MeanResults(runAll(t, scenario, 2, PolicyRouter))[0]
			scenario.ReportPeriod = fleet.Duration(250 * time.Millisecond)
			infrequent := MeanResults(runAll(t, scenario, 2, PolicyRouter))[0]
			require.Less(t, frequent.Late, infrequent.Late)
			require.Greater(t, frequent.OnTime, infrequent.OnTime)
			require.Greater(t, frequent.ValueRatio, infrequent.ValueRatio)
			require.GreaterOrEqual(t, frequent.WorstAccountShare, infrequent.WorstAccountShare-0.05)
		})
	}
}
