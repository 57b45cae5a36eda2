package message

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestADigestTellsListsApart(t *testing.T) {
	seen := make(map[uint32][]string)
	for _, list := range [][]string{nil, {"a"}, {"a", "b"}, {"b", "a"}, {"ab"}, {"a", "b", "c"}} {
		d := Digest(list)
		require.NotZero(t, d)
		require.Nil(t, seen[d], "as %v", list)
		seen[d] = list
	}
}
