package fairshare

// eventQueue is the waiting requests of an account for one event, with the statistics of their
// cost.
type eventQueue struct {
	event       string
	items       itemHeap
	meanCost    float64 // moving average of the cost, once a request has ended
	costPerHint float64 // moving average of cost over hint
	samples     int     // number of recorded costs, up to steadySamples
	// Mean squared errors of predictions by the mean and by the hints.
	meanSquaredError float64
	hintSquaredError float64
}

func (a *localAccount) queue(event string) *eventQueue {
	for _, queue := range a.queues {
		if queue.event == event {
			return queue
		}
	}
	queue := &eventQueue{event: event}
	a.queues = append(a.queues, queue)
	return queue
}

// estimate returns the expected cost: the mean of earlier requests of this kind, or overallMean
// while there are none. A hint is scaled by how costs related to hints before and is bounded. It
// counts only while hints predict better than the mean: a hint that is wrong by ten times is worse
// than none.
func (q *eventQueue) estimate(hint, overallMean float64) float64 {
	if q.samples == 0 {
		return max(overallMean, 1)
	}
	if hint <= 0 || q.costPerHint == 0 || q.hintSquaredError >= q.meanSquaredError {
		return q.meanCost
	}
	return q.fromHint(hint)
}

func (q *eventQueue) fromHint(hint float64) float64 {
	return min(max(hint*q.costPerHint, q.meanCost/maxHintFactor), q.meanCost*maxHintFactor)
}

// steadySamples is the number of requests after which each newer one counts by costWeight. Before,
// all count equally.
const steadySamples = 1 / costWeight

func (q *eventQueue) recordCost(hint, cost float64) {
	q.samples = min(q.samples+1, steadySamples)
	weight := 1 / float64(q.samples)
	if hint > 0 && q.samples > 1 {
		meanError, hintError := cost-q.meanCost, cost-q.fromHint(hint)
		q.meanSquaredError += weight * (meanError*meanError - q.meanSquaredError)
		q.hintSquaredError += weight * (hintError*hintError - q.hintSquaredError)
	}
	q.meanCost += weight * (cost - q.meanCost)
	if hint > 0 {
		q.costPerHint += weight * (cost/hint - q.costPerHint)
	}
}
