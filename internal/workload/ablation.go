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
	// withoutPrefix begins the names of policies that disable one mechanism of the router policy.
	withoutPrefix = PolicyRouter + "-without-"
	// slowReportPeriod is how often routers report their load if fast reports are disabled.
	slowReportPeriod = 250 * time.Millisecond
	// fixedRetryAfter is the Retry-After time of all refusals if it does not depend on the
	// latency objective.
	fixedRetryAfter = 300 * time.Millisecond
)

// mechanismDisablers maps the name of each mechanism of the router policy to a function that
// disables it.
var mechanismDisablers = map[string]func(*routerPolicy){
	// without the rule ShortWait
	"brief":  func(p *routerPolicy) { p.rules = []admission.Rule{standardHeadroom} },
	"chance": func(p *routerPolicy) { p.noJitter = true },
	"copies": func(p *routerPolicy) { p.copyRate = 0 },
	"intime": func(p *routerPolicy) { p.retryPolicy = constantRetryAfter(fixedRetryAfter) },
	// without GrowByDeficit
	"reach": func(p *routerPolicy) {
		p.rules = []admission.Rule{admission.Headroom{Scales: []admission.HeadroomScale{admission.ShrinkByExcess{}}}, admission.ShortWait{}}
	},
	"reports": func(p *routerPolicy) { p.reportPeriod = slowReportPeriod },
	// without the rule Headroom
	"room":   func(p *routerPolicy) { p.rules = []admission.Rule{admission.ShortWait{}} },
	"shares": func(p *routerPolicy) { p.capacity = 0 },
	"sizes":  func(p *routerPolicy) { p.sizeFairness = false },
	// without ShrinkByExcess
	"yield": func(p *routerPolicy) {
		p.rules = []admission.Rule{admission.Headroom{Scales: []admission.HeadroomScale{admission.GrowByDeficit{}}}, admission.ShortWait{}}
	},
}

var standardHeadroom = admission.Headroom{Scales: []admission.HeadroomScale{admission.ShrinkByExcess{}, admission.GrowByDeficit{}}}

// Ablations returns the name of the router policy, followed by the names of the policies that
// disable one of its mechanisms each.
func Ablations() []string {
	policies := []string{PolicyRouter}
	for _, name := range slices.Sorted(maps.Keys(mechanismDisablers)) {
		policies = append(policies, withoutPrefix+name)
	}
	return policies
}

// ablationPolicy returns the router policy without the mechanism that the policy name gives. It
// returns false if there is no such mechanism.
func ablationPolicy(name string) (policy, bool) {
	mechanism, ok := strings.CutPrefix(name, withoutPrefix)
	disable := mechanismDisablers[mechanism]
	if !ok || disable == nil {
		return nil, false
	}
	return &routerPolicy{ablate: disable}, true
}

// constantRetryAfter is a Retry-After time that does not depend on the request or the load.
type constantRetryAfter time.Duration

var _ admission.RetryPolicy = constantRetryAfter(0)

// RetryAfter implements admission.RetryPolicy.
func (c constantRetryAfter) RetryAfter(time.Time, *quota.Shares, admission.Request) time.Duration {
	return time.Duration(c)
}
