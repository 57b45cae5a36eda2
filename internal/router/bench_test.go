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

// BenchmarkPath measures a request through the router beside one that goes
// straight to the stand-in, in the same run.
func BenchmarkPath(b *testing.B) {
	_, target := engine(b, standin.Settings{Name: "engine", Kind: fleet.TargetEngine, Tokens: 1})
	target.Slots = 64
	s := start(b, target)
	body := []byte(`{"messages":[{"role":"user","content":"hello"}]}`)
	streamed := []byte(`{"stream":true,"max_tokens":2}`)
	for _, way := range []struct{ name, url string }{
		{"direct", "http://" + target.Address + "/v1/chat/completions"},
		{"router", "http://" + s.router + "/e/engine/v1/chat/completions"},
	} {
		for _, callers := range []int{1, 8} {
			b.Run(fmt.Sprintf("%s/%d", way.name, callers), func(b *testing.B) { benchmarkWay(b, way.url, callers, body) })
			b.Run(fmt.Sprintf("%s-first-token/%d", way.name, callers), func(b *testing.B) { benchmarkWay(b, way.url, callers, streamed) })
		}
	}
}

func benchmarkWay(b *testing.B, url string, callers int, body []byte) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	times := make([]*hdrhistogram.Histogram, callers)
	b.ReportAllocs()
	b.ResetTimer()
	var g errgroup.Group
	for i := range callers {
		times[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		g.Go(func() error {
			for range b.N / callers {
				start := time.Now()
				req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
				if err != nil {
					return err
				}
				req.Header.Set("Authorization", "Bearer "+testKey)
				resp, err := client.Do(req)
				if err != nil {
					return err
				}
				var first [1]byte
				if _, err := io.ReadFull(resp.Body, first[:]); err != nil {
					return err
				}
				took := time.Since(start)
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					return err
				}
				_ = resp.Body.Close() // read to the end
				if resp.StatusCode != http.StatusOK {
					return fmt.Errorf("status %d", resp.StatusCode)
				}
				if err := times[i].RecordValue(took.Nanoseconds()); err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(b, g.Wait())
	for _, h := range times[1:] {
		times[0].Merge(h)
	}
	b.ReportMetric(float64(times[0].ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(times[0].ValueAtQuantile(99))/1e3, "p99-us")
}
