package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each mechanism can be left out, and decides something: a run without it differs.
func TestEachMechanismDecidesSomething(t *testing.T) {
	s := scenario(t, "catalogue.toml", 6*time.Second)
	whole, err := Run(s, PolicyRouter, 1)
	require.NoError(t, err)
	for _, name := range Ablations()[1:] {
		r, err := Run(s, name, 1)
		require.NoError(t, err)
		require.NotEqual(t, whole.Metrics, r.Metrics, name)
	}
}

func TestUnknownMechanism(t *testing.T) {
	_, err := Run(Scenario{}, without+"luck", 1)
	require.ErrorContains(t, err, without+"brief")
}

// Symptom: callers are refused by engines that stand idle, or late since they were told to
// come back too late, or the largest accounts take all.
// Cause: the mechanism that is there against it is missing. Each case plays the load with and
// without it, and checks what callers get.
func TestCallersAreServedBetterWithEachRule(t *testing.T) {
	for mechanism, c := range map[string]struct {
		load   string
		better func(t *testing.T, with, less Result)
	}{
		"brief": {"catalogue.toml", func(t *testing.T, with, less Result) {
			require.Less(t, with.Refused, less.Refused)
			require.Greater(t, with.OnTime, less.OnTime)
		}},
		"intime": {"catalogue-grown.toml", func(t *testing.T, with, less Result) {
			require.Less(t, with.Late, less.Late)
			require.Greater(t, with.OnTime, less.OnTime)
		}},
		"room": {"catalogue.toml", func(t *testing.T, with, less Result) {
			require.Less(t, with.Refused, less.Refused)
			require.Greater(t, with.ValueRatio, less.ValueRatio)
		}},
		"shares": {"catalogue-grown.toml", func(t *testing.T, with, less Result) {
			require.Greater(t, with.WorstAccountShare, less.WorstAccountShare)
			require.Greater(t, with.ValueRatio, less.ValueRatio)
		}},
	} {
		t.Run(mechanism, func(t *testing.T) {
			s := scenario(t, c.load, 8*time.Second)
			c.better(t, MeanResults(runs(t, s, 2, PolicyRouter))[0], MeanResults(runs(t, s, 2, without+mechanism))[0])
		})
	}
}
