package router

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Whatever an answer ends with: a count that is taken from it can be charged.
func FuzzTotalTokens(f *testing.F) {
	f.Add([]byte(`data: {"usage":{"total_tokens": 12}}`))
	f.Add([]byte(`"total_tokens":99999999999999999999`))
	f.Add([]byte(`"total_tokens":-1,"total_tokens":`))
	f.Fuzz(func(t *testing.T, tail []byte) {
		n, ok := totalTokens(tail)
		if !ok {
			require.Zero(t, n)
			return
		}
		require.GreaterOrEqual(t, n, 0.0)
		require.LessOrEqual(t, n, float64(1<<32))
	})
}
