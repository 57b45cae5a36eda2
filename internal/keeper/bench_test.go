package keeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/keeper"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/router"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/standin"
	"laburnumfall/internal/statestore"
)

// benchFleet is a group of three keepers on real disks, and some routers, in
// this process over loopback.
type benchFleet struct {
	b         testing.TB
	folder    string
	addresses []string
	secret    []byte
}

func freeAddress(b testing.TB) string {
	address, err := standin.FreeAddress()
	require.NoError(b, err)
	return address
}

func startBench(b testing.TB, routers int) *benchFleet {
	f := &benchFleet{b: b, folder: b.TempDir(), secret: []byte("0123456789abcdef")}
	secret := filepath.Join(f.folder, "secret")
	require.NoError(b, os.WriteFile(secret, f.secret, 0o600))
	var peers []string
	for i := range 3 {
		f.addresses = append(f.addresses, freeAddress(b))
		peers = append(peers, fmt.Sprintf("k%d=%s", i+1, f.addresses[i]))
	}
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	log := hclog.NewNullLogger()
	for i := range 3 {
		name := fmt.Sprintf("k%d", i+1)
		k := &keeper.Keeper{
			Settings: settings.Keeper{Name: name, Zone: "z", Listen: f.addresses[i], Admin: freeAddress(b), Data: f.folder, Peers: peers, Secret: secret},
			Log:      log, Clock: clock.NewRealClock(), Disk: &journal.RealDisk{Folder: filepath.Join(f.folder, name)}, Init: true,
		}
		g.Go(func() error { return k.Run(ctx) })
	}
	for i := range routers {
		r := &router.Router{
			Settings: settings.Router{Name: fmt.Sprintf("r%d", i+1), Zone: "z", Listen: freeAddress(b), Admin: freeAddress(b), Keepers: f.addresses, Secret: secret},
			Log:      log, Clock: clock.NewRealClock(),
		}
		g.Go(func() error { return r.Run(ctx) })
	}
	b.Cleanup(func() {
		cancel()
		require.NoError(b, g.Wait())
	})
	return f
}

// mute answers what a keeper would call of an operator: nothing.
type mute struct{}

// Call implements rpc.Handler.
func (mute) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, nil
}

// Notice implements rpc.Handler.
func (mute) Notice(*rpc.Conn, string, json.RawMessage) {}

// leader returns a link to the leader.
func (f *benchFleet) leader() *rpc.Conn {
	for range 400 {
		for _, address := range f.addresses {
			var count rpc.Counter
			conn, err := rpc.Dial(context.Background(), address, "bench", f.secret, mute{}, &count)
			if err != nil {
				continue
			}
			var s message.Status
			if err := conn.Call(context.Background(), message.MethodStatus, struct{}{}, &s); err == nil {
				return conn
			}
			conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(f.b, "no leader")
	return nil
}

func (f *benchFleet) bytes() int64 {
	var total int64
	files, err := filepath.Glob(filepath.Join(f.folder, "k1", "*"))
	require.NoError(f.b, err)
	for _, file := range files {
		info, err := os.Stat(file)
		require.NoError(f.b, err)
		total += info.Size()
	}
	return total
}

// BenchmarkClaims measures claims on a group of three with real syncs. Callers
// stand for routers; each has one call of a batch on its way.
func BenchmarkClaims(b *testing.B) {
	for _, load := range []struct{ callers, batch int }{{1, 1}, {8, 1}, {8, 8}, {8, 32}, {8, 128}} {
		b.Run(fmt.Sprintf("callers=%d/batch=%d", load.callers, load.batch), func(b *testing.B) {
			f := startBench(b, 0)
			conn := f.leader()
			defer conn.Close()
			before := f.bytes()
			var next atomic.Uint64
			histograms := make([]*hdrhistogram.Histogram, load.callers)
			b.ResetTimer()
			start := time.Now()
			var g errgroup.Group
			for i := range load.callers {
				histograms[i] = hdrhistogram.New(1, int64(time.Minute), 3)
				g.Go(func() error {
					for range b.N / load.callers {
						if err := claimBatch(conn, &next, load.batch, histograms[i]); err != nil {
							return err
						}
					}
					return nil
				})
			}
			require.NoError(b, g.Wait())
			took := time.Since(start)
			b.StopTimer()
			for _, h := range histograms[1:] {
				histograms[0].Merge(h)
			}
			claims := float64(next.Load())
			b.ReportMetric(claims/took.Seconds(), "claims/s")
			b.ReportMetric(float64(histograms[0].ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(histograms[0].ValueAtQuantile(99))/1e6, "p99-ms")
			b.ReportMetric(float64(f.bytes()-before)/claims, "disk-B/claim")
		})
	}
}

func claimBatch(conn *rpc.Conn, next *atomic.Uint64, batch int, h *hdrhistogram.Histogram) error {
	var p message.ClaimRequest
	for range batch {
		n := next.Add(1)
		p.Claims = append(p.Claims, message.Claim{Key: statestore.KeyOf("a", fmt.Sprint(n)), Owner: "r1/abc", Attempt: n})
	}
	start := time.Now()
	var v message.ClaimResponse
	if err := conn.Call(context.Background(), message.MethodClaim, p, &v); err != nil {
		return err
	}
	return h.RecordValue(time.Since(start).Nanoseconds())
}

// BenchmarkInForce measures from sending a configuration until every one of
// eight real routers has it in force.
func BenchmarkInForce(b *testing.B) {
	for _, targets := range []int{23, 120, 490, 1470, 4900} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			f := startBench(b, 8)
			conn := f.leader()
			defer conn.Close()
			apply := func(number uint64) time.Duration {
				c := benchConfig(number, targets)
				start := time.Now()
				var a message.ApplyResult
				require.NoError(b, conn.Call(context.Background(), message.MethodApply, message.ApplyRequest{Config: c.JSON(), Wait: true}, &a))
				require.False(b, a.Conflict)
				return time.Since(start)
			}
			apply(1)
			time.Sleep(time.Second) // until all routers have reported
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ResetTimer()
			for i := range b.N {
				require.NoError(b, h.RecordValue(apply(uint64(i)+2).Nanoseconds()))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e6, "p99-ms")
			b.ReportMetric(float64(len(benchConfig(1, targets).JSON())), "config-B")
		})
	}
}

