package cmd

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Symptom: after the leader is told to stop, nobody leads for a second.
// Sequence: SIGTERM to the leading keeper of three.
// Cause: it ended without a word, or its word did not get out any more.
func TestAKeeperThatStopsHandsTheLeadOver(t *testing.T) {
	p := newProcesses(t)
	for _, name := range []string{"k1", "k2", "k3"} {
		p.startKeeper(name, "--init")
	}
	var old string
	p.eventually("a leader", func() bool {
		old = p.leader()
		return old != ""
	})
	p.signal(old, syscall.SIGTERM)
	require.Equal(t, exitOK, p.exitCode(old))
	log, err := os.ReadFile(filepath.Join(p.folder, old+".log"))
	require.NoError(t, err)
	require.Contains(t, string(log), "resigning: this keeper stops")
	p.eventually("another leader", func() bool {
		next := p.leader()
		return next != "" && next != old
	})
}
