package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a mechanism that has no effect: a run without it must have other metrics.
func TestEachAblationChangesResults(t *testing.T) {
	scenario := readExample(t, "catalogue.toml", 6*time.Second)
	full, err := Run(scenario, PolicyRouter, 1)
	require.NoError(t, err)
	for _, name := range Ablations()[1:] {
		ablated, err := Run(scenario, name, 1)
		require.NoError(t, err)
		require.NotEqual(t, full.Metrics, ablated.Metrics, name)
	}
}

func TestRejectsUnknownMechanism(t *testing.T) {
	_, err := Run(Scenario{}, withoutPrefix+"luck", 1)
	require.ErrorContains(t, err, withoutPrefix+"brief")
}

// Compares runs with and without a mechanism. Without it, callers are refused although engines
// are idle, or are told to retry too late to be served in time, or the accounts with the most
// requests take all capacity.
func TestMechanismsImproveResults(t *testing.T) {
	for mechanism, tt := range map[string]struct {
		scenarioFile string
		check        func(t *testing.T, with, without Result)
	}{
		"brief": {"catalogue.toml", func(t *testing.T, with, without Result) {
			require.Less(t, with.Refused, without.Refused)
			require.Greater(t, with.OnTime, without.OnTime)
		}},
		"intime": {"catalogue-grown.toml", func(t *testing.T, with, without Result) {
			require.Less(t, with.Late, without.Late)
			require.Greater(t, with.OnTime, without.OnTime)
		}},
		"room": {"catalogue.toml", func(t *testing.T, with, without Result) {
			require.Less(t, with.Refused, without.Refused)
			require.Greater(t, with.ValueRatio, without.ValueRatio)
		}},
		"shares": {"catalogue-grown.toml", func(t *testing.T, with, without Result) {
			require.Greater(t, with.WorstAccountShare, without.WorstAccountShare)
			require.Greater(t, with.ValueRatio, without.ValueRatio)
		}},
	} {
		t.Run(mechanism, func(t *testing.T) {
			scenario := readExample(t, tt.scenarioFile, 8*time.Second)
			tt.check(t, MeanResults(runAll(t, scenario, 2, PolicyRouter))[0], MeanResults(runAll(t, scenario, 2, withoutPrefix+mechanism))[0])
		})
	}
}
