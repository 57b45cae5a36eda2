package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

// Grouping is the property by which requests are grouped.
type Grouping string

// The groupings of requests.
const (
	GroupByRoute   Grouping = "route"
	GroupByAccount Grouping = "account"
	GroupBySize    Grouping = "size" // of prompts, within each route
)

// Groupings are all groupings.
var Groupings = []Grouping{GroupByRoute, GroupByAccount, GroupBySize}

// idleLoad is the fraction of a target's slots in use up to which the target counts as idle if its
// queue is empty.
const idleLoad = 0.5

// LossStats are the outcomes of a group of requests, as fractions of their number. A caller's retry after
// a refusal belongs to the same request.
type LossStats struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	// WithinShare is the fraction of requests whose account was within its share at their first
	// arrival.
	WithinShare float64 `json:"within"`
	// OnTime are requests whose first byte came within the latency objective, from the first arrival.
	OnTime float64 `json:"in_aim"`
	// The late answers are divided into those after an earlier refusal, those that were sent although
	// the predicted time to first byte was above the latency objective, and others.
	LateAfterRefusal float64 `json:"back"`
	LateAsPredicted  float64 `json:"foreseen"`
	LateOther        float64 `json:"slow"`
	// RefusedOverShare and RefusedOther are requests whose last attempt was refused: because the
	// account exceeded its share, or for another reason.
	RefusedOverShare float64 `json:"share"`
	RefusedOther     float64 `json:"other"`
	// Failed are requests with an error or a truncated answer, or whose caller left.
	Failed float64 `json:"failed"`
	// RefusedByIdleTarget is the fraction of refused attempts whose chosen target was idle: at most
	// half of its slots were in use and its queue was empty.
	RefusedByIdleTarget float64 `json:"idle"`
}

// outcome is the outcome of the latest attempt of a request.
type outcome uint8

const (
	failed outcome = iota // with an error or a truncated answer, or the caller left
	refusedOverShare
	refusedOther
	onTime
	lateAfterRefusal
	lateAsPredicted
	lateOther
	outcomeCount
)

// callerRequest is a request of a caller with all its attempts.
type callerRequest struct {
	route, account         string
	tokens                 int
	arrival                time.Time // of the first attempt
	withinShare            bool
	outcome                outcome
	refused, refusedByIdle int // numbers of attempts
}

