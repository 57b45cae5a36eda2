package standin

import (
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Symptom: a target of a soak does not start again, its address is in use (seed 1026).
// Sequence: it ends and starts again while keepers are started.
// Cause: between fork and exec, a process that is being started holds a copy of the
// listening socket that was just closed.
func TestATargetStartsAgainWhileProcessesStart(t *testing.T) {
	site, err := StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	defer site.Close()
	target, err := site.Add("a", "p", "z", "127.0.0.1:0", 6)
	require.NoError(t, err)
	var over atomic.Bool
	var starting sync.WaitGroup
	starting.Go(func() {
		for !over.Load() {
			_ = exec.Command(os.Args[0], "-test.run=^$").Run() // that it is started counts
		}
	})
	const restarts = 300
	for range restarts {
		if target, err = site.Restart(target); err != nil {
			break
		}
	}
	over.Store(true)
	starting.Wait()
	require.NoError(t, err)
}
