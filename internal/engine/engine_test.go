package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/placement"
)

var start = time.Unix(1e9, 0)

var small = Spec{
	Slots: 2, QueueLimit: 2, KVCapacity: 10000, BaseStepTime: 10 * time.Millisecond, StepTimePerRequest: time.Millisecond, PrefillRate: 100, PrefillChunk: 1000, CopyRate: 1000,
}

func prompt(own int, shared ...placement.PromptPart) []placement.PromptPart {
	return append(shared, placement.PromptPart{ID: 1, Tokens: own})
}

// play runs an engine until nothing runs, and returns all events.
func play(t require.TestingT, e *Engine) []Event {
	var events []Event
	for range 100000 {
		next, ok := e.StepEnd()
		if !ok {
			return events
		}
		events = append(events, e.FinishStep(next)...)
	}
	require.Fail(t, "it never ends")
	return nil
}

func firstOf(events []Event, job uint64) time.Duration {
	for _, ev := range events {
		if ev.RequestID == job {
			return ev.At.Sub(start)
		}
	}
	return -1
}

func TestAJobIsReadInChunksAndThenMadeTokenByToken(t *testing.T) {
	e := &Engine{Spec: small}
	require.True(t, e.Submit(start, Request{ID: 7, Parts: prompt(1500), OutputTokens: 3}))
	events := play(t, e)
	// Two steps of 11 ms that read 10 and 5 ms, then two more tokens.
	require.Equal(t, []Event{
		{At: start.Add(37 * time.Millisecond), RequestID: 7, Generated: 1},
		{At: start.Add(48 * time.Millisecond), RequestID: 7, Generated: 2},
		{At: start.Add(59 * time.Millisecond), RequestID: 7, Generated: 3, Done: true},
	}, events)
	require.Equal(t, Counts{PrefilledTokens: 1500, GeneratedTokens: 3, BusyTime: 59 * time.Millisecond}, e.Counts())
}

func TestALongPromptDelaysWhatRunsBesideIt(t *testing.T) {
	e := &Engine{Spec: small}
	e.Submit(start, Request{ID: 1, Parts: prompt(10), OutputTokens: 50})
	e.Submit(start, Request{ID: 2, Parts: prompt(5000), OutputTokens: 1})
	var last time.Time
	longest := time.Duration(0)
	for _, ev := range play(t, e) {
		if ev.RequestID == 1 {
			if !last.IsZero() {
				longest = max(longest, ev.At.Sub(last))
			}
			last = ev.At
		}
	}
	require.Equal(t, 22*time.Millisecond, longest, "a step, two requests, and a chunk")
}

func TestSharedPartsAreReadOnce(t *testing.T) {
	e := &Engine{Spec: small}
	part := placement.PromptPart{ID: 9, Tokens: 3000}
	e.Submit(start, Request{ID: 1, Parts: prompt(100, part), OutputTokens: 1})
	play(t, e)
	require.Equal(t, 3100, e.Counts().PrefilledTokens)
	e.Submit(start.Add(time.Second), Request{ID: 2, Parts: prompt(100, part), OutputTokens: 1})
	play(t, e)
	require.Equal(t, 3200, e.Counts().PrefilledTokens)
	require.Zero(t, e.Counts().RecomputedTokens)
	require.Equal(t, 3000, e.CachedTokens(prompt(1, part)))
	require.Zero(t, e.CachedTokens(prompt(1, placement.PromptPart{ID: 8, Tokens: 1}, part)), "a part counts only after those before it")
}

func TestTheLeastRecentlyUsedPartsYield(t *testing.T) {
	e := &Engine{Spec: small}
	old, other, last := placement.PromptPart{ID: 11, Tokens: 4000}, placement.PromptPart{ID: 12, Tokens: 4000}, placement.PromptPart{ID: 13, Tokens: 4000}
	for i, p := range []placement.PromptPart{old, other, last} {
		e.Submit(start.Add(time.Duration(i)*10*time.Second), Request{ID: uint64(i + 1), Parts: prompt(10, p), OutputTokens: 1})
		play(t, e)
	}
	require.Zero(t, e.CachedTokens(prompt(1, old)))
	require.Equal(t, 4000, e.CachedTokens(prompt(1, other)))
	e.Submit(start.Add(time.Minute), Request{ID: 9, Parts: prompt(10, old), OutputTokens: 1})
	play(t, e)
	require.Equal(t, 4000, e.Counts().RecomputedTokens, "it is read again")
}

