package probation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/probation"
)

func TestLimitDoublesUntilTrusted(t *testing.T) {
	limit := probation.Limit{TrustedConcurrency: 8}
	require.False(t, limit.Active())
	require.True(t, limit.Allows(1000))
	limit.RecordSuccess()
	require.False(t, limit.Active(), "successes alone do not start probation")
	limit.Begin()
	for _, maxConcurrent := range []int{1, 2, 4} {
		require.True(t, limit.Active())
		require.True(t, limit.Allows(maxConcurrent-1))
		require.False(t, limit.Allows(maxConcurrent))
		limit.RecordSuccess()
	}
	require.False(t, limit.Active())
	require.True(t, limit.Allows(1000))
	limit.Begin()
	limit.RecordSuccess()
	limit.Begin()
	require.False(t, limit.Allows(1), "a failure restarts probation")
}
