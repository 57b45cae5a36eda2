package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// around is how long before and after a request other requests are counted: the
	// decisions of a router rest on what it saw in the last seconds.
	around = 3 * time.Second
	// kinds bounds how many kinds of beliefs are kept for each process.
	kinds = 64
	// elsewhere bounds the lines of other processes.
	elsewhere = 20
)

// A Story is what the logs say of one request.
type RequestReport struct {
	ID string
	// Lines are the request's own, in order of time.
	Lines []Line
	// Known are what the request's processes believed: the last line of each kind
	// before the request's end.
	Known []Line
	// Lives are the lines of its processes' starts and ends, in order of time.
	Lives []Line
	// Elsewhere is what other processes came to believe around the request: as many
	// lines as fit.
	Elsewhere []Line
	// Dropped is how many lines around the request say that others were dropped.
	Dropped int
	// Targets counts the attempts of all requests around this one, at each target
	// that this one was sent to.
	Targets map[Incarnation]AttemptCounts
	// Starts holds the latest start of each of these targets that any line tells, by ID.
	Starts map[string]int64
	// Pool counts them in the pool of this one, whichever the target.
	Pool AttemptCounts
	// Account counts the ends of requests of its account.
	Account ReasonCounts
	// Around counts the ends of requests at the same processes, Others at all others.
	Around ReasonCounts
	Others ReasonCounts
}

// A Run is one run of a target, from its start to its end.
type Incarnation fleet.Incarnation

// String returns the ID, with the start if that is known.
func (r Incarnation) String() string {
	if r.StartMillis == 0 {
		return r.ID
	}
	return fmt.Sprintf("%s (started %s)", r.ID, startOf(r.StartMillis))
}

// MarshalText implements encoding.TextMarshaler, since runs are keys in the story's JSON.
func (r Incarnation) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// A Count counts attempts by their end.
type AttemptCounts map[fleet.AttemptResult]int

// All returns how many there are.
func (c AttemptCounts) Total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// Ends counts requests by reason.
type ReasonCounts map[fleet.Reason]int

// All returns how many there are.
func (e ReasonCounts) Total() int {
	sum := 0
	for _, n := range e {
		sum += n
	}
	return sum
}

// An UnknownError says that no line names the request.
type UnknownRequestError struct{ ID string }

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line names request %s: give the logs of all routers of that time, and look for lines that were dropped", e.ID)
}

// Find reads logs for one request. Every log is read twice, and no more is held than
// the lines about the request.
func Find(id string, sources []Source) (*RequestReport, error) {
	s := &RequestReport{ID: id, Targets: map[Incarnation]AttemptCounts{}, Starts: map[string]int64{}, Pool: AttemptCounts{}, Account: ReasonCounts{}, Around: ReasonCounts{}, Others: ReasonCounts{}}
	for _, source := range sources {
		if err := each(source, s.own); err != nil {
			return nil, err
		}
	}
	if len(s.Lines) == 0 {
		return nil, &UnknownRequestError{ID: id}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	look := s.view()
	for _, source := range sources {
		if err := each(source, look.take); err != nil {
			return nil, err
		}
	}
	s.Known = look.known()
	slices.SortStableFunc(s.Elsewhere, func(a, b Line) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(s.Lives, func(a, b Line) int { return a.At.Compare(b.At) })
	return s, nil
}

// End returns the line of the request's end, or nil.
func (s *RequestReport) End() *Line {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		switch s.Lines[i].Message {
		case messageDone, messageRefuse, messageEnd:
			return &s.Lines[i]
		default:
		}
	}
	return nil
}

// Arrived returns about when the request came: its end less what it took.
func (s *RequestReport) Arrived() time.Time {
	first := s.Lines[0].At
	for _, l := range s.Lines {
		if at := l.At.Add(-time.Duration(l.Took) * time.Millisecond); at.Before(first) {
			first = at
		}
	}
	return first
}

// Last returns the last attempt, or nil.
func (s *RequestReport) Last() *Line {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if s.Lines[i].Message == messageSend {
			return &s.Lines[i]
		}
	}
	return nil
}

func (s *RequestReport) own(l *Line) {
	if l.Request == s.ID {
		s.Lines = append(s.Lines, *l)
	}
}

// A view is the second reading, which knows whom to look at and when.
type view struct {
	story     *RequestReport
	from, to  time.Time
	processes map[string]bool
	account   string
	pool      string
	beliefs   map[string]map[string]Line // by process and message
}

func (s *RequestReport) view() *view {
	v := &view{story: s, processes: map[string]bool{}, beliefs: map[string]map[string]Line{}}
	v.from, v.to = s.Arrived().Add(-around), s.Lines[len(s.Lines)-1].At.Add(around)
	for _, l := range s.Lines {
		v.processes[l.Process] = true
		v.account = cmp.Or(v.account, l.Account)
		v.pool = cmp.Or(v.pool, l.Pool)
		if l.Target != "" {
			s.Targets[l.target()] = AttemptCounts{}
			s.Starts[l.Target] = max(s.Starts[l.Target], l.Born)
		}
	}
	return v
}

func (v *view) take(l *Line) {
	if l.Request == "" {
		v.belief(l)
		return
	}
	if l.At.Before(v.from) || l.At.After(v.to) {
		return
	}
	switch l.Message {
	case messageSend:
		result := l.Result
		if result == fleet.AttemptAnswered && l.Status >= failure {
			result = fleet.AttemptTargetFailed
		}
		if l.Pool == v.pool {
			v.story.Pool[result]++
		}
		if c, ok := v.story.Targets[l.target()]; ok {
			c[result]++
		}
		if born, ok := v.story.Starts[l.Target]; ok {
			v.story.Starts[l.Target] = max(born, l.Born)
		}
	case messageDone:
		if v.account != "" && l.Account == v.account {
			v.story.Account[l.Reason]++
		}
		ends := v.story.Others
		if v.processes[l.Process] {
			ends = v.story.Around
		}
		ends[l.Reason]++
	}
}

// belief keeps the last line of its kind before the request's end.
func (v *view) belief(l *Line) {
	if !v.processes[l.Process] {
		v.other(l)
		return
	}
	v.story.live(l)
	if l.Message == messageDropped && !l.At.Before(v.from) && !l.At.After(v.to) {
		v.story.Dropped++
	}
	if l.At.After(v.to.Add(-around)) {
		return
	}
	list := v.beliefs[l.Process]
	if list == nil {
		list = map[string]Line{}
		v.beliefs[l.Process] = list
	}
	if before, ok := list[l.Message]; (ok || len(list) < kinds) && !l.At.Before(before.At) {
		list[l.Message] = *l
	}
}

// other keeps what another process came to believe around the request.
func (v *view) other(l *Line) {
	if len(v.story.Elsewhere) < elsewhere && !l.At.Before(v.from) && !l.At.After(v.to) {
		v.story.Elsewhere = append(v.story.Elsewhere, *l)
	}
}

func (v *view) known() []Line {
	var all []Line
	for _, list := range v.beliefs {
		for _, l := range list {
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Message, b.Message))
	})
	return all
}
