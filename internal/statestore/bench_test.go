package statestore

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/message"
)

// BenchmarkKeptClaims measures what claims cost that are kept: memory, the
// size and time of a snapshot, and the time of a look-up among them.
func BenchmarkKeptClaims(b *testing.B) {
	for _, claims := range []int{50_000, 100_000, 200_000, 400_000, 800_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var l Store
			for i := range claims {
				l.claims.claim(message.Claim{Key: KeyOf("a", fmt.Sprint(i)), Owner: "r1/abc", Attempt: 1}, start, claims)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			key := KeyOf("a", "7")
			b.ResetTimer()
			for range b.N {
				l.claims.claim(message.Claim{Key: key, Owner: "r2/abc", Attempt: 1}, start, claims)
			}
			b.StopTimer()
			data, err := l.Snapshot()
			require.NoError(b, err)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(claims), "heap-B/claim")
			b.ReportMetric(float64(len(data))/float64(claims), "snapshot-B/claim")
		})
	}
}

// producerMark is the alternative that was weighed: one watermark for each
// producer of keys that number their requests, as the related paper's producer
// IDs with a monotonic clock.
type producerMark struct {
	clock uint64
}

// BenchmarkWatermarks measures the alternative beside BenchmarkKeptClaims.
func BenchmarkWatermarks(b *testing.B) {
	for _, producers := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("producers=%d", producers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			marks := make(map[claimKey]producerMark)
			keys := make([]claimKey, producers)
			for i := range producers {
				keys[i] = parseKey(KeyOf("a", fmt.Sprint(i)))
				marks[keys[i]] = producerMark{clock: 1}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				key := keys[i%producers]
				m := marks[key]
				if uint64(i) > m.clock {
					marks[key] = producerMark{clock: uint64(i)}
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(producers), "heap-B/producer")
		})
	}
}