// ReadLossStats reads logs and returns the outcomes of requests by group, sorted by name. Requests of
// routes without a latency objective are left out.
func ReadLossStats(sources []Source, grouping Grouping) ([]LossStats, error) {
	predicted := make(map[string]int64) // time to first byte in ms, by request
	requests := make(map[string]*callerRequest)
	var lines []Line
	for _, source := range sources {
		err := eachLine(source, func(line *Line) {
			switch {
			case line.Message == messageSend:
				predicted[line.Request] = line.PredictedFirstByte
			case line.Message == messageDone && line.LatencyObjective > 0:
				lines = append(lines, *line)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.arrival().Compare(b.arrival()) })
	for i := range lines {
		line := &lines[i]
		request := requests[line.requestKey()]
		if request == nil {
			request = &callerRequest{route: line.Route, account: line.Account, tokens: line.OwnTokens + line.SharedTokens, arrival: line.arrival(), withinShare: line.WithinShare}
			requests[line.requestKey()] = request
		}
		request.add(line, predicted[line.Request])
	}
	return groupLosses(slices.Collect(maps.Values(requests)), grouping), nil
}

// arrival returns the arrival of the request, if the line is about its end.
func (l *Line) arrival() time.Time {
	return l.Time.Add(-time.Duration(l.Duration) * time.Millisecond)
}

// requestKey returns a key that is the same for all attempts of a caller's request. A retry has another
// request ID, so prompts are recognized by their route, account and sizes. Other requests cannot be
// recognized, and each attempt counts as a request.
func (l *Line) requestKey() string {
	if l.OwnTokens+l.SharedTokens == 0 {
		return l.Request
	}
	return fmt.Sprintf("%s/%s/%d/%d", l.Route, l.Account, l.OwnTokens, l.SharedTokens)
}

// add counts an attempt. The predicted time to first byte is in ms.
func (r *callerRequest) add(line *Line, predicted int64) {
	switch {
	case line.Status == http.StatusOK:
		r.outcome = r.answerOutcome(line, predicted)
	case line.Status == http.StatusTooManyRequests || line.Status == http.StatusServiceUnavailable:
		r.refused++
		if line.QueueTime == 0 && line.Load <= idleLoad {
			r.refusedByIdle++
		}
		r.outcome = refusedOther
		if line.Reason == fleet.ReasonOverShare {
			r.outcome = refusedOverShare
		}
	default:
		r.outcome = failed
	}
}

// answerOutcome returns whether an answer was on time and, if not, why.
func (r *callerRequest) answerOutcome(line *Line, predicted int64) outcome {
	waitedBefore := line.arrival().Sub(r.arrival).Milliseconds()
	switch {
	case waitedBefore+line.FirstByte <= line.LatencyObjective:
		return onTime
	case r.refused > 0:
		return lateAfterRefusal
	case predicted > line.LatencyObjective:
		return lateAsPredicted
	default:
		return lateOther
	}
}

// groupLosses groups requests and returns the statistics of each group.
func groupLosses(requests []*callerRequest, grouping Grouping) []LossStats {
	groups := make(map[string][]*callerRequest)
	for _, request := range requests {
		switch grouping {
		case GroupByAccount:
			groups[request.account] = append(groups[request.account], request)
		case GroupByRoute, GroupBySize:
			groups[request.route] = append(groups[request.route], request)
		}
	}
	if grouping == GroupBySize {
		groups = splitBySize(groups)
	}
	losses := make([]LossStats, 0, len(groups))
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		losses = append(losses, lossStats(name, groups[name]))
	}
	return losses
}

// splitBySize splits the requests of each route by the size of their prompts into the largest tenth,
// the next fifth, and the rest.
func splitBySize(routes map[string][]*callerRequest) map[string][]*callerRequest {
	groups := make(map[string][]*callerRequest)
	for route, requests := range routes {
		slices.SortFunc(requests, func(a, b *callerRequest) int {
			return cmp.Or(cmp.Compare(a.tokens, b.tokens), a.arrival.Compare(b.arrival))
		})
		count := len(requests)
		groups[route+" rest"] = requests[:count*7/10]
		groups[route+" fifth"] = requests[count*7/10 : count*9/10]
		groups[route+" largest"] = requests[count*9/10:]
	}
	return groups
}

func lossStats(name string, requests []*callerRequest) LossStats {
	var outcomes [outcomeCount]int
	withinShare, refusedAttempts, refusedByIdle := 0, 0, 0
	for _, request := range requests {
		outcomes[request.outcome]++
		refusedAttempts += request.refused
		refusedByIdle += request.refusedByIdle
		if request.withinShare {
			withinShare++
		}
	}
	fraction := func(n int) float64 { return float64(n) / float64(max(len(requests), 1)) }
	return LossStats{
		Name: name, Requests: len(requests), WithinShare: fraction(withinShare), OnTime: fraction(outcomes[onTime]),
		LateAfterRefusal: fraction(outcomes[lateAfterRefusal]), LateAsPredicted: fraction(outcomes[lateAsPredicted]), LateOther: fraction(outcomes[lateOther]),
		RefusedOverShare: fraction(outcomes[refusedOverShare]), RefusedOther: fraction(outcomes[refusedOther]), Failed: fraction(outcomes[failed]),
		RefusedByIdleTarget: float64(refusedByIdle) / float64(max(refusedAttempts, 1)),
	}
}

// PrintLossStats writes the statistics as a table.
func PrintLossStats(w io.Writer, list []LossStats) error {
	const head = "%-24s %9s %7s %7s | %7s %8s %7s | %7s %7s %7s | %7s\n"
	const row = "%-24s %9d %7.3f %7.3f | %7.3f %8.3f %7.3f | %7.3f %7.3f %7.3f | %7.3f\n"
	if _, err := fmt.Fprintf(w, head, "", "requests", "within", "in aim", "back", "foreseen", "slow", "share", "other", "failed", "idle"); err != nil {
		return fmt.Errorf("print losses: %w", err)
	}
	for _, loss := range list {
		if _, err := fmt.Fprintf(w, row, loss.Name, loss.Requests, loss.WithinShare, loss.OnTime, loss.LateAfterRefusal, loss.LateAsPredicted, loss.LateOther, loss.RefusedOverShare, loss.RefusedOther, loss.Failed, loss.RefusedByIdleTarget); err != nil {
			return fmt.Errorf("print losses: %w", err)
		}
	}
	return nil
}
