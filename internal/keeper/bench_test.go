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

// A benchFleet is a group of three keepers with real disks, and routers, in this process over the
// loopback interface.
type benchFleet struct {
	tb        testing.TB
	dir       string
	addresses []string
	secret    []byte
}

func freeAddress(b testing.TB) string {
	address, err := standin.FreeAddress()
	require.NoError(b, err)
	return address
}

func startBenchFleet(b testing.TB, routers int) *benchFleet {
	f := &benchFleet{tb: b, dir: b.TempDir(), secret: []byte("0123456789abcdef")}
	secret := filepath.Join(f.dir, "secret")
	require.NoError(b, os.WriteFile(secret, f.secret, 0o600))
	var peers []string
	for i := range 3 {
		f.addresses = append(f.addresses, freeAddress(b))
		peers = append(peers, fmt.Sprintf("k%d=%s", i+1, f.addresses[i]))
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	log := hclog.NewNullLogger()
	for i := range 3 {
		name := fmt.Sprintf("k%d", i+1)
		k := &keeper.Keeper{
			Settings: settings.Keeper{Name: name, Zone: "z", Listen: f.addresses[i], Admin: freeAddress(b), Data: f.dir, Peers: peers, Secret: secret},
			Log:      log, Clock: clock.NewRealClock(), Disk: &journal.RealDisk{Folder: filepath.Join(f.dir, name)}, Init: true,
		}
		group.Go(func() error { return k.Run(ctx) })
	}
	for i := range routers {
		r := &router.Router{
			Settings: settings.Router{Name: fmt.Sprintf("r%d", i+1), Zone: "z", Listen: freeAddress(b), Admin: freeAddress(b), Keepers: f.addresses, Secret: secret},
			Log:      log, Clock: clock.NewRealClock(),
		}
		group.Go(func() error { return r.Run(ctx) })
	}
	b.Cleanup(func() {
		cancel()
		require.NoError(b, group.Wait())
	})
	return f
}

// noopHandler ignores the calls and notices of a keeper.
type noopHandler struct{}

// Call implements rpc.Handler.
func (noopHandler) Call(context.Context, *rpc.Conn, string, json.RawMessage) (any, error) {
	return nil, nil
}

// Notice implements rpc.Handler.
func (noopHandler) Notice(*rpc.Conn, string, json.RawMessage) {}

// leader returns a connection to the leader.
func (f *benchFleet) leader() *rpc.Conn {
	for range 400 {
		for _, address := range f.addresses {
			var counter rpc.Counter
			conn, err := rpc.Dial(context.Background(), address, "bench", f.secret, noopHandler{}, &counter)
			if err != nil {
				continue
			}
			var status message.Status
			if err := conn.Call(context.Background(), message.MethodStatus, struct{}{}, &status); err == nil {
				return conn
			}
			conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(f.tb, "no leader")
	return nil
}

func (f *benchFleet) dataDirBytes() int64 {
	var total int64
	files, err := filepath.Glob(filepath.Join(f.dir, "k1", "*"))
	require.NoError(f.tb, err)
	for _, file := range files {
		info, err := os.Stat(file)
		require.NoError(f.tb, err)
		total += info.Size()
	}
	return total
}

// BenchmarkClaims measures claims on a group of three keepers with real syncs. Each caller acts
// as a router that has one call with a batch of claims in flight.
func BenchmarkClaims(b *testing.B) {
	for _, load := range []struct{ callers, batch int }{{1, 1}, {8, 1}, {8, 8}, {8, 32}, {8, 128}} {
		b.Run(fmt.Sprintf("callers=%d/batch=%d", load.callers, load.batch), func(b *testing.B) {
			f := startBenchFleet(b, 0)
			conn := f.leader()
			defer conn.Close()
			before := f.dataDirBytes()
			var next atomic.Uint64
			histograms := make([]*hdrhistogram.Histogram, load.callers)
			b.ResetTimer()
			start := time.Now()
			var group errgroup.Group
			for i := range load.callers {
				histograms[i] = hdrhistogram.New(1, int64(time.Minute), 3)
				group.Go(func() error {
					for range b.N / load.callers {
						if err := claimBatch(conn, &next, load.batch, histograms[i]); err != nil {
							return err
						}
					}
					return nil
				})
			}
			require.NoError(b, group.Wait())
			took := time.Since(start)
			b.StopTimer()
			for _, histogram := range histograms[1:] {
				histograms[0].Merge(histogram)
			}
			claims := float64(next.Load())
			b.ReportMetric(claims/took.Seconds(), "claims/s")
			b.ReportMetric(float64(histograms[0].ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(histograms[0].ValueAtQuantile(99))/1e6, "p99-ms")
			b.ReportMetric(float64(f.dataDirBytes()-before)/claims, "disk-B/claim")
		})
	}
}

func claimBatch(conn *rpc.Conn, next *atomic.Uint64, batch int, histogram *hdrhistogram.Histogram) error {
	var request message.ClaimRequest
	for range batch {
		number := next.Add(1)
		request.Claims = append(request.Claims, message.Claim{Key: statestore.HashKey("a", fmt.Sprint(number)), Owner: "r1/abc", Attempt: number})
	}
	start := time.Now()
	var response message.ClaimResponse
	if err := conn.Call(context.Background(), message.MethodClaim, request, &response); err != nil {
		return err
	}
	return histogram.RecordValue(time.Since(start).Nanoseconds())
}

// BenchmarkInForce measures the time from sending a configuration until each of eight real
// routers has it in force.
func BenchmarkInForce(b *testing.B) {
	for _, targets := range []int{23, 120, 490, 1470, 4900} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			f := startBenchFleet(b, 8)
			conn := f.leader()
			defer conn.Close()
			apply := func(number uint64) time.Duration {
				config := benchConfig(number, targets)
				start := time.Now()
				var result message.ApplyResult
				require.NoError(b, conn.Call(context.Background(), message.MethodApply, message.ApplyRequest{Config: config.JSON(), Wait: true}, &result))
				require.False(b, result.Conflict)
				return time.Since(start)
			}
			apply(1)
			time.Sleep(time.Second) // until all routers have reported
			histogram := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ResetTimer()
			for i := range b.N {
				require.NoError(b, histogram.RecordValue(apply(uint64(i)+2).Nanoseconds()))
			}
			b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e6, "p99-ms")
			b.ReportMetric(float64(len(benchConfig(1, targets).JSON())), "config-B")
		})
	}
}

