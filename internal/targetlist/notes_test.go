package targetlist

import (
	"bytes"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Symptom: the log holds nothing but lines about one damaged list.
// Sequence: a list of many damaged entries is read more than once a second.
// Cause: each entry, or reading, has a line of its own.
func TestDamageIsNotedOnceAndCounted(t *testing.T) {
	var out bytes.Buffer
	var count atomic.Uint64
	n := DamageNotes{Log: hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), List: "10.0.0.1:80", Count: &count}
	lines := func() []string {
		defer out.Reset()
		return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	}
	n.Take(at(0), list(sound))
	require.Equal(t, []string{""}, lines())
	bad := damaged(list(sound), "a", "b", "")
	bad.Damaged = append(bad.Damaged, fleet.DamagedEntry{Field: "type"})
	for s := 1.0; s < 50; s += 0.6 {
		n.Take(at(s), bad)
	}
	got := lines()
	require.Len(t, got, 1)
	require.Contains(t, got[0], `"count":4,"faults":"slots:3 type:1","named":2,"source":"10.0.0.1:80","targets":1`)
	require.Equal(t, uint64(82*4), count.Load())
	n.Take(at(60), damaged(list(sound), "a"))
	n.Take(at(61), bad)
	require.Len(t, lines(), 1, "what changes with each reading is bounded too")
	n.Take(at(70), list(sound))
	require.Contains(t, lines()[0], "no damaged entries any more")
}
