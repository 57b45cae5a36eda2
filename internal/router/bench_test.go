package router_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/standin"
)

// BenchmarkPath compares requests through the router with requests sent directly to the stand-in
// in the same run.
func BenchmarkPath(b *testing.B) {
	_, target := startStandin(b, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 1})
	target.Slots = 64
	fleetUnderTest := startFleet(b, target)
	body := []byte(`{"messages":[{"role":"user","content":"hello"}]}`)
	streamed := []byte(`{"stream":true,"max_tokens":2}`)
	for _, endpoint := range []struct{ name, url string }{
		{"direct", "http://" + target.Address + "/v1/chat/completions"},
		{"router", "http://" + fleetUnderTest.router + "/e/engine/v1/chat/completions"},
	} {
		for _, callers := range []int{1, 8} {
			b.Run(fmt.Sprintf("%s/%d", endpoint.name, callers), func(b *testing.B) { benchmarkRequests(b, endpoint.url, callers, body) })
			b.Run(fmt.Sprintf("%s-first-token/%d", endpoint.name, callers), func(b *testing.B) { benchmarkRequests(b, endpoint.url, callers, streamed) })
		}
	}
}

func benchmarkRequests(b *testing.B, url string, callers int, body []byte) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	latencies := make([]*hdrhistogram.Histogram, callers)
	b.ReportAllocs()
	b.ResetTimer()
	var group errgroup.Group
	for i := range callers {
		latencies[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		group.Go(func() error {
			for range b.N / callers {
				start := time.Now()
				request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
				if err != nil {
					return err
				}
				request.Header.Set("Authorization", "Bearer "+testKey)
				response, err := client.Do(request)
				if err != nil {
					return err
				}
				var firstByte [1]byte
				if _, err := io.ReadFull(response.Body, firstByte[:]); err != nil {
					return err
				}
				latency := time.Since(start)
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					return err
				}
				_ = response.Body.Close() // read to the end
				if response.StatusCode != http.StatusOK {
					return fmt.Errorf("status %d", response.StatusCode)
				}
				if err := latencies[i].RecordValue(latency.Nanoseconds()); err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(b, group.Wait())
	for _, histogram := range latencies[1:] {
		latencies[0].Merge(histogram)
	}
	b.ReportMetric(float64(latencies[0].ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(latencies[0].ValueAtQuantile(99))/1e3, "p99-us")
}
