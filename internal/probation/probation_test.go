package probation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/probation"
)

func TestStepsBackToTrust(t *testing.T) {
	l := probation.Limit{TrustedConcurrency: 8}
	require.False(t, l.Active())
	require.True(t, l.Allows(1000))
	l.RecordSuccess()
	require.False(t, l.Active(), "serving well is no reason")
	l.Begin()
	for _, most := range []int{1, 2, 4} {
		require.True(t, l.Active())
		require.True(t, l.Allows(most-1))
		require.False(t, l.Allows(most))
		l.RecordSuccess()
	}
	require.False(t, l.Active())
	require.True(t, l.Allows(1000))
	l.Begin()
	l.RecordSuccess()
	l.Begin()
	require.False(t, l.Allows(1), "a failure begins it anew")
}
