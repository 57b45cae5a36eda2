package workload

import (
	"maps"
	"slices"
	"strings"
	"time"

	"laburnumfall/internal/admission"
	"laburnumfall/internal/quota"
)

const (
	// without begins the name of a policy that does what routers do but for one mechanism.
	without = PolicyRouter + "-without-"
	// seldom is how often routers hear of each other where they do not hurry.
	seldom = 250 * time.Millisecond
	// usualBack is when any refused caller may come back where aims do not count.
	usualBack = 300 * time.Millisecond
)

// mechanisms are what routers' decisions are made of, each with what leaves it out.
var mechanisms = map[string]func(*routers){
	"brief":  func(p *routers) { p.rules = []admission.Rule{standardRoom} },
	"chance": func(p *routers) { p.certain = true },
	"copies": func(p *routers) { p.copyRate = 0 },
	"intime": func(p *routers) { p.back = always(usualBack) },
	"reach": func(p *routers) {
		p.rules = []admission.Rule{admission.Headroom{Scales: []admission.HeadroomScale{admission.ShrinkByExcess{}}}, admission.ShortWait{}}
	},
	"reports": func(p *routers) { p.period = seldom },
	"room":    func(p *routers) { p.rules = []admission.Rule{admission.ShortWait{}} },
	"shares":  func(p *routers) { p.capacity = 0 },
	"sizes":   func(p *routers) { p.sizes = false },
	"yield": func(p *routers) {
		p.rules = []admission.Rule{admission.Headroom{Scales: []admission.HeadroomScale{admission.GrowByDeficit{}}}, admission.ShortWait{}}
	},
}

var standardRoom = admission.Headroom{Scales: []admission.HeadroomScale{admission.ShrinkByExcess{}, admission.GrowByDeficit{}}}

// Ablations are the policies that leave one mechanism out each, behind the one that leaves
// out none.
func Ablations() []string {
	list := []string{PolicyRouter}
	for _, name := range slices.Sorted(maps.Keys(mechanisms)) {
		list = append(list, without+name)
	}
	return list
}

// ablation returns what routers do without the mechanism that a policy's name tells of.
func ablation(name string) (policy, bool) {
	mechanism, ok := strings.CutPrefix(name, without)
	leaveOut := mechanisms[mechanism]
	if !ok || leaveOut == nil {
		return nil, false
	}
	return &routers{change: leaveOut}, true
}

// always is a time to come back that depends on nothing.
type always time.Duration

var _ admission.RetryPolicy = always(0)

// RetryAfter implements admission.RetryPolicy.
func (a always) RetryAfter(time.Time, *quota.Shares, admission.Request) time.Duration {
	return time.Duration(a)
}
