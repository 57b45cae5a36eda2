// Package engine simulates a model engine with continuous batching, in simulated time.
//
// An Engine admits requests in order of arrival, up to its number of slots, and works in steps. A
// step prefills up to one chunk of prompt tokens, and generates one token for each running
// request whose prefill is complete. It takes longer the more requests run and the more tokens
// are prefilled. Shared parts of prompts stay in the KV cache after their request until they are
// evicted, and are not prefilled again while cached.
//
// The package internal/workload evaluates the routers' decisions against it. No serving program
// uses it.
package engine

import (
	"slices"
	"time"

	"laburnumfall/internal/placement"
)

// A Spec describes an engine. The engines of a pool differ in TimeFactor at most.
type Spec struct {
	// Slots is how many requests run at the same time, and QueueLimit how many more may wait.
	Slots      int
	QueueLimit int
	// KVCapacity is the size in tokens of the KV cache, which running requests and cached parts
	// share.
	KVCapacity int
	// BaseStepTime is the minimum duration of a step. Each running request adds
	// StepTimePerRequest.
	BaseStepTime       time.Duration
	StepTimePerRequest time.Duration
	// PrefillRate is how many prompt tokens are prefilled in a millisecond.
	PrefillRate float64
	// PrefillChunk is how many prompt tokens a step prefills at most.
	PrefillChunk int
	// CopyRate is how many tokens of KV cache are copied from another engine in a millisecond; 0
	// if the engine cannot copy.
	CopyRate float64
	// TimeFactor is how many times as long as stated above each step takes, for as long as the engine
	// runs; 0 counts as 1.
	TimeFactor float64
}

// A Request is a request to one engine.
type Request struct {
	ID uint64
	// Parts make up the prompt. Only the last part is unique to the request; other requests may
	// share the parts before it.
	Parts []placement.PromptPart
	// OutputTokens is how many tokens the engine generates.
	OutputTokens int
	// CopySource is the engine from which missing parts are copied, or nil.
	CopySource *Engine
}

func (r Request) sharedParts() []placement.PromptPart {
	return r.Parts[:max(len(r.Parts)-1, 0)]
}

