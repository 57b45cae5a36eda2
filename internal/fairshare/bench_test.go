package fairshare

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// scale is the size of a fleet. A tenth of the accounts is backlogged.
type scale struct {
	routers, targets, accounts, models int
}

// scales are the sizes over which growth rates are fitted, from that of the present fleet to the
// largest planned one.
var scales = []scale{
	{routers: 8, targets: 23, accounts: 16, models: 2},
	{routers: 120, targets: 300, accounts: 40, models: 4},
	{routers: 475, targets: 1225, accounts: 105, models: 7},
	{routers: 950, targets: 2450, accounts: 210, models: 7},
	{routers: 1900, targets: 4900, accounts: 210, models: 7},
}

const (
	slotsPerTarget = 8
	// backloggedPerRouter is how many of the backlogged accounts wait in one router.
	backloggedPerRouter = 5
)

func (s scale) String() string {
	return fmt.Sprintf("routers=%d", s.routers)
}

func (s scale) config() fleet.Config {
	config := fleet.Config{Number: 1}
	for i := range s.models {
		config.Events = append(config.Events, fleet.Event{Name: fmt.Sprintf("model-%d", i)})
	}
	for i := range s.accounts {
		name := fmt.Sprintf("account-%03d", i)
		config.Accounts = append(config.Accounts, fleet.Account{Name: name, Share: 1 + float64(i%5)})
		config.Events[i%s.models].Accounts = append(config.Events[i%s.models].Accounts, name)
	}
	for i := range s.targets {
		name := fmt.Sprintf("target-%04d", i)
		config.Targets = append(config.Targets, fleet.Target{Name: name, Zone: fleet.Zone(fmt.Sprint(i % 7)), Slots: slotsPerTarget, State: fleet.TargetLive})
		config.Events[i%s.models].Targets = append(config.Events[i%s.models].Targets, name)
	}
	return config
}

// newFleet returns a divider that has handled reports of every router, the last report, and the
// last grant.
func newFleet(size scale, now time.Time) (*Divider, message.Report, message.Grant) {
	config := size.config()
	d := &Divider{Term: 1, Blank: true}
	d.Start(now)
	d.SetConfig(now, config, config.JSON())
	held := make(map[string][]message.SlotGrant)
	var report message.Report
	var grant message.Grant
	for round := range uint64(4) {
		at := now.Add(time.Duration(round) * 200 * time.Millisecond)
		for i := range size.routers {
			report = size.report(i, round, held[fmt.Sprint(i)], at)
			d.HandleReport(at, report)
		}
		d.Tick(at.Add(DivideInterval))
		for _, routerGrant := range d.TakeGrants() {
			var i int
			_, _ = fmt.Sscanf(routerGrant.Router, "router-%d", &i) // the name has this format
			held[fmt.Sprint(i)] = routerGrant.Grant.Slots
			grant = routerGrant.Grant
		}
	}
	return d, report, grant
}

func (s scale) report(routerIndex int, round uint64, slots []message.SlotGrant, at time.Time) message.Report {
	report := message.Report{
		Router: fmt.Sprintf("router-%04d", routerIndex), Zone: fleet.Zone(fmt.Sprint(routerIndex % 7)), Incarnation: 1, Full: true,
		Seq: round + 1, SentAt: at, Term: 1, AckSeq: 100 * round, Number: 1,
	}
	backlogged := max(1, s.accounts/10)
	for offset := range min(backloggedPerRouter, backlogged) {
		account := (routerIndex + offset) % backlogged
		report.Queues = append(report.Queues, message.QueueLength{
			Account: fmt.Sprintf("account-%03d", account), Event: fmt.Sprintf("model-%d", account%s.models), Waiting: 5 + (routerIndex+offset)%20,
		})
	}
	for offset := range 20 {
		account := (routerIndex*7 + offset) % s.accounts
		report.Usage = append(report.Usage, message.Usage{
			Account: fmt.Sprintf("account-%03d", account), Served: float64(round*100 + uint64(offset)), Settled: round * 5, EstimatedCost: 40, Running: 1,
		})
	}
	for _, slot := range slots {
		report.Slots = append(report.Slots, message.SlotUsage{Target: slot.Target, Limit: slot.Count, InUse: slot.Count})
	}
	return report
}

func BenchmarkDivision(b *testing.B) {
	for _, size := range scales {
		b.Run(size.String(), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			d, report, grant := newFleet(size, now)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				at := now.Add(time.Second + time.Duration(i)*time.Millisecond)
				d.refreshTotals(at)
				d.divide(at)
				d.grants = nil
			}
			b.ReportMetric(float64(jsonSize(b, report)), "report-B")
			b.ReportMetric(float64(jsonSize(b, grant)), "grant-B")
		})
	}
}

// BenchmarkReport measures the handling of one report by the leader, including decoding.
func BenchmarkReport(b *testing.B) {
	for _, size := range scales {
		b.Run(size.String(), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			d, report, _ := newFleet(size, now)
			data, err := json.Marshal(report)
			require.NoError(b, err)
			d.lastDivision = now.Add(time.Hour) // prevents divisions
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				var report message.Report
				require.NoError(b, json.Unmarshal(data, &report))
				report.Seq = uint64(100 + i)
				d.HandleReport(now.Add(time.Second), report)
				for _, routerGrant := range d.TakeGrants() {
					jsonSize(b, routerGrant.Grant)
				}
			}
		})
	}
}

func BenchmarkChoice(b *testing.B) {
	for _, accounts := range []int{2, 5, 21, 210} {
		b.Run(fmt.Sprintf("backlogged=%d", accounts), func(b *testing.B) {
			var q Queues
			now := time.Unix(1e9, 0)
			id := uint64(0)
			push := func(account string) {
				id++
				err := q.Push(&Item{ID: id, Account: account, Event: "e", ServeBy: now.Add(time.Duration(id))})
				require.NoError(b, err)
			}
			for i := range accounts {
				for range 20 {
					push(fmt.Sprintf("account-%03d", i))
				}
			}
			hasFreeSlot := func(string) bool { return true }
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				item, _ := q.PopNext(now, hasFreeSlot)
				q.Settle(item, 10)
				push(item.Account)
			}
		})
	}
}

func jsonSize(t require.TestingT, v any) int {
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return len(data)
}

// BenchmarkLeaderMemory measures the memory of a leader's state of the fleet.
func BenchmarkLeaderMemory(b *testing.B) {
	for _, size := range scales {
		b.Run(size.String(), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d, _, _ := newFleet(size, time.Unix(1e9, 0))
			runtime.GC()
			runtime.ReadMemStats(&after)
			for range b.N {
				d.ServiceGap()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
		})
	}
}
