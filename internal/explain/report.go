package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// window is how long before and after a request other requests are counted. A router's decisions
	// depend on its observations of the last seconds.
	window = 3 * time.Second
	// maxKinds bounds how many kinds of state lines are kept for each process.
	maxKinds = 64
	// maxOtherStateLines bounds the kept lines of other processes.
	maxOtherStateLines = 20
)

// A RequestReport is what the logs contain about one request. State lines are those that belong to no
// request.
type RequestReport struct {
	ID string
	// Lines are the lines of the request, in order of time.
	Lines []Line
	// LastStateLines show the state of the processes that handled the request: the last state line of
	// each kind before the request's end.
	LastStateLines []Line `json:"Known"`
	// LifecycleLines are the lines of these processes' starts and stops, in order of time.
	LifecycleLines []Line `json:"Lives"`
	// OtherStateLines are state lines of other processes within the time window around the request,
	// up to maxOtherStateLines.
	OtherStateLines []Line `json:"Elsewhere"`
	// Dropped is how many lines within the window report that lines were dropped.
	Dropped int
	// TargetAttempts counts the attempts of all requests within the window at each target that this
	// request was sent to.
	TargetAttempts map[Incarnation]AttemptCounts `json:"Targets"`
	// TargetStarts holds the latest known start of each of these targets by ID, in Unix milliseconds.
	TargetStarts map[string]int64 `json:"Starts"`
	// PoolAttempts counts the attempts within the window at all targets of this request's pool.
	PoolAttempts AttemptCounts `json:"Pool"`
	// AccountReasons counts the requests of this request's account that ended within the window.
	AccountReasons ReasonCounts `json:"Account"`
	// SameProcessReasons counts the requests that ended within the window at the processes of this
	// request, and OtherProcessReasons those at all other processes.
	SameProcessReasons  ReasonCounts `json:"Around"`
	OtherProcessReasons ReasonCounts `json:"Others"`
}

// An Incarnation identifies a target between two of its starts.
type Incarnation fleet.Incarnation

// String returns the ID, and the start time if it is known.
func (i Incarnation) String() string {
	if i.StartMillis == 0 {
		return i.ID
	}
	return fmt.Sprintf("%s (started %s)", i.ID, formatStart(i.StartMillis))
}

// MarshalText implements encoding.TextMarshaler, since incarnations are map keys in a report's JSON.
func (i Incarnation) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// AttemptCounts counts attempts by their result.
type AttemptCounts map[fleet.AttemptResult]int

// Total returns the number of all attempts.
func (c AttemptCounts) Total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

// ReasonCounts counts requests by the reason of their end.
type ReasonCounts map[fleet.Reason]int

// Total returns the number of all requests.
func (c ReasonCounts) Total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

// An UnknownRequestError means that the logs contain no line about the request.
type UnknownRequestError struct{ ID string }

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line names request %s: give the logs of all routers of that time, and look for lines that were dropped", e.ID)
}

