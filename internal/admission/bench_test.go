package admission

import (
	"fmt"
	"testing"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

// BenchmarkDecide measures a complete decision on a request over its account's share, as routers
// make it: a choice among all targets, the rules, and the end of the attempt.
func BenchmarkDecide(b *testing.B) {
	for _, targets := range []int{9, 165} {
		b.Run(fmt.Sprintf("%d targets", targets), func(b *testing.B) {
			controller := NewController(&placement.Placer{Routers: 8}, &quota.Shares{Capacity: 1000})
			controller.Placer.SetPools(map[string]fleet.Pool{"p": {Engine: &fleet.Engine{CopyRate: 500}}})
			list := make([]fleet.Instance, targets)
			for i := range list {
				list[i] = fleet.Instance{Incarnation: fleet.Incarnation{ID: fmt.Sprint("t", i)}, Pool: "p", Slots: 64}
			}
			controller.Placer.SetTargets(start, list)
			controller.Shares.SetFleetDemand([]message.Demand{{Account: "x", Rate: 9000, Served: 900}, {Account: "other", Rate: 900, Served: 300}})
			r := request(100)
			r.Placement.Parts = []placement.PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 100}}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				r.Deadline = now.Add(route.Timeout)
				if choice, refusal := controller.Decide(now, r); refusal == nil {
					controller.Placer.RecordFirstByte(now, choice)
					controller.Placer.EndAttempt(now, choice, placement.Canceled)
				}
			}
		})
	}
}
