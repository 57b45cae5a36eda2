package cmd

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a second without a leader after the leader is asked to stop. The leader must
// resign and send its last messages before it exits.
func TestStoppingLeaderResigns(t *testing.T) {
	processes := newProcessFleet(t)
	for _, name := range []string{"k1", "k2", "k3"} {
		processes.startKeeper(name, "--init")
	}
	var oldLeader string
	processes.eventually("a leader", func() bool {
		oldLeader = processes.leaderName()
		return oldLeader != ""
	})
	processes.signal(oldLeader, syscall.SIGTERM)
	require.Equal(t, exitOK, processes.waitForExit(oldLeader))
	log, err := os.ReadFile(filepath.Join(processes.folder, oldLeader+".log"))
	require.NoError(t, err)
	require.Contains(t, string(log), "resigning: this keeper stops")
	processes.eventually("another leader", func() bool {
		newLeader := processes.leaderName()
		return newLeader != "" && newLeader != oldLeader
	})
}
