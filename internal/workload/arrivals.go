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

// An arrival is a request at the time when its caller first sends it.
type arrival struct {
	at             time.Duration // since the start of the run
	kindIndex      int
	account        int
	callerID       uint64 // determines the routers that receive the request and its retries
	parts          []placement.PromptPart
	outputTokens   int
	weightedTokens float64 // prompt tokens plus ten times the output tokens
}

// A generator draws the arrivals of a scenario at random. It has a random source for each kind of
// request, so that a change to one kind does not change the arrivals of another.
type generator struct {
	scenario            Scenario
	random              *rand.Rand
	accountDistribution distuv.Categorical
}

// generateArrivals returns all arrivals of a scenario in order of time.
func generateArrivals(scenario Scenario, seed uint64) []arrival {
	var arrivals []arrival
	for i := range scenario.Kinds {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		gen := &generator{scenario: scenario, random: random, accountDistribution: distuv.NewCategorical(scenario.AccountWeights, random)}
		arrivals = append(arrivals, gen.generate(i)...)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return arrivals
}

// generate draws the arrivals of one kind of request.
func (g *generator) generate(kindIndex int) []arrival {
	kind := g.scenario.Kinds[kindIndex]
	var rankDistributions []distuv.Categorical
	for _, part := range kind.SharedParts {
		weights := make([]float64, part.Count)
		for rank := range weights {
			weights[rank] = math.Pow(float64(rank+1), -part.Skew)
		}
		rankDistributions = append(rankDistributions, distuv.NewCategorical(weights, g.random))
	}
	// Candidates are drawn at the highest possible rate. Each is kept with a probability of the
	// current rate divided by the highest rate.
	maxRate := kind.Rate * g.maxRateFactor()
	interval := distuv.Exponential{Rate: maxRate, Src: g.random}
	var arrivals []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(interval.Rand() * float64(time.Second))
		if at >= time.Duration(g.scenario.Duration) {
			return arrivals
		}
		account, rateFactor := g.drawAccount(at)
		if g.random.Float64()*maxRate > kind.Rate*rateFactor {
			continue
		}
		arrivals = append(arrivals, g.drawArrival(at, kindIndex, account, rankDistributions))
	}
}

// maxRateFactor returns an upper bound of the rate factor that disturbances cause.
func (g *generator) maxRateFactor() float64 {
	bound := 1.0
	for _, disturbance := range g.scenario.Disturbances {
		switch disturbance.Kind {
		case disturbanceBurst:
			bound *= max(disturbance.Factor, 1)
		case disturbanceFlood:
			bound *= max(1+g.accountShare(disturbance.Account)*(disturbance.Factor-1), 1)
		}
	}
	return bound
}

// accountShare returns the fraction of all requests that an account sends outside of floods.
func (g *generator) accountShare(account int) float64 {
	sum := 0.0
	for _, weight := range g.scenario.AccountWeights {
		sum += weight
	}
	return g.scenario.AccountWeights[account%len(g.scenario.AccountWeights)] / sum
}

// drawAccount draws the account of a request. It also returns the factor by which disturbances
// change the request rate at that time.
func (g *generator) drawAccount(at time.Duration) (account int, rateFactor float64) {
	account, rateFactor = int(g.accountDistribution.Rand()), 1
	for _, disturbance := range g.scenario.Disturbances {
		if !disturbance.activeAt(at) {
			continue
		}
		switch disturbance.Kind {
		case disturbanceBurst:
			rateFactor *= disturbance.Factor
		case disturbanceFlood:
			share := g.accountShare(disturbance.Account)
			floodFactor := 1 + share*(disturbance.Factor-1)
			if g.random.Float64() < share*(disturbance.Factor-1)/floodFactor {
				account = disturbance.Account
			}
			rateFactor *= floodFactor
		}
	}
	return account, rateFactor
}

func (g *generator) drawArrival(at time.Duration, kindIndex, account int, rankDistributions []distuv.Categorical) arrival {
	kind := g.scenario.Kinds[kindIndex]
	drawn := arrival{at: at, kindIndex: kindIndex, account: account, callerID: g.random.Uint64()}
	for level, part := range kind.SharedParts {
		rank := int(rankDistributions[level].Rand())
		if g.drawHotSpot(at) {
			rank = 0
		}
		drawn.parts = append(drawn.parts, g.sharedPart(kindIndex, level, rank, part.Tokens))
	}
	unique := placement.PromptPart{ID: g.random.Uint64() | 1, Tokens: g.drawTokens(kind.UniqueTokens, g.random)}
	drawn.parts = append(drawn.parts, unique)
	drawn.outputTokens = g.drawTokens(kind.OutputTokens, g.random)
	for _, part := range drawn.parts {
		drawn.weightedTokens += float64(part.Tokens)
	}
	const outputTokenWeight = 10 // how many prompt tokens an output token counts as
	drawn.weightedTokens += outputTokenWeight * float64(drawn.outputTokens)
	return drawn
}

// drawHotSpot draws whether a request has the most popular shared parts.
func (g *generator) drawHotSpot(at time.Duration) bool {
	for _, disturbance := range g.scenario.Disturbances {
		if disturbance.Kind == disturbanceHot && disturbance.activeAt(at) && g.random.Float64() < disturbance.Fraction {
			return true
		}
	}
	return false
}

// sharedPart returns the shared part of a rank. Its ID and size depend only on the arguments.
func (g *generator) sharedPart(kindIndex, level, rank int, tokens TokenDistribution) placement.PromptPart {
	const kindStride, levelStride = 1 << 20, 1 << 16
	id := uint64(kindIndex+1)*kindStride + uint64(level+1)*levelStride + uint64(rank)
	random := rand.New(rand.NewPCG(id, id))
	return placement.PromptPart{ID: id << 1, Tokens: g.drawTokens(tokens, random)}
}

// drawTokens draws a number of tokens, at least 1.
func (g *generator) drawTokens(distribution TokenDistribution, random *rand.Rand) int {
	tokens := distribution.Mean
	if distribution.LogStdDev > 0 {
		// The mean of a log-normal distribution is exp(mu + sigma^2/2).
		mu := math.Log(distribution.Mean) - distribution.LogStdDev*distribution.LogStdDev/2
		tokens = distuv.LogNormal{Mu: mu, Sigma: distribution.LogStdDev, Src: random}.Rand()
	}
	if distribution.Max > 0 {
		tokens = min(tokens, distribution.Max)
	}
	return max(int(math.Round(tokens)), 1)
}
