package explain

import (
	"fmt"
	"strings"

	"laburnumfall/internal/fleet"
)

const (
	// farOff is how many times as long as predicted an answer takes to begin before the
	// prediction counts as wrong.
	farOff = 2
	// slow is the time to a first byte, in ms, below which nobody asks why.
	slow = 100
	// full is the part of a target's slots from which on its streams slow down.
	full = 0.9
	// many is the part of attempts that fail at one target from which on the target is
	// to blame, if the pool does better by half.
	many = 0.25
	// nearly is the time left, in ms, below which nothing else can be tried.
	nearly = 200
	// failure is the lowest status of a target's own failure.
	failure = 500
)

// A Cause is why a request ended as it did, and where to look further.
type Cause struct {
	Why  string
	Look string
}

// Cause works out the cause.
func (s *RequestReport) Cause() Cause {
	end := s.End()
	if end == nil {
		return s.unended()
	}
	switch {
	case end.Message == messageRefuse:
		return Cause{Why: "refused: " + end.Why, Look: "docs/operators/errors.md: its kind and remedy"}
	case end.Message == messageEnd && !end.Whole:
		return Cause{Why: fmt.Sprintf("the answer of target %s, status %d, ended early", end.Target, end.Status), Look: "the target's own log"}
	case end.Message == messageEnd:
		return Cause{Why: fmt.Sprintf("target %s answered %d", end.Target, end.Status), Look: "the target's own log"}
	}
	reason, broken := strings.CutPrefix(string(end.Reason), string(fleet.ReasonTruncatedPrefix))
	tell, ok := causes[fleet.Reason(reason)]
	if !ok {
		return Cause{Why: "unknown reason: " + reason, Look: "the lines above"}
	}
	c := Cause{Why: tell.why(s, end), Look: tell.look}
	if broken {
		c.Why = "the answer had begun and was broken off, so that it cannot look whole: " + c.Why
	}
	return c
}

// A tell puts a reason into words with what the lines say.
type tell struct {
	why  func(s *RequestReport, end *Line) string
	look string
}

func always(text string) func(*RequestReport, *Line) string {
	return func(*RequestReport, *Line) string { return text }
}

// causes has one entry for each reason.
var causes = map[fleet.Reason]tell{
	fleet.ReasonAnswered:        {answered, "the target's other attempts; its own log"},
	fleet.ReasonBodyReadFailed:  {withError("its body could not be read"), "the caller"},
	fleet.ReasonWaitTooLong:     {behind, "send lines of that pool: queue and load at each target"},
	fleet.ReasonAnswerTruncated: {lost("the answer ended early"), "the target: did it stop, or was its zone cut off?"},
	fleet.ReasonStreamTruncated: {lost("the stream ended early"), "the target: did it stop, or was its zone cut off?"},
	fleet.ReasonCallerLeft:      {left, "the caller's own time limit"},
	fleet.ReasonAnswerWriteFailed: {
		withError("the answer was there, and the caller's connection took it no more"), "the caller, and the way to it",
	},
	fleet.ReasonStreamWriteFailed: {
		withError("the caller's connection took no more of the stream"), "the caller, and the way to it",
	},
	fleet.ReasonTargetClosed: {
		always("its target was evacuated, or became cold, while the request was on its way there"), "evacuated zones changed, targets changed",
	},
	fleet.ReasonServiceOverloaded: {crowded, "how many targets the pool has (targets changed), and what its routes ask for"},
	fleet.ReasonAllEvacuated: {
		always("all targets of its pool lie in evacuated zones"), "lfctl status: the evacuated zones; docs/operators/evacuate.md",
	},
	fleet.ReasonTargetFailed: {lost("the target answered with a failure"), "the target's own log"},
	fleet.ReasonBodyMemoryFull: {
		always("bodies of requests in progress filled an eighth of the router's memory"), "who sends large bodies, and whether targets are slow",
	},
	fleet.ReasonGraceExpired: {
		always("the router was stopping, and the request was still in progress when the grace ended"), "stopping and stopped lines: until, active",
	},
	fleet.ReasonQuarantined: {
		heldBack,
		"quarantine and cut by the target lines with its print; lfctl held, lfctl lift",
	},
	fleet.ReasonBodyTooLarge:   {always("its body is larger than the configuration's limit"), "the configuration's limits of callers"},
	fleet.ReasonBodyIncomplete: {withError("its body did not come whole before its time was up"), "the caller, and the way to it"},
	fleet.ReasonNoAnswer:       {lost("the target gave no answer"), "the target: did it stop, or was its zone cut off?"},
	fleet.ReasonAddressReused:  {moved, "the target's start; targets changed: its age"},
	fleet.ReasonNoConfig: {
		always("the router had just started and had no configuration, or no target, yet"), "start, configuration in force and targets changed lines",
	},
	fleet.ReasonNoConnection: {lost("no connection to the target"), "targets changed: its age"},
	fleet.ReasonKeysUnverifiable: {
		noKeys,
		"keepers: no leader found; leading and no longer leading at the keepers",
	},
	fleet.ReasonNoRoute:            {always("the configuration in force has no route for its host and path"), "configuration in force: its number"},
	fleet.ReasonNoTarget:           {always("the pool had no target that takes new work"), "targets changed: how many leave"},
	fleet.ReasonOverShare:          {overShare, "other accounts' done lines: who else was refused, and who served"},
	fleet.ReasonStopping:           {stopping, "stopping: since when; the balancer's readiness checks"},
	fleet.ReasonStreamNotResumable: {lost("the stream broke off, and the next target could not go on with it"), "send lines: after"},
	fleet.ReasonDeadlineExceeded:   {timeUp, "the attempts: which one took the time"},
	fleet.ReasonUnknownKey:         {always("no account of the configuration in force has its key"), "configuration in force: its number"},
	fleet.ReasonNoTargetReachable:  {lost("no connection to several targets in a row"), "targets changed: its age; is the router's zone cut off?"},
	fleet.ReasonNotRun:             {unrun, "the target's load in the send lines"},
	fleet.ReasonUnsigned:           {lost("the answer bore no signature of the target"), "what listens at the target's address"},
	fleet.ReasonWarming: {
		always("all targets of its pool that are not evacuated were cold, and had what they may get"), "targets changed: how many started anew; docs/operators/evacuate.md",
	},
}