func TestTheNewestIsPushedOutWhenMemoryRunsOut(t *testing.T) {
	spec := small
	spec.KVCapacity = 2100
	e := &Engine{Spec: spec}
	e.Submit(start, Request{ID: 1, Parts: prompt(1000), OutputTokens: 200})
	e.Submit(start, Request{ID: 2, Parts: prompt(1000), OutputTokens: 200})
	events := play(t, e)
	require.Positive(t, e.Counts().Preemptions)
	done := 0
	for _, ev := range events {
		if ev.Done {
			done++
		}
	}
	require.Equal(t, 2, done, "it begins anew")
}

func TestAFullEngineTakesNoMore(t *testing.T) {
	e := &Engine{Spec: small}
	for i := range 4 {
		require.True(t, e.Submit(start, Request{ID: uint64(i + 1), Parts: prompt(100), OutputTokens: 10}))
	}
	require.False(t, e.Submit(start, Request{ID: 5, Parts: prompt(100), OutputTokens: 10}))
	require.False(t, (&Engine{Spec: small}).Submit(start, Request{ID: 6, Parts: prompt(10001), OutputTokens: 1}), "larger than its memory")
	e.Cancel(4)
	require.True(t, e.Submit(start, Request{ID: 7, Parts: prompt(100), OutputTokens: 10}))
}

func TestPartsAreCopiedInsteadOfRead(t *testing.T) {
	from, e := &Engine{Spec: small}, &Engine{Spec: small}
	part := placement.PromptPart{ID: 9, Tokens: 4000}
	from.Submit(start, Request{ID: 1, Parts: prompt(100, part), OutputTokens: 1})
	play(t, from)
	e.Submit(start, Request{ID: 2, Parts: prompt(100, part), OutputTokens: 1, CopySource: from})
	events := play(t, e)
	require.Equal(t, 100, e.Counts().PrefilledTokens)
	require.Equal(t, 4000, e.Counts().CopiedTokens)
	// 4 ms on the link, then a step that reads 1 ms.
	require.Equal(t, 16*time.Millisecond, firstOf(events, 2))
}

func TestACrashLosesEverything(t *testing.T) {
	e := &Engine{Spec: small}
	part := placement.PromptPart{ID: 9, Tokens: 100}
	for i := range 3 {
		e.Submit(start, Request{ID: uint64(i + 1), Parts: prompt(100, part), OutputTokens: 10})
	}
	require.ElementsMatch(t, []uint64{1, 2, 3}, e.Crash())
	_, ok := e.StepEnd()
	require.False(t, ok)
	require.Zero(t, e.CachedTokens(prompt(1, part)))
}

// Whatever comes, each job that was taken ends once with all its tokens, in steps that
// never go back, and memory is kept.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := small
		spec.KVCapacity = rapid.IntRange(500, 5000).Draw(t, "memory")
		e := &Engine{Spec: spec}
		now := start
		taken, done := make(map[uint64]int), make(map[uint64]int)
		note := func(events []Event) {
			for _, ev := range events {
				require.LessOrEqual(t, ev.Generated, taken[ev.RequestID])
				if ev.Done {
					done[ev.RequestID]++
					require.Equal(t, taken[ev.RequestID], ev.Generated)
				}
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			gap := time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond
			now = now.Add(gap)
			for next, ok := e.StepEnd(); ok && !next.After(now); next, ok = e.StepEnd() {
				note(e.FinishStep(next))
			}
			j := Request{ID: uint64(i + 1), OutputTokens: rapid.IntRange(1, 30).Draw(t, "output")}
			if rapid.Bool().Draw(t, "shares") {
				j.Parts = append(j.Parts, placement.PromptPart{ID: uint64(100 + rapid.IntRange(0, 3).Draw(t, "part")), Tokens: 300})
			}
			j.Parts = append(j.Parts, placement.PromptPart{ID: uint64(1000 + i), Tokens: rapid.IntRange(1, 900).Draw(t, "own")})
			if e.Submit(now, j) {
				taken[j.ID] = j.OutputTokens
			}
			running, _ := e.Load()
			require.LessOrEqual(t, running, spec.Slots)
		}
		note(play(t, e))
		require.Len(t, done, len(taken))
		for id, n := range done {
			require.Equal(t, 1, n, "job %d", id)
		}
		require.LessOrEqual(t, e.memory.size(), spec.KVCapacity)
	})
}