// Find returns the report about one request. It reads every log twice, so that it need not keep all
// lines in memory. If there is no line about the request, it returns an *UnknownRequestError.
func Find(id string, sources []Source) (*RequestReport, error) {
	report := &RequestReport{ID: id, TargetAttempts: map[Incarnation]AttemptCounts{}, TargetStarts: map[string]int64{}, PoolAttempts: AttemptCounts{}, AccountReasons: ReasonCounts{}, SameProcessReasons: ReasonCounts{}, OtherProcessReasons: ReasonCounts{}}
	for _, source := range sources {
		if err := eachLine(source, report.addOwnLine); err != nil {
			return nil, err
		}
	}
	if len(report.Lines) == 0 {
		return nil, &UnknownRequestError{ID: id}
	}
	slices.SortStableFunc(report.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	pass := report.newSecondPass()
	for _, source := range sources {
		if err := eachLine(source, pass.addLine); err != nil {
			return nil, err
		}
	}
	report.LastStateLines = pass.sortedLastLines()
	slices.SortStableFunc(report.OtherStateLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(report.LifecycleLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return report, nil
}

// End returns the line of the request's end, or nil.
func (r *RequestReport) End() *Line {
	for i := len(r.Lines) - 1; i >= 0; i-- {
		switch r.Lines[i].Message {
		case messageDone, messageRefuse, messageEnd:
			return &r.Lines[i]
		default:
		}
	}
	return nil
}

// Arrived returns the approximate arrival of the request: the earliest time of a line minus its
// duration.
func (r *RequestReport) Arrived() time.Time {
	earliest := r.Lines[0].Time
	for _, line := range r.Lines {
		if arrival := line.Time.Add(-time.Duration(line.Duration) * time.Millisecond); arrival.Before(earliest) {
			earliest = arrival
		}
	}
	return earliest
}

// Last returns the line of the last attempt, or nil.
func (r *RequestReport) Last() *Line {
	for i := len(r.Lines) - 1; i >= 0; i-- {
		if r.Lines[i].Message == messageSend {
			return &r.Lines[i]
		}
	}
	return nil
}

// addOwnLine keeps a line if it is about the request.
func (r *RequestReport) addOwnLine(line *Line) {
	if line.Request == r.ID {
		r.Lines = append(r.Lines, *line)
	}
}

// secondPass is the state of the second read of the logs. The processes, the account, the pool and the
// time window of the request are known from the first.
type secondPass struct {
	report    *RequestReport
	from, to  time.Time
	processes map[string]bool
	account   string
	pool      string
	lastLines map[string]map[string]Line // by process and message
}

func (r *RequestReport) newSecondPass() *secondPass {
	pass := &secondPass{report: r, processes: map[string]bool{}, lastLines: map[string]map[string]Line{}}
	pass.from, pass.to = r.Arrived().Add(-window), r.Lines[len(r.Lines)-1].Time.Add(window)
	for _, line := range r.Lines {
		pass.processes[line.Process] = true
		pass.account = cmp.Or(pass.account, line.Account)
		pass.pool = cmp.Or(pass.pool, line.Pool)
		if line.Target != "" {
			r.TargetAttempts[line.targetIncarnation()] = AttemptCounts{}
			r.TargetStarts[line.Target] = max(r.TargetStarts[line.Target], line.TargetStart)
		}
	}
	return pass
}

// addLine counts a line of another request within the window, or keeps a state line.
func (p *secondPass) addLine(line *Line) {
	if line.Request == "" {
		p.addStateLine(line)
		return
	}
	if line.Time.Before(p.from) || line.Time.After(p.to) {
		return
	}
	switch line.Message {
	case messageSend:
		result := line.Result
		if result == fleet.AttemptAnswered && line.Status >= firstServerError {
			result = fleet.AttemptTargetFailed
		}
		if line.Pool == p.pool {
			p.report.PoolAttempts[result]++
		}
		if counts, ok := p.report.TargetAttempts[line.targetIncarnation()]; ok {
			counts[result]++
		}
		if start, ok := p.report.TargetStarts[line.Target]; ok {
			p.report.TargetStarts[line.Target] = max(start, line.TargetStart)
		}
	case messageDone:
		if p.account != "" && line.Account == p.account {
			p.report.AccountReasons[line.Reason]++
		}
		reasons := p.report.OtherProcessReasons
		if p.processes[line.Process] {
			reasons = p.report.SameProcessReasons
		}
		reasons[line.Reason]++
	}
}

// addStateLine keeps the line if it is the last one of its kind before the request's end.
func (p *secondPass) addStateLine(line *Line) {
	if !p.processes[line.Process] {
		p.addOtherStateLine(line)
		return
	}
	p.report.addLifecycleLine(line)
	if line.Message == messageDropped && !line.Time.Before(p.from) && !line.Time.After(p.to) {
		p.report.Dropped++
	}
	if line.Time.After(p.to.Add(-window)) {
		return
	}
	lastLines := p.lastLines[line.Process]
	if lastLines == nil {
		lastLines = map[string]Line{}
		p.lastLines[line.Process] = lastLines
	}
	if previous, ok := lastLines[line.Message]; (ok || len(lastLines) < maxKinds) && !line.Time.Before(previous.Time) {
		lastLines[line.Message] = *line
	}
}

// addOtherStateLine keeps a state line of another process if it is within the window.
func (p *secondPass) addOtherStateLine(line *Line) {
	if len(p.report.OtherStateLines) < maxOtherStateLines && !line.Time.Before(p.from) && !line.Time.After(p.to) {
		p.report.OtherStateLines = append(p.report.OtherStateLines, *line)
	}
}

// sortedLastLines returns the kept state lines in order of time.
func (p *secondPass) sortedLastLines() []Line {
	var all []Line
	for _, ofProcess := range p.lastLines {
		for _, line := range ofProcess {
			all = append(all, line)
		}
	}
	slices.SortFunc(all, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Message, b.Message))
	})
	return all
}