func withError(text string) func(*RequestReport, *Line) string {
	return func(_ *RequestReport, end *Line) string {
		if end.Error == "" {
			return text
		}
		return text + " (" + end.Error + ")"
	}
}

// answered explains a whole answer: a target's failure, or where its time went.
func answered(s *RequestReport, end *Line) string {
	last := s.Last()
	switch {
	case last == nil:
		return "the answer came from a target; its line is missing"
	case end.Status >= failure:
		return fmt.Sprintf("target %s itself answered %d%s", last.Target, end.Status, s.blame(last))
	case last.Try > 1:
		return fmt.Sprintf("answered by the attempt number %d; %d ms had gone by before that", last.Try, end.Took-last.Took)
	case last.First > slow && last.First > farOff*last.Predicted:
		return fmt.Sprintf("target %s took %d ms to begin, %d were predicted: it was slower than it looked%s", last.Target, last.First, last.Predicted, s.blame(last))
	case last.First > slow && last.Queue*2 > last.Predicted:
		return fmt.Sprintf("of %d ms predicted to the first byte, %d were the work of others at target %s", last.Predicted, last.Queue, last.Target)
	case last.First > slow && last.Unread > 0:
		return fmt.Sprintf("target %s had to read %d tokens%s, which took most of %d ms to the first byte", last.Target, last.Unread, cold(last), last.First)
	case last.Load >= full:
		return fmt.Sprintf("answered; target %s had %.0f%% of its slots taken, which slows its streams", last.Target, 100*last.Load)
	}
	return fmt.Sprintf("answered in %d ms, the first byte after %d", end.Took, last.First)
}

func cold(l *Line) string {
	if l.Home {
		return ""
	}
	return " (the prompt's parts belong elsewhere)"
}

func behind(_ *RequestReport, end *Line) string {
	return fmt.Sprintf("the first byte was predicted after %d ms, when its caller would have left; %.0f%% of the best target's slots were taken", end.Wait, 100*end.Load)
}

func left(s *RequestReport, end *Line) string {
	text := fmt.Sprintf("its caller left after %d ms", end.Took)
	if last := s.Last(); last != nil {
		text += fmt.Sprintf(", while target %s had it for %d ms (%d predicted to the first byte, which came after %d)", last.Target, last.Took, last.Predicted, last.First)
		return text + s.blame(last)
	}
	return text + ", before it was sent to a target"
}

func crowded(s *RequestReport, _ *Line) string {
	all, unrun := s.Pool.Total(), s.Pool[fleet.AttemptNotRun]
	text := "its service was asked for more than it can do, and the request was kept back as surplus of its account or route"
	if all > 0 {
		text += fmt.Sprintf(": of %d attempts there around that time, it refused %d", all, unrun)
	}
	return text
}

func noKeys(s *RequestReport, end *Line) string {
	text := "the router had no answer from a leading keeper for longer than its lease on keys lasts"
	for _, l := range s.Known {
		if l.Message == messageNoLeader {
			text += fmt.Sprintf("; it had found none for %.1f s", end.At.Sub(l.At).Seconds())
		}
	}
	lack, served := s.Others[fleet.ReasonKeysUnverifiable], s.Others[fleet.ReasonAnswered]
	switch {
	case served > 0 && lack*10 < served:
		text += fmt.Sprintf("; other routers served %d requests meanwhile and refused %d for that: this router was cut off from the keepers", served, lack)
	case lack > 0:
		text += fmt.Sprintf("; other routers refused %d for that as well: nobody led the keepers, or several routers were cut off", lack)
	}
	return text
}

