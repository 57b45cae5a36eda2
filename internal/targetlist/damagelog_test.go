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

// Guards against a log flooded by lines about one damaged list: a list with many damaged entries
// is read more than once per second.
func TestDamageIsLoggedOnceAndCounted(t *testing.T) {
	var out bytes.Buffer
	var count atomic.Uint64
	damageLog := DamageLog{Log: hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), Source: "10.0.0.1:80", Count: &count}
	lines := func() []string {
		defer out.Reset()
		return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	}
	damageLog.Record(timeAt(0), listingOf(permanent))
	require.Equal(t, []string{""}, lines())
	damagedListing := withDamaged(listingOf(permanent), "a", "b", "")
	damagedListing.Damaged = append(damagedListing.Damaged, fleet.DamagedEntry{Field: "type"})
	for second := 1.0; second < 50; second += 0.6 {
		damageLog.Record(timeAt(second), damagedListing)
	}
	logged := lines()
	require.Len(t, logged, 1)
	require.Contains(t, logged[0], `"count":4,"faults":"slots:3 type:1","named":2,"source":"10.0.0.1:80","targets":1`)
	require.Equal(t, uint64(82*4), count.Load())
	damageLog.Record(timeAt(60), withDamaged(listingOf(permanent), "a"))
	damageLog.Record(timeAt(61), damagedListing)
	require.Len(t, lines(), 1, "the interval also applies to damage that changes")
	damageLog.Record(timeAt(70), listingOf(permanent))
	require.Contains(t, lines()[0], "no damaged entries any more")
}
