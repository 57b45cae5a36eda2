package probation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/probation"
)

func TestStepsBackToTrust(t *testing.T) {
	l := probation.Limit{Trusted: 8}
	require.False(t, l.On())
	require.True(t, l.Allows(1000))
	l.Served()
	require.False(t, l.On(), "serving well is no reason")
	l.Begin()
	for _, most := range []int{1, 2, 4} {
		require.True(t, l.On())
		require.True(t, l.Allows(most-1))
		require.False(t, l.Allows(most))
		l.Served()
	}
	require.False(t, l.On())
	require.True(t, l.Allows(1000))
	l.Begin()
	l.Served()
	l.Begin()
	require.False(t, l.Allows(1), "a failure begins it anew")
}