func benchConfig(number uint64, targets int) fleet.Config {
	c := fleet.Config{Number: number}
	accounts := max(16, targets/23)
	for i := range accounts {
		c.Accounts = append(c.Accounts, fleet.Account{Name: fmt.Sprintf("account-%d", i), Share: 1, Keys: []string{fleet.KeyDigest(fmt.Sprint(i))}})
	}
	for i := range targets {
		c.Targets = append(c.Targets, fleet.Target{
			Name: fmt.Sprintf("target-%d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Zone: "z",
			Kind: fleet.TargetEngine, Slots: 8, State: fleet.TargetLive,
		})
	}
	return c
}

// BenchmarkRestart measures loading a keeper's data folder after many changes
// of a configuration of today's size, with and without snapshots.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1000, 5000, 10000, 20000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			folder := filepath.Join(b.TempDir(), "k1")
			writeHistory(b, folder, changes)
			var size int64
			files, err := filepath.Glob(filepath.Join(folder, "*"))
			require.NoError(b, err)
			for _, file := range files {
				info, err := os.Stat(file)
				require.NoError(b, err)
				size += info.Size()
			}
			b.ResetTimer()
			for range b.N {
				j := &journal.Journal{Disk: &journal.RealDisk{Folder: folder}}
				_, err := j.Open()
				require.NoError(b, err)
				_, base, entries := j.Recovered()
				var l statestore.Store
				require.NoError(b, l.Restore(base.Data))
				for _, e := range entries {
					_, err := l.Do(e.Data)
					require.NoError(b, err)
				}
				require.Equal(b, uint64(changes), l.Number())
				require.NoError(b, j.Close())
			}
			b.ReportMetric(float64(size)/1e6, "folder-MB")
		})
	}
}

// writeHistory writes what a keeper writes, with its rule for snapshots, but
// many entries to a sync.
func writeHistory(b testing.TB, folder string, changes int) {
	j := &journal.Journal{Disk: &journal.RealDisk{Folder: folder}}
	_, err := j.Open()
	require.NoError(b, err)
	require.NoError(b, j.SetIdentity(journal.Identity{Name: "k1", ID: "k1-x", Founded: true}))
	var l statestore.Store
	limit, grown := 4<<20, 0
	var batch []quorum.Entry
	for i := range changes {
		cmd := statestore.Command{At: time.Unix(1e9, 0), Apply: &statestore.Apply{Config: benchConfig(uint64(i)+1, 23).JSON(), Operator: "op"}}
		e := quorum.Entry{Index: uint64(i) + 1, Term: 1, Kind: quorum.EntryData, Data: cmd.Encode()}
		_, err := l.Do(e.Data)
		require.NoError(b, err)
		batch = append(batch, e)
		grown += len(e.Data)
		if grown < limit && i < changes-1 && len(batch) < 500 {
			continue
		}
		out := quorum.Output{Append: batch}
		if grown >= limit {
			data, err := l.Snapshot()
			require.NoError(b, err)
			out = quorum.Output{Snapshot: &quorum.Snapshot{Index: e.Index, Term: 1, Data: data}}
			grown = 0
			limit = max(4<<20, 2*len(data))
		}
		require.NoError(b, j.Write(out))
		batch = nil
	}
	require.NoError(b, j.Close())
	require.False(b, strings.Contains(folder, " "))
}