func benchConfig(number uint64, targets int) fleet.Config {
	config := fleet.Config{Number: number}
	accounts := max(16, targets/23)
	for i := range accounts {
		config.Accounts = append(config.Accounts, fleet.Account{Name: fmt.Sprintf("account-%d", i), Share: 1, Keys: []string{fleet.KeyDigest(fmt.Sprint(i))}})
	}
	for i := range targets {
		config.Targets = append(config.Targets, fleet.Target{
			Name: fmt.Sprintf("target-%d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Zone: "z",
			Kind: fleet.TargetEngine, Slots: 8, State: fleet.TargetLive,
		})
	}
	return config
}

// BenchmarkRestart measures loading a keeper's data folder after many changes of a configuration
// with 23 targets, with and without snapshots.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1000, 5000, 10000, 20000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			dir := filepath.Join(b.TempDir(), "k1")
			writeHistory(b, dir, changes)
			var size int64
			files, err := filepath.Glob(filepath.Join(dir, "*"))
			require.NoError(b, err)
			for _, file := range files {
				info, err := os.Stat(file)
				require.NoError(b, err)
				size += info.Size()
			}
			b.ResetTimer()
			for range b.N {
				wal := &journal.Journal{Disk: &journal.RealDisk{Folder: dir}}
				_, err := wal.Open()
				require.NoError(b, err)
				_, snapshot, entries := wal.Recovered()
				var store statestore.Store
				require.NoError(b, store.Restore(snapshot.Data))
				for _, entry := range entries {
					_, err := store.ApplyCommand(entry.Data)
					require.NoError(b, err)
				}
				require.Equal(b, uint64(changes), store.ConfigNumber())
				require.NoError(b, wal.Close())
			}
			b.ReportMetric(float64(size)/1e6, "folder-MB")
		})
	}
}

// writeHistory writes the data folder of a keeper with the same rule for snapshots, but with many
// entries per sync.
func writeHistory(b testing.TB, dir string, changes int) {
	wal := &journal.Journal{Disk: &journal.RealDisk{Folder: dir}}
	_, err := wal.Open()
	require.NoError(b, err)
	require.NoError(b, wal.SetIdentity(journal.Identity{Name: "k1", ID: "k1-x", Founded: true}))
	var store statestore.Store
	compactThreshold, logBytes := 4<<20, 0
	var batch []quorum.Entry
	for i := range changes {
		command := statestore.Command{ProposedAt: time.Unix(1e9, 0), ConfigUpdate: &statestore.ConfigUpdate{Config: benchConfig(uint64(i)+1, 23).JSON(), Operator: "op"}}
		entry := quorum.Entry{Index: uint64(i) + 1, Term: 1, Kind: quorum.EntryData, Data: command.Encode()}
		_, err := store.ApplyCommand(entry.Data)
		require.NoError(b, err)
		batch = append(batch, entry)
		logBytes += len(entry.Data)
		if logBytes < compactThreshold && i < changes-1 && len(batch) < 500 {
			continue
		}
		output := quorum.Output{Append: batch}
		if logBytes >= compactThreshold {
			data, err := store.Snapshot()
			require.NoError(b, err)
			output = quorum.Output{Snapshot: &quorum.Snapshot{Index: entry.Index, Term: 1, Data: data}}
			logBytes = 0
			compactThreshold = max(4<<20, 2*len(data))
		}
		require.NoError(b, wal.Write(output))
		batch = nil
	}
	require.NoError(b, wal.Close())
	require.False(b, strings.Contains(dir, " "))
}
