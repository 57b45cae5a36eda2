package standin

import (
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a target that fails to restart because its address is in use. Between fork and
// exec, a child process holds a copy of the listening socket that the target has just closed;
// that happens when keepers start at the same time.
func TestTargetRestartsWhileProcessesStart(t *testing.T) {
	platform, err := StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	defer platform.Close()
	target, err := platform.Add("a", "p", "z", "127.0.0.1:0", 6)
	require.NoError(t, err)
	var stop atomic.Bool
	var starters sync.WaitGroup
	starters.Go(func() {
		for !stop.Load() {
			_ = exec.Command(os.Args[0], "-test.run=^$").Run() // only the start matters
		}
	})
	const restarts = 300
	for range restarts {
		if target, err = platform.Restart(target); err != nil {
			break
		}
	}
	stop.Store(true)
	starters.Wait()
	require.NoError(t, err)
}
