package message

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDigestDistinguishesLists(t *testing.T) {
	seen := make(map[uint32][]string)
	for _, list := range [][]string{nil, {"a"}, {"a", "b"}, {"b", "a"}, {"ab"}, {"a", "b", "c"}} {
		digest := Digest(list)
		require.NotZero(t, digest)
		require.Nil(t, seen[digest], "as %v", list)
		seen[digest] = list
	}
}
