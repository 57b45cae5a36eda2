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
	Slots: 2, Queue: 2, Memory: 10000, Step: 10 * time.Millisecond, PerSlot: time.Millisecond, ReadRate: 100, Chunk: 1000, CopyRate: 1000,
}

func prompt(own int, shared ...placement.PromptPart) []placement.PromptPart {
	return append(shared, placement.PromptPart{ID: 1, Tokens: own})
}

// play runs an engine until nothing runs, and returns all events.
func play(t require.TestingT, e *Engine) []Event {
	var events []Event
	for range 100000 {
		next, ok := e.Next()
		if !ok {
			return events
		}
		events = append(events, e.Advance(next)...)
	}
	require.Fail(t, "it never ends")
	return nil
}

func firstOf(events []Event, job uint64) time.Duration {
	for _, ev := range events {
		if ev.Job == job {
			return ev.At.Sub(start)
		}
	}
	return -1
}

func TestAJobIsReadInChunksAndThenMadeTokenByToken(t *testing.T) {
	e := &Engine{Spec: small}
	require.True(t, e.Offer(start, Job{ID: 7, Parts: prompt(1500), Output: 3}))
	events := play(t, e)
	// Two steps of 11 ms that read 10 and 5 ms, then two more tokens.
	require.Equal(t, []Event{
		{At: start.Add(37 * time.Millisecond), Job: 7, Made: 1},
		{At: start.Add(48 * time.Millisecond), Job: 7, Made: 2},
		{At: start.Add(59 * time.Millisecond), Job: 7, Made: 3, Done: true},
	}, events)
	require.Equal(t, Counts{Read: 1500, Made: 3, Busy: 59 * time.Millisecond}, e.Counts())
}

func TestALongPromptDelaysWhatRunsBesideIt(t *testing.T) {
	e := &Engine{Spec: small}
	e.Offer(start, Job{ID: 1, Parts: prompt(10), Output: 50})
	e.Offer(start, Job{ID: 2, Parts: prompt(5000), Output: 1})
	var last time.Time
	longest := time.Duration(0)
	for _, ev := range play(t, e) {
		if ev.Job == 1 {
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
	e.Offer(start, Job{ID: 1, Parts: prompt(100, part), Output: 1})
	play(t, e)
	require.Equal(t, 3100, e.Counts().Read)
	e.Offer(start.Add(time.Second), Job{ID: 2, Parts: prompt(100, part), Output: 1})
	play(t, e)
	require.Equal(t, 3200, e.Counts().Read)
	require.Zero(t, e.Counts().Again)
	require.Equal(t, 3000, e.Holds(prompt(1, part)))
	require.Zero(t, e.Holds(prompt(1, placement.PromptPart{ID: 8, Tokens: 1}, part)), "a part counts only after those before it")
}

func TestTheLeastRecentlyUsedPartsYield(t *testing.T) {
	e := &Engine{Spec: small}
	old, other, last := placement.PromptPart{ID: 11, Tokens: 4000}, placement.PromptPart{ID: 12, Tokens: 4000}, placement.PromptPart{ID: 13, Tokens: 4000}
	for i, p := range []placement.PromptPart{old, other, last} {
		e.Offer(start.Add(time.Duration(i)*10*time.Second), Job{ID: uint64(i + 1), Parts: prompt(10, p), Output: 1})
		play(t, e)
	}
	require.Zero(t, e.Holds(prompt(1, old)))
	require.Equal(t, 4000, e.Holds(prompt(1, other)))
	e.Offer(start.Add(time.Minute), Job{ID: 9, Parts: prompt(10, old), Output: 1})
	play(t, e)
	require.Equal(t, 4000, e.Counts().Again, "it is read again")
}

func TestTheNewestIsPushedOutWhenMemoryRunsOut(t *testing.T) {
	spec := small
	spec.Memory = 2100
	e := &Engine{Spec: spec}
	e.Offer(start, Job{ID: 1, Parts: prompt(1000), Output: 200})
	e.Offer(start, Job{ID: 2, Parts: prompt(1000), Output: 200})
	events := play(t, e)
	require.Positive(t, e.Counts().Preempted)
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
		require.True(t, e.Offer(start, Job{ID: uint64(i + 1), Parts: prompt(100), Output: 10}))
	}
	require.False(t, e.Offer(start, Job{ID: 5, Parts: prompt(100), Output: 10}))
	require.False(t, (&Engine{Spec: small}).Offer(start, Job{ID: 6, Parts: prompt(10001), Output: 1}), "larger than its memory")
	e.Cancel(4)
	require.True(t, e.Offer(start, Job{ID: 7, Parts: prompt(100), Output: 10}))
}

func TestPartsAreCopiedInsteadOfRead(t *testing.T) {
	from, e := &Engine{Spec: small}, &Engine{Spec: small}
	part := placement.PromptPart{ID: 9, Tokens: 4000}
	from.Offer(start, Job{ID: 1, Parts: prompt(100, part), Output: 1})
	play(t, from)
	e.Offer(start, Job{ID: 2, Parts: prompt(100, part), Output: 1, From: from})
	events := play(t, e)
	require.Equal(t, 100, e.Counts().Read)
	require.Equal(t, 4000, e.Counts().Copied)
	// 4 ms on the link, then a step that reads 1 ms.
	require.Equal(t, 16*time.Millisecond, firstOf(events, 2))
}

func TestACrashLosesEverything(t *testing.T) {
	e := &Engine{Spec: small}
	part := placement.PromptPart{ID: 9, Tokens: 100}
	for i := range 3 {
		e.Offer(start, Job{ID: uint64(i + 1), Parts: prompt(100, part), Output: 10})
	}
	require.ElementsMatch(t, []uint64{1, 2, 3}, e.Crash())
	_, ok := e.Next()
	require.False(t, ok)
	require.Zero(t, e.Holds(prompt(1, part)))
}

// Whatever comes, each job that was taken ends once with all its tokens, in steps that
// never go back, and memory is kept.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := small
		spec.Memory = rapid.IntRange(500, 5000).Draw(t, "memory")
		e := &Engine{Spec: spec}
		now := start
		taken, done := make(map[uint64]int), make(map[uint64]int)
		note := func(events []Event) {
			for _, ev := range events {
				require.LessOrEqual(t, ev.Made, taken[ev.Job])
				if ev.Done {
					done[ev.Job]++
					require.Equal(t, taken[ev.Job], ev.Made)
				}
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			gap := time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond
			now = now.Add(gap)
			for next, ok := e.Next(); ok && !next.After(now); next, ok = e.Next() {
				note(e.Advance(next))
			}
			j := Job{ID: uint64(i + 1), Output: rapid.IntRange(1, 30).Draw(t, "output")}
			if rapid.Bool().Draw(t, "shares") {
				j.Parts = append(j.Parts, placement.PromptPart{ID: uint64(100 + rapid.IntRange(0, 3).Draw(t, "part")), Tokens: 300})
			}
			j.Parts = append(j.Parts, placement.PromptPart{ID: uint64(1000 + i), Tokens: rapid.IntRange(1, 900).Draw(t, "own")})
			if e.Offer(now, j) {
				taken[j.ID] = j.Output
			}
			running, _ := e.Load()
			require.LessOrEqual(t, running, spec.Slots)
		}
		note(play(t, e))
		require.Len(t, done, len(taken))
		for id, n := range done {
			require.Equal(t, 1, n, "job %d", id)
		}
		require.LessOrEqual(t, e.memory.size(), spec.Memory)
	})
}
