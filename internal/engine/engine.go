// Package engine models a model engine that batches continuously, in simulated
// time.
//
// An Engine admits requests in the order in which they come, up to its slots,
// and works in steps. A step reads up to a chunk of prompt tokens and makes one
// token for each running request whose prompt is read; it takes longer the more
// requests run and the more is read. Parts of prompts stay in memory after their
// request, as long as there is room, and are not read again. Decisions of routers
// are measured against it (internal/workload); no program that serves uses it.
package engine

import (
	"slices"
	"time"

	"laburnumfall/internal/placement"
)

// A Spec describes an engine. All engines of a pool have the same.
type Spec struct {
	// Slots is how many requests run at a time, and Queue how many more may wait.
	Slots      int
	QueueLimit int
	// Memory is the tokens that running requests and kept parts share.
	KVCapacity int
	// Step is what a step takes at least, and PerSlot what each running request adds.
	BaseStepTime       time.Duration
	StepTimePerRequest time.Duration
	// ReadRate is how many prompt tokens are read in a millisecond.
	PrefillRate float64
	// Chunk is how many prompt tokens a step reads at most.
	PrefillChunk int
	// CopyRate is how many tokens are copied from another engine in a millisecond;
	// 0 if they cannot be.
	CopyRate float64
}

// A Job is one request at an engine.
type Request struct {
	ID uint64
	// Parts are the prompt. All but the last may be shared with other requests.
	Parts []placement.PromptPart
	// Output is how many tokens are generated.
	OutputTokens int
	// From is the engine from which parts that are lacking are copied, or nil.
	CopySource *Engine
}

func (j Request) shared() []placement.PromptPart {
	return j.Parts[:max(len(j.Parts)-1, 0)]
}

func (j Request) own() int {
	if len(j.Parts) == 0 {
		return 0
	}
	return j.Parts[len(j.Parts)-1].Tokens
}

// An Event is what an engine did for a job by the end of a step.
type Event struct {
	At        time.Time
	RequestID uint64
	// Made is how many tokens the job has so far; the first one comes with 1.
	Generated int
	// Done says that it has all.
	Done bool
}

// Counts are sums over an engine's life.
type Counts struct {
	PrefilledTokens  int // prompt tokens
	RecomputedTokens int // of these, of shared parts that were read here before
	CopiedTokens     int // tokens of parts copied from other engines
	GeneratedTokens  int // tokens
	Preemptions      int // requests that were pushed out of memory and began anew
	BusyTime         time.Duration
}

// An Engine is a model of one engine. Set Spec, then call its methods with times
// that never go back.
type Engine struct {
	Spec

	waiting []*run
	running []*run
	memory  memory
	counts  Counts
	stepEnd time.Time // zero while nothing runs
	step    step
	linkEnd time.Time // until when copies from here take
	slow    float64
}

// run is a job at the engine.
type run struct {
	Request

	unread  int
	made    int
	readyAt time.Time // when what it copies is there
}

// step is what the present step does.
type step struct {
	reads map[*run]int
	makes []*run
}

// Offer brings a job. It reports false if the engine is full.
func (e *Engine) Submit(now time.Time, j Request) bool {
	if len(e.running)+len(e.waiting) >= e.Slots+e.QueueLimit {
		return false
	}
	if tokens(j.Parts)+j.OutputTokens > e.KVCapacity {
		return false
	}
	e.waiting = append(e.waiting, &run{Request: j})
	e.begin(now)
	return true
}

