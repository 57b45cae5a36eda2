package workload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"laburnumfall/internal/placement"
)

// An arrival is a request as its caller first sends it.
type arrival struct {
	at      time.Duration // since the start
	kind    int
	account int
	caller  uint64 // who sends it: decides through which routers it comes
	parts   []placement.PromptPart
	output  int
	size    float64 // tokens in, and ten times those out
}

// A drawer draws the arrivals of a scenario. Each kind has a source of its own, so that
// what one kind draws does not change another.
type drawer struct {
	scenario Scenario
	random   *rand.Rand
	accounts distuv.Categorical
}

// draw returns all arrivals, in order.
func draw(s Scenario, seed uint64) []arrival {
	var list []arrival
	for i := range s.Kinds {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		d := &drawer{scenario: s, random: random, accounts: distuv.NewCategorical(s.AccountWeights, random)}
		list = append(list, d.kind(i)...)
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return list
}

func (d *drawer) kind(i int) []arrival {
	k := d.scenario.Kinds[i]
	var pickers []distuv.Categorical
	for _, sh := range k.SharedParts {
		weights := make([]float64, sh.Count)
		for r := range weights {
			weights[r] = math.Pow(float64(r+1), -sh.Skew)
		}
		pickers = append(pickers, distuv.NewCategorical(weights, d.random))
	}
	// The fastest rate is drawn, and thinned out to the one of the moment.
	most := k.Rate * d.peak()
	gap := distuv.Exponential{Rate: most, Src: d.random}
	var list []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(gap.Rand() * float64(time.Second))
		if at >= time.Duration(d.scenario.Duration) {
			return list
		}
		account, x := d.account(at)
		if d.random.Float64()*most > k.Rate*x {
			continue
		}
		list = append(list, d.arrival(at, i, account, pickers))
	}
}

// peak bounds how many times as often as usual requests come.
func (d *drawer) peak() float64 {
	peak := 1.0
	for _, t := range d.scenario.Disturbances {
		switch t.Kind {
		case troubleBurst:
			peak *= max(t.Factor, 1)
		case troubleFlood:
			peak *= max(1+d.part(t.Account)*(t.Factor-1), 1)
		}
	}
	return peak
}

// part returns the part of all requests that an account usually sends.
func (d *drawer) part(account int) float64 {
	sum := 0.0
	for _, a := range d.scenario.AccountWeights {
		sum += a
	}
	return d.scenario.AccountWeights[account%len(d.scenario.AccountWeights)] / sum
}

// account draws the account of a request, and returns how many times as often as usual
// requests come at that time.
func (d *drawer) account(at time.Duration) (account int, x float64) {
	account, x = int(d.accounts.Rand()), 1
	for _, t := range d.scenario.Disturbances {
		if !t.active(at) {
			continue
		}
		switch t.Kind {
		case troubleBurst:
			x *= t.Factor
		case troubleFlood:
			part := d.part(t.Account)
			all := 1 + part*(t.Factor-1)
			if d.random.Float64() < part*(t.Factor-1)/all {
				account = t.Account
			}
			x *= all
		}
	}
	return account, x
}

func (d *drawer) arrival(at time.Duration, kind, account int, pickers []distuv.Categorical) arrival {
	k := d.scenario.Kinds[kind]
	a := arrival{at: at, kind: kind, account: account, caller: d.random.Uint64()}
	for level, sh := range k.SharedParts {
		rank := int(pickers[level].Rand())
		if d.hot(at) {
			rank = 0
		}
		a.parts = append(a.parts, d.sharedPart(kind, level, rank, sh.Tokens))
	}
	own := placement.PromptPart{ID: d.random.Uint64() | 1, Tokens: d.size(k.UniqueTokens, d.random)}
	a.parts = append(a.parts, own)
	a.output = d.size(k.OutputTokens, d.random)
	for _, p := range a.parts {
		a.size += float64(p.Tokens)
	}
	const generated = 10 // what a generated token counts in a request's size
	a.size += generated * float64(a.output)
	return a
}

func (d *drawer) hot(at time.Duration) bool {
	for _, t := range d.scenario.Disturbances {
		if t.Kind == troubleHot && t.active(at) && d.random.Float64() < t.Fraction {
			return true
		}
	}
	return false
}

// sharedPart returns a shared part: the same rank always is the same part.
func (d *drawer) sharedPart(kind, level, rank int, size TokenDistribution) placement.PromptPart {
	const kinds, levels = 1 << 20, 1 << 16
	id := uint64(kind+1)*kinds + uint64(level+1)*levels + uint64(rank)
	own := rand.New(rand.NewPCG(id, id))
	return placement.PromptPart{ID: id << 1, Tokens: d.size(size, own)}
}

func (d *drawer) size(s TokenDistribution, random *rand.Rand) int {
	value := s.Mean
	if s.LogStdDev > 0 {
		// The mean of a log-normal distribution is exp(mu + sigma^2/2).
		mu := math.Log(s.Mean) - s.LogStdDev*s.LogStdDev/2
		value = distuv.LogNormal{Mu: mu, Sigma: s.LogStdDev, Src: random}.Rand()
	}
	if s.Max > 0 {
		value = min(value, s.Max)
	}
	return max(int(math.Round(value)), 1)
}
