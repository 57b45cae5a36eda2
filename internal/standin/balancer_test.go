package standin

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRotation(t *testing.T) {
	tests := []struct {
		misses []int
		want   []int
	}{
		{[]int{0, 0, 0, 0}, []int{0, 1, 2, 3}},
		{[]int{1, 0, 0, 0}, []int{0, 1, 2, 3}},
		{[]int{2, 0, 7, 0}, []int{1, 3}},
		{[]int{2, 2, 2, 0}, []int{0, 1, 2, 3}}, // fewer than half are ready
		{[]int{9, 9, 9, 9}, []int{0, 1, 2, 3}},
	}
	for _, tt := range tests {
		r := rotation{misses: tt.misses}
		require.Equal(t, tt.want, r.in(), "%v", tt.misses)
		for i := range 20 {
			caller := fmt.Sprint("caller ", i)
			require.Contains(t, tt.want, r.pick(caller))
			require.Equal(t, r.pick(caller), r.pick(caller))
		}
	}
}

func TestRotationForgetsMissesOnceReady(t *testing.T) {
	r := rotation{misses: make([]int, 2)}
	r.seen(0, false)
	r.seen(0, false)
	require.Equal(t, []int{1}, r.in())
	r.seen(0, true)
	require.Equal(t, []int{0, 1}, r.in())
}
