package statestore

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/message"
)

// BenchmarkStoredClaims measures the cost of stored claims: memory and snapshot size per claim, and the
// time of a lookup.
func BenchmarkStoredClaims(b *testing.B) {
	for _, claimCount := range []int{50_000, 100_000, 200_000, 400_000, 800_000} {
		b.Run(fmt.Sprintf("claims=%d", claimCount), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var store Store
			for i := range claimCount {
				store.claims.claim(message.Claim{Key: HashKey("a", fmt.Sprint(i)), Owner: "r1/abc", Attempt: 1}, start, claimCount)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			key := HashKey("a", "7")
			b.ResetTimer()
			for range b.N {
				store.claims.claim(message.Claim{Key: key, Owner: "r2/abc", Attempt: 1}, start, claimCount)
			}
			b.StopTimer()
			data, err := store.Snapshot()
			require.NoError(b, err)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(claimCount), "heap-B/claim")
			b.ReportMetric(float64(len(data))/float64(claimCount), "snapshot-B/claim")
		})
	}
}

// producerMark is an alternative to stored claims: one watermark per producer of keys, where each
// producer numbers its requests, like producer IDs with a monotonic clock in the related paper.
type producerMark struct {
	clock uint64
}

// BenchmarkWatermarks measures the alternative for comparison with BenchmarkStoredClaims.
func BenchmarkWatermarks(b *testing.B) {
	for _, producers := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("producers=%d", producers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			marks := make(map[claimKey]producerMark)
			keys := make([]claimKey, producers)
			for i := range producers {
				keys[i] = parseKey(HashKey("a", fmt.Sprint(i)))
				marks[keys[i]] = producerMark{clock: 1}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				key := keys[i%producers]
				mark := marks[key]
				if uint64(i) > mark.clock {
					marks[key] = producerMark{clock: uint64(i)}
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(producers), "heap-B/producer")
		})
	}
}