// Cancel ends a job whose caller has left.
func (e *Engine) Cancel(id uint64) {
	for i, r := range e.waiting {
		if r.ID == id {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
	for i, r := range e.running {
		if r.ID == id {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			e.memory.leave(r)
			delete(e.step.reads, r)
			return
		}
	}
}

// Slow makes steps from the next one on take x times as long.
func (e *Engine) SetSlowdown(x float64) {
	e.slow = x
}

// Next returns when the present step ends, and false while nothing runs.
func (e *Engine) StepEnd() (time.Time, bool) {
	return e.stepEnd, !e.stepEnd.IsZero()
}

// Advance ends the present step, which is due, and begins the next one.
func (e *Engine) FinishStep(now time.Time) []Event {
	if e.stepEnd.IsZero() || now.Before(e.stepEnd) {
		return nil
	}
	now = e.stepEnd
	e.stepEnd = time.Time{}
	events := e.finish(now)
	e.begin(now)
	return events
}

func (e *Engine) finish(now time.Time) []Event {
	var events []Event
	for _, r := range slices.Clone(e.running) {
		if n := e.step.reads[r]; n > 0 {
			r.unread -= n
			e.counts.PrefilledTokens += n
			if r.unread > 0 {
				continue
			}
			e.memory.keep(now, r)
		} else if !slices.Contains(e.step.makes, r) {
			continue
		}
		r.made++
		e.counts.GeneratedTokens++
		done := r.made >= r.OutputTokens
		events = append(events, Event{At: now, RequestID: r.ID, Generated: r.made, Done: done})
		if done {
			e.remove(r)
		}
	}
	e.step = step{}
	e.fit()
	return events
}

// fit pushes the newest request out until memory suffices.
func (e *Engine) fit() {
	for e.memory.shrink(e.KVCapacity) > 0 && len(e.running) > 1 {
		newest := e.running[len(e.running)-1]
		e.remove(newest)
		e.counts.Preemptions++
		e.waiting = append([]*run{{Request: newest.Request}}, e.waiting...)
	}
}

func (e *Engine) remove(r *run) {
	for i, other := range e.running {
		if other == r {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			e.memory.leave(r)
			return
		}
	}
}

// begin admits what there is room for and begins a step, unless one is under way.
func (e *Engine) begin(now time.Time) {
	if !e.stepEnd.IsZero() {
		return
	}
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		r := e.waiting[0]
		if !e.memory.room(e.KVCapacity, tokens(r.Parts)+1) && len(e.running) > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		e.admit(now, r)
	}
	if len(e.running) > 0 {
		e.plan(now)
	}
}

func (e *Engine) admit(now time.Time, r *run) {
	lacking, again := e.memory.enter(now, r)
	r.unread = r.own() + lacking
	r.readyAt = now
	if r.CopySource != nil && r.CopySource != e && e.CopyRate > 0 {
		copied := min(r.CopySource.memory.holds(r.shared())-e.memory.holds(r.shared()), lacking)
		if copied > 0 {
			r.unread -= copied
			again = min(again, lacking-copied)
			r.readyAt = r.CopySource.send(now, copied, e.CopyRate)
			e.counts.CopiedTokens += copied
		}
	}
	e.counts.RecomputedTokens += again
	r.unread = max(r.unread, 1) // the last token of a prompt is always read
	e.running = append(e.running, r)
}

// send copies tokens to another engine, after what is being copied already.
func (e *Engine) send(now time.Time, tokens int, rate float64) time.Time {
	if e.linkEnd.Before(now) {
		e.linkEnd = now
	}
	e.linkEnd = e.linkEnd.Add(time.Duration(float64(tokens) / rate * float64(time.Millisecond)))
	return e.linkEnd
}

// plan shares the chunk of the next step out in the order of admission.
func (e *Engine) plan(now time.Time) {
	e.step.reads = make(map[*run]int)
	left, soonest := e.PrefillChunk, time.Time{}
	for _, r := range e.running {
		switch {
		case r.readyAt.After(now):
			if soonest.IsZero() || r.readyAt.Before(soonest) {
				soonest = r.readyAt
			}
		case r.unread > 0:
			if n := min(r.unread, left); n > 0 {
				e.step.reads[r] = n
				left -= n
			}
		default:
			e.step.makes = append(e.step.makes, r)
		}
	}
	if len(e.step.reads) == 0 && len(e.step.makes) == 0 {
		e.stepEnd = soonest // nothing but copies on their way
		return
	}
	took := e.stepTime(e.PrefillChunk - left)
	e.counts.BusyTime += took
	e.stepEnd = now.Add(took)
}

func (e *Engine) stepTime(read int) time.Duration {
	took := e.BaseStepTime + time.Duration(len(e.running))*e.StepTimePerRequest
	took += time.Duration(float64(read) / e.PrefillRate * float64(time.Millisecond))
	if e.slow > 1 {
		took = time.Duration(float64(took) * e.slow)
	}
	return took
}

// Counts returns the sums so far.
func (e *Engine) Counts() Counts {
	return e.counts
}

// Load returns how many requests run and wait.
func (e *Engine) Load() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// Crash loses everything: the jobs that ran or waited, and all that was kept.
func (e *Engine) Crash() []uint64 {
	var lost []uint64
	for _, r := range append(e.running, e.waiting...) {
		lost = append(lost, r.ID)
	}
	e.waiting, e.running = nil, nil
	e.memory = memory{seen: e.memory.seen}
	e.step, e.stepEnd = step{}, time.Time{}
	return lost
}

func tokens(parts []placement.PromptPart) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}