func overShare(s *RequestReport, end *Line) string {
	refused := s.Account[fleet.ReasonOverShare]
	text := fmt.Sprintf("its account asked for more than its share (%d of its %d requests around that time were refused for that), and targets had no room beside: %d ms were predicted to the first byte, %.0f%% of the best target's slots taken",
		refused, s.Account.Total(), end.Wait, 100*end.Load)
	if end.Excess > 1 {
		text += fmt.Sprintf("; the account was served %.1f times as much as another that lacked service", end.Excess)
	}
	return text
}

func heldBack(_ *RequestReport, end *Line) string {
	return fmt.Sprintf("%d targets have ended under requests like it (same account, method, path and body; print %s), so it is held back: each run may take another target away from everybody",
		end.Ends, end.Print)
}

func stopping(s *RequestReport, end *Line) string {
	text := "the router was on its way out; others take new requests"
	for _, l := range s.Known {
		if l.Message == messageStopping {
			text += fmt.Sprintf("; it had been told to stop %.1f s before, and takes requests for some seconds, until the balancer has noticed", end.At.Sub(l.At).Seconds())
		}
	}
	return text
}

func timeUp(s *RequestReport, end *Line) string {
	text := fmt.Sprintf("the caller's or the route's time was up after %d ms", end.Took)
	if last := s.Last(); last != nil {
		text += fmt.Sprintf("; the last attempt, at target %s, took %d of them (%s)", last.Target, last.Took, last.Result)
		text += s.blame(last)
	}
	return text
}

func moved(s *RequestReport, end *Line) string {
	text := "the target that it was sent to had just been replaced: another one has its address, and the list of targets did not say so yet"
	for _, l := range s.Known {
		if l.Message == messageTargets {
			text += fmt.Sprintf("; the router had heard of the last change %.1f s before", end.At.Sub(l.At).Seconds())
		}
	}
	return text + fmt.Sprintf("; of %d attempts in that pool around that time, %d met that", s.Pool.Total(), s.Pool[fleet.AttemptAddressReused])
}

func unrun(s *RequestReport, end *Line) string {
	text := fmt.Sprintf("the targets that it was sent to (%d) said that they had no room for it", end.Sent)
	if last := s.Last(); last != nil {
		text += fmt.Sprintf("; of %d attempts in that pool around that time, %d met that", s.Pool.Total(), s.Pool[fleet.AttemptNotRun])
	}
	return text
}

// lost explains an attempt that may have run.
func lost(text string) func(*RequestReport, *Line) string {
	return func(s *RequestReport, end *Line) string {
		why := text
		if last := s.Last(); last != nil {
			why += fmt.Sprintf(" at target %s after %d ms", last.Target, last.Took)
			if last.Error != "" {
				why += " (" + last.Error + ")"
			}
			why += s.restarted(last) + s.blame(last)
			if last.Left <= nearly {
				return why + fmt.Sprintf("; it was not sent again since its time was up but for %d ms", max(last.Left, 0))
			}
		}
		if end.Sent <= 1 {
			return why + "; it was not sent again: its route allows one attempt, it may run only once, or the retry budget was used up"
		}
		return why + fmt.Sprintf("; it was sent %d times, as often as its route or the retry budget allows", end.Sent)
	}
}

// restarted tells whether the target of an attempt has started again since. The run that
// had the request, and what became of it, is gone then.
func (s *RequestReport) restarted(attempt *Line) string {
	born := s.Starts[attempt.Target]
	if attempt.Born == 0 || born <= attempt.Born {
		return ""
	}
	return fmt.Sprintf("; the target started again under its ID at %s: the run that had the request is gone", startOf(born))
}

// blame tells whether the attempts around point at one target or at its whole pool.
func (s *RequestReport) blame(attempt *Line) string {
	here, there := s.Targets[attempt.target()], s.Pool
	if here.Total() == 0 || there.Total() == here.Total() {
		return ""
	}
	bad, rest := here.failed(), there.failed()-here.failed()
	partHere := float64(bad) / float64(here.Total())
	partRest := float64(rest) / float64(there.Total()-here.Total())
	switch {
	case partHere >= many && partHere > 2*partRest:
		return fmt.Sprintf("; this target failed %d of %d attempts around that time, others %d of %d: it is the target", bad, here.Total(), rest, there.Total()-here.Total())
	case partHere >= many:
		return fmt.Sprintf("; this target failed %d of %d attempts around that time, others %d of %d: it is the whole pool, or the way there", bad, here.Total(), rest, there.Total()-here.Total())
	}
	return fmt.Sprintf("; around that time this target failed %d of %d attempts: it is not failing in general", bad, here.Total())
}

// failed counts the attempts that a target is to blame for.
func (c AttemptCounts) failed() int {
	return c[fleet.AttemptAddressReused] + c[fleet.AttemptTruncated] + c[fleet.AttemptTargetFailed] + c[fleet.AttemptNoAnswer] + c[fleet.AttemptConnectFailed] + c[fleet.AttemptUnsigned]
}