func (r Request) uniqueTokens() int {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

// An Event reports the progress of a request at the end of a step.
type Event struct {
	At        time.Time
	RequestID uint64
	// Generated is how many tokens the request has so far; it is 1 in the event of the first
	// token.
	Generated int
	// Done is set once all tokens of the request are generated.
	Done bool
}

// Counts are totals since the engine was created.
type Counts struct {
	PrefilledTokens  int // prompt tokens
	RecomputedTokens int // part of PrefilledTokens: tokens of shared parts that this engine had prefilled before
	CopiedTokens     int // tokens of shared parts copied from other engines
	GeneratedTokens  int
	Preemptions      int // requests that were removed to free memory and started over
	BusyTime         time.Duration
}

// An Engine simulates one engine. Set Spec before the first call. The times passed to its methods
// must not decrease.
type Engine struct {
	Spec

	waiting    []*requestState
	running    []*requestState
	cache      kvCache
	counts     Counts
	stepEnd    time.Time // zero while no request runs
	step       step
	linkFreeAt time.Time // when the copies from this engine to others are complete
	slowdown   float64
}

// requestState is a queued or running request.
type requestState struct {
	Request

	prefillLeft int
	generated   int
	copyDone    time.Time // when the copy of cached parts is complete
}

// step is the work of the current step: the number of prompt tokens by request, and the requests
// that get a token.
type step struct {
	prefill map[*requestState]int
	decode  []*requestState
}

// Submit queues a request. It returns false if the queue is full or if the request does not fit
// into the KV cache.
func (e *Engine) Submit(now time.Time, request Request) bool {
	if len(e.running)+len(e.waiting) >= e.Slots+e.QueueLimit {
		return false
	}
	if countTokens(request.Parts)+request.OutputTokens > e.KVCapacity {
		return false
	}
	e.waiting = append(e.waiting, &requestState{Request: request})
	e.startStep(now)
	return true
}

// Cancel removes a request whose caller has disconnected. It does nothing if the request is
// unknown.
func (e *Engine) Cancel(id uint64) {
	for i, req := range e.waiting {
		if req.ID == id {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
	for i, req := range e.running {
		if req.ID == id {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			e.cache.release(req)
			delete(e.step.prefill, req)
			return
		}
	}
}

// SetSlowdown makes every step take factor times as long, from the next step on. A factor of 1 or
// less has no effect.
func (e *Engine) SetSlowdown(factor float64) {
	e.slowdown = factor
}

// Slowdown returns the factor that SetSlowdown has set, at least 1.
func (e *Engine) Slowdown() float64 {
	return max(e.slowdown, 1)
}

// StepEnd returns the end time of the current step, or false while no request runs.
func (e *Engine) StepEnd() (time.Time, bool) {
	return e.stepEnd, !e.stepEnd.IsZero()
}

// FinishStep ends the current step if it is due, starts the next one, and returns the events of
// the step that ended.
func (e *Engine) FinishStep(now time.Time) []Event {
	if e.stepEnd.IsZero() || now.Before(e.stepEnd) {
		return nil
	}
	now = e.stepEnd
	e.stepEnd = time.Time{}
	events := e.applyStep(now)
	e.startStep(now)
	return events
}

// applyStep records the work of the step that ended at a time, and returns its events.
func (e *Engine) applyStep(now time.Time) []Event {
	var events []Event
	for _, req := range slices.Clone(e.running) {
		if prefilled := e.step.prefill[req]; prefilled > 0 {
			req.prefillLeft -= prefilled
			e.counts.PrefilledTokens += prefilled
			if req.prefillLeft > 0 {
				continue
			}
			e.cache.markPrefilled(now, req)
		} else if !slices.Contains(e.step.decode, req) {
			continue
		}
		req.generated++
		e.counts.GeneratedTokens++
		done := req.generated >= req.OutputTokens
		events = append(events, Event{At: now, RequestID: req.ID, Generated: req.generated, Done: done})
		if done {
			e.remove(req)
		}
	}
	e.step = step{}
	e.preemptToFit()
	return events
}

// preemptToFit removes the newest running requests until the others fit into the KV cache. It
// puts them back to the head of the queue.
func (e *Engine) preemptToFit() {
	for e.cache.evictTo(e.KVCapacity) > 0 && len(e.running) > 1 {
		newest := e.running[len(e.running)-1]
		e.remove(newest)
		e.counts.Preemptions++
		e.waiting = append([]*requestState{{Request: newest.Request}}, e.waiting...)
	}
}

func (e *Engine) remove(req *requestState) {
	for i, other := range e.running {
		if other == req {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			e.cache.release(req)
			return
		}
	}
}

// startStep admits the queued requests that fit and starts a step, unless a step is in progress.
func (e *Engine) startStep(now time.Time) {
	if !e.stepEnd.IsZero() {
		return
	}
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		req := e.waiting[0]
		if !e.cache.fits(e.KVCapacity, countTokens(req.Parts)+1) && len(e.running) > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		e.admit(now, req)
	}
	if len(e.running) > 0 {
		e.planStep(now)
	}
}

// admit starts a request. Shared parts that its source has cached and this engine has not are
// copied.
func (e *Engine) admit(now time.Time, req *requestState) {
	uncached, recomputed := e.cache.add(now, req)
	req.prefillLeft = req.uniqueTokens() + uncached
	req.copyDone = now
	if req.CopySource != nil && req.CopySource != e && e.CopyRate > 0 {
		copied := min(req.CopySource.cache.cachedTokens(req.sharedParts())-e.cache.cachedTokens(req.sharedParts()), uncached)
		if copied > 0 {
			req.prefillLeft -= copied
			recomputed = min(recomputed, uncached-copied)
			req.copyDone = req.CopySource.scheduleCopy(now, copied, e.CopyRate)
			e.counts.CopiedTokens += copied
		}
	}
	e.counts.RecomputedTokens += recomputed
	req.prefillLeft = max(req.prefillLeft, 1) // the last token of a prompt is always prefilled
	e.running = append(e.running, req)
}

// scheduleCopy queues a copy to another engine behind the copies in progress, and returns when it
// is complete.
func (e *Engine) scheduleCopy(now time.Time, tokens int, copyRate float64) time.Time {
	if e.linkFreeAt.Before(now) {
		e.linkFreeAt = now
	}
	e.linkFreeAt = e.linkFreeAt.Add(time.Duration(float64(tokens) / copyRate * float64(time.Millisecond)))
	return e.linkFreeAt
}

// planStep divides the chunk of the next step among the running requests in the order of their
// admission.
func (e *Engine) planStep(now time.Time) {
	e.step.prefill = make(map[*requestState]int)
	chunkLeft, nextCopyDone := e.PrefillChunk, time.Time{}
	for _, req := range e.running {
		switch {
		case req.copyDone.After(now):
			if nextCopyDone.IsZero() || req.copyDone.Before(nextCopyDone) {
				nextCopyDone = req.copyDone
			}
		case req.prefillLeft > 0:
			if tokens := min(req.prefillLeft, chunkLeft); tokens > 0 {
				e.step.prefill[req] = tokens
				chunkLeft -= tokens
			}
		default:
			e.step.decode = append(e.step.decode, req)
		}
	}
	if len(e.step.prefill) == 0 && len(e.step.decode) == 0 {
		e.stepEnd = nextCopyDone // all running requests wait for copies
		return
	}
	duration := e.stepTime(e.PrefillChunk - chunkLeft)
	e.counts.BusyTime += duration
	e.stepEnd = now.Add(duration)
}

func (e *Engine) stepTime(prefillTokens int) time.Duration {
	duration := e.BaseStepTime + time.Duration(len(e.running))*e.StepTimePerRequest
	duration += time.Duration(float64(prefillTokens) / e.PrefillRate * float64(time.Millisecond))
	if e.TimeFactor > 0 {
		duration = time.Duration(float64(duration) * e.TimeFactor)
	}
	if e.slowdown > 1 {
		duration = time.Duration(float64(duration) * e.slowdown)
	}
	return duration
}

// Counts returns the totals so far.
func (e *Engine) Counts() Counts {
	return e.counts
}

// Load returns the numbers of running and of queued requests.
func (e *Engine) Load() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// Crash drops all requests and the KV cache, and returns the IDs of the requests.
func (e *Engine) Crash() []uint64 {
	var lost []uint64
	for _, req := range append(e.running, e.waiting...) {
		lost = append(lost, req.ID)
	}
	e.waiting, e.running = nil, nil
	e.cache = kvCache{everPrefilled: e.cache.everPrefilled}
	e.step, e.stepEnd = step{}, time.Time{}
	return lost
}

func countTokens(parts []placement.PromptPart) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}
