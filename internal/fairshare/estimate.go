package fairshare

// queue is the waiting work of an account for one event.
type queue struct {
	event string
	items itemHeap
	cost  float64 // mean cost of a request, once one was learned
	ratio float64 // mean of cost over hint
	known int     // requests learned from, up to learnSteady
	// How far off the mean and the hints were, as mean squares.
	meanError float64
	hintError float64
}

func (s *served) queue(event string) *queue {
	for _, q := range s.queues {
		if q.event == event {
			return q
		}
	}
	q := &queue{event: event}
	s.queues = append(s.queues, q)
	return q
}

// estimate returns the cost to be expected: the mean of such requests, or of
// all that the router served as long as there were none. A hint counts by how
// costs related to hints before, within bounds, and only while hints have come
// closer than the mean: a hint that is wrong by ten times is worse than none.
func (e *queue) estimate(hint, overall float64) float64 {
	if e.known == 0 {
		return max(overall, 1)
	}
	if hint <= 0 || e.ratio == 0 || e.hintError >= e.meanError {
		return e.cost
	}
	return e.fromHint(hint)
}

func (e *queue) fromHint(hint float64) float64 {
	return min(max(hint*e.ratio, e.cost/hintSpan), e.cost*hintSpan)
}

// learnSteady is the number of requests after which each newer one counts by
// estimateGain; before, all count alike.
const learnSteady = 1 / estimateGain

func (e *queue) learn(hint, cost float64) {
	e.known = min(e.known+1, learnSteady)
	gain := 1 / float64(e.known)
	if hint > 0 && e.known > 1 {
		byMean, byHint := cost-e.cost, cost-e.fromHint(hint)
		e.meanError += gain * (byMean*byMean - e.meanError)
		e.hintError += gain * (byHint*byHint - e.hintError)
	}
	e.cost += gain * (cost - e.cost)
	if hint > 0 {
		e.ratio += gain * (cost/hint - e.ratio)
	}
}
