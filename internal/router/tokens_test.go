package router

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a token count, taken from the end of an arbitrary response, that cannot be
// charged.
func FuzzTotalTokens(f *testing.F) {
	f.Add([]byte(`data: {"usage":{"total_tokens": 12}}`))
	f.Add([]byte(`"total_tokens":99999999999999999999`))
	f.Add([]byte(`"total_tokens":-1,"total_tokens":`))
	f.Fuzz(func(t *testing.T, tail []byte) {
		tokens, ok := totalTokens(tail)
		if !ok {
			require.Zero(t, tokens)
			return
		}
		require.GreaterOrEqual(t, tokens, 0.0)
		require.LessOrEqual(t, tokens, float64(1<<32))
	})
}
