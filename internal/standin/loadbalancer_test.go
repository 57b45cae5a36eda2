package standin

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRotationLeavesOutUnreadyRouters(t *testing.T) {
	tests := []struct {
		failedChecks []int
		want         []int
	}{
		{[]int{0, 0, 0, 0}, []int{0, 1, 2, 3}},
		{[]int{1, 0, 0, 0}, []int{0, 1, 2, 3}},
		{[]int{2, 0, 7, 0}, []int{1, 3}},
		{[]int{2, 2, 2, 0}, []int{0, 1, 2, 3}}, // less than half are ready
		{[]int{9, 9, 9, 9}, []int{0, 1, 2, 3}},
	}
	for _, tt := range tests {
		rot := rotation{failedChecks: tt.failedChecks}
		require.Equal(t, tt.want, rot.inRotation(), "%v", tt.failedChecks)
		for i := range 20 {
			caller := fmt.Sprint("caller ", i)
			require.Contains(t, tt.want, rot.pickRouter(caller))
			require.Equal(t, rot.pickRouter(caller), rot.pickRouter(caller))
		}
	}
}

func TestReadyRouterReturnsToRotation(t *testing.T) {
	rot := rotation{failedChecks: make([]int, 2)}
	rot.recordCheck(0, false)
	rot.recordCheck(0, false)
	require.Equal(t, []int{1}, rot.inRotation())
	rot.recordCheck(0, true)
	require.Equal(t, []int{0, 1}, rot.inRotation())
}
