package explain

import (
	"fmt"
	"strings"

	"laburnumfall/internal/fleet"
)

const (
	// mispredictionFactor is the ratio of the actual to the predicted time to first byte above which
	// the prediction counts as wrong.
	mispredictionFactor = 2
	// slowFirstByte is the time to first byte, in ms, up to which it needs no explanation.
	slowFirstByte = 100
	// fullLoad is the fraction of a target's slots in use from which its streams slow down.
	fullLoad = 0.9
	// highFailureRate is the fraction of failed attempts at a target from which the target is blamed,
	// provided that it is more than twice the rate of the other targets in the pool.
	highFailureRate = 0.25
	// minRetryTime is the time before the deadline, in ms, that a retry needs.
	minRetryTime = 200
	// firstServerError is the lowest status that counts as a failure of the target.
	firstServerError = 500
)

// A Cause explains why a request ended as it did.
type Cause struct {
	Why  string
	Look string // where to look further
}

// Cause returns the most likely cause of the request's end.
func (r *RequestReport) Cause() Cause {
	end := r.End()
	if end == nil {
		return r.causeWithoutEnd()
	}
	switch {
	case end.Message == messageRefuse:
		return Cause{Why: "refused: " + end.Why, Look: "docs/operators/errors.md: its kind and remedy"}
	case end.Message == messageEnd && !end.Complete:
		return Cause{Why: fmt.Sprintf("the answer of target %s, status %d, ended early", end.Target, end.Status), Look: "the target's own log"}
	case end.Message == messageEnd:
		return Cause{Why: fmt.Sprintf("target %s answered %d", end.Target, end.Status), Look: "the target's own log"}
	}
	reason, truncated := strings.CutPrefix(string(end.Reason), string(fleet.ReasonTruncatedPrefix))
	explanation, ok := causes[fleet.Reason(reason)]
	if !ok {
		return Cause{Why: "unknown reason: " + reason, Look: "the lines above"}
	}
	cause := Cause{Why: explanation.why(r, end), Look: explanation.look}
	if truncated {
		cause.Why = "the answer had begun and was broken off, so that it cannot look whole: " + cause.Why
	}
	return cause
}

// An explanation turns a reason into a cause, with details from the lines of the request.
type explanation struct {
	why  func(report *RequestReport, end *Line) string
	look string
}

func fixedText(text string) func(*RequestReport, *Line) string {
	return func(*RequestReport, *Line) string { return text }
}

// causes has an explanation for each reason, except ReasonTruncatedPrefix, which Cause handles.
var causes = map[fleet.Reason]explanation{
	fleet.ReasonAnswered:        {explainAnswered, "the target's other attempts; its own log"},
	fleet.ReasonBodyReadFailed:  {withError("its body could not be read"), "the caller"},
	fleet.ReasonWaitTooLong:     {explainWaitTooLong, "send lines of that pool: queue and load at each target"},
	fleet.ReasonAnswerTruncated: {explainLostAttempt("the answer ended early"), "the target: did it stop, or was its zone cut off?"},
	fleet.ReasonStreamTruncated: {explainLostAttempt("the stream ended early"), "the target: did it stop, or was its zone cut off?"},
	fleet.ReasonCallerLeft:      {explainCallerLeft, "the caller's own time limit"},
	fleet.ReasonAnswerWriteFailed: {
		withError("the answer was there, and the caller's connection took it no more"), "the caller, and the way to it",
	},
	fleet.ReasonStreamWriteFailed: {
		withError("the caller's connection took no more of the stream"), "the caller, and the way to it",
	},
	fleet.ReasonTargetClosed: {
		fixedText("its target was evacuated, or became cold, while the request was on its way there"), "evacuated zones changed, targets changed",
	},
	fleet.ReasonServiceOverloaded: {explainOverload, "how many targets the pool has (targets changed), and what its routes ask for"},
	fleet.ReasonAllEvacuated: {
		fixedText("all targets of its pool lie in evacuated zones"), "lfctl status: the evacuated zones; docs/operators/evacuate.md",
	},
	fleet.ReasonTargetFailed: {explainLostAttempt("the target answered with a failure"), "the target's own log"},
	fleet.ReasonBodyMemoryFull: {
		fixedText("bodies of requests in progress filled an eighth of the router's memory"), "who sends large bodies, and whether targets are slow",
	},
	fleet.ReasonGraceExpired: {
		fixedText("the router was stopping, and the request was still in progress when the grace ended"), "stopping and stopped lines: until, active",
	},
	fleet.ReasonQuarantined: {
		explainQuarantined,
		"quarantine and cut by the target lines with its print; lfctl held, lfctl lift",
	},
	fleet.ReasonBodyTooLarge:   {fixedText("its body is larger than the configuration's limit"), "the configuration's limits of callers"},
	fleet.ReasonBodyIncomplete: {withError("its body did not come whole before its time was up"), "the caller, and the way to it"},
	fleet.ReasonNoAnswer:       {explainLostAttempt("the target gave no answer"), "the target: did it stop, or was its zone cut off?"},
	fleet.ReasonAddressReused:  {explainAddressReused, "the target's start; targets changed: its age"},
	fleet.ReasonNoConfig: {
		fixedText("the router had just started and had no configuration, or no target, yet"), "start, configuration in force and targets changed lines",
	},
	fleet.ReasonNoConnection: {explainLostAttempt("no connection to the target"), "targets changed: its age"},
	fleet.ReasonKeysUnverifiable: {
		explainKeysUnverifiable,
		"keepers: no leader found; leading and no longer leading at the keepers",
	},
	fleet.ReasonNoRoute:            {fixedText("the configuration in force has no route for its host and path"), "configuration in force: its number"},
	fleet.ReasonNoTarget:           {fixedText("the pool had no target that takes new work"), "targets changed: how many leave"},
	fleet.ReasonOverShare:          {explainOverShare, "other accounts' done lines: who else was refused, and who served"},
	fleet.ReasonStopping:           {explainStopping, "stopping: since when; the balancer's readiness checks"},
	fleet.ReasonStreamNotResumable: {explainLostAttempt("the stream broke off, and the next target could not go on with it"), "send lines: after"},
	fleet.ReasonDeadlineExceeded:   {explainDeadline, "the attempts: which one took the time"},
	fleet.ReasonUnknownKey:         {fixedText("no account of the configuration in force has its key"), "configuration in force: its number"},
	fleet.ReasonNoTargetReachable:  {explainLostAttempt("no connection to several targets in a row"), "targets changed: its age; is the router's zone cut off?"},
	fleet.ReasonNotRun:             {explainNotRun, "the target's load in the send lines"},
	fleet.ReasonUnsigned:           {explainLostAttempt("the answer bore no signature of the target"), "what listens at the target's address"},
	fleet.ReasonWarming: {
		fixedText("all targets of its pool that are not evacuated were cold, and had what they may get"), "targets changed: how many started anew; docs/operators/evacuate.md",
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

// explainAnswered explains a complete answer: the target's failure, or what took the time.
func explainAnswered(report *RequestReport, end *Line) string {
	last := report.Last()
	switch {
	case last == nil:
		return "the answer came from a target; its line is missing"
	case end.Status >= firstServerError:
		return fmt.Sprintf("target %s itself answered %d%s", last.Target, end.Status, report.blame(last))
	case last.Attempt > 1:
		return fmt.Sprintf("answered by the attempt number %d; %d ms had gone by before that", last.Attempt, end.Duration-last.Duration)
	case last.FirstByte > slowFirstByte && last.FirstByte > mispredictionFactor*last.PredictedFirstByte:
		return fmt.Sprintf("target %s took %d ms to begin, %d were predicted: it was slower than it looked%s", last.Target, last.FirstByte, last.PredictedFirstByte, report.blame(last))
	case last.FirstByte > slowFirstByte && last.QueueTime*2 > last.PredictedFirstByte:
		return fmt.Sprintf("of %d ms predicted to the first byte, %d were the work of others at target %s", last.PredictedFirstByte, last.QueueTime, last.Target)
	case last.FirstByte > slowFirstByte && last.UncachedTokens > 0:
		return fmt.Sprintf("target %s had to read %d tokens%s, which took most of %d ms to the first byte", last.Target, last.UncachedTokens, notCachedNote(last), last.FirstByte)
	case last.Load >= fullLoad:
		return fmt.Sprintf("answered; target %s had %.0f%% of its slots taken, which slows its streams", last.Target, 100*last.Load)
	}
	return fmt.Sprintf("answered in %d ms, the first byte after %d", end.Duration, last.FirstByte)
}

func notCachedNote(attempt *Line) string {
	if attempt.CachedAtTarget {
		return ""
	}
	return " (the prompt's parts belong elsewhere)"
}

func explainWaitTooLong(_ *RequestReport, end *Line) string {
	return fmt.Sprintf("the first byte was predicted after %d ms, when its caller would have left; %.0f%% of the best target's slots were taken", end.PredictedWait, 100*end.Load)
}

func explainCallerLeft(report *RequestReport, end *Line) string {
	text := fmt.Sprintf("its caller left after %d ms", end.Duration)
	if last := report.Last(); last != nil {
		text += fmt.Sprintf(", while target %s had it for %d ms (%d predicted to the first byte, which came after %d)", last.Target, last.Duration, last.PredictedFirstByte, last.FirstByte)
		return text + report.blame(last)
	}
	return text + ", before it was sent to a target"
}

func explainOverload(report *RequestReport, _ *Line) string {
	all, unrun := report.Pool.Total(), report.Pool[fleet.AttemptNotRun]
	text := "its service was asked for more than it can do, and the request was kept back as surplus of its account or route"
	if all > 0 {
		text += fmt.Sprintf(": of %d attempts there around that time, it refused %d", all, unrun)
	}
	return text
}

func explainKeysUnverifiable(report *RequestReport, end *Line) string {
	text := "the router had no answer from a leading keeper for longer than its lease on keys lasts"
	for _, line := range report.Known {
		if line.Message == messageNoLeader {
			text += fmt.Sprintf("; it had found none for %.1f s", end.Time.Sub(line.Time).Seconds())
		}
	}
	refused, served := report.Others[fleet.ReasonKeysUnverifiable], report.Others[fleet.ReasonAnswered]
	switch {
	case served > 0 && refused*10 < served:
		text += fmt.Sprintf("; other routers served %d requests meanwhile and refused %d for that: this router was cut off from the keepers", served, refused)
	case refused > 0:
		text += fmt.Sprintf("; other routers refused %d for that as well: nobody led the keepers, or several routers were cut off", refused)
	}
	return text
}

func explainOverShare(report *RequestReport, end *Line) string {
	refused := report.Account[fleet.ReasonOverShare]
	text := fmt.Sprintf("its account asked for more than its share (%d of its %d requests around that time were refused for that), and targets had no room beside: %d ms were predicted to the first byte, %.0f%% of the best target's slots taken",
		refused, report.Account.Total(), end.PredictedWait, 100*end.Load)
	if end.ExcessFactor > 1 {
		text += fmt.Sprintf("; the account was served %.1f times as much as another that lacked service", end.ExcessFactor)
	}
	return text
}

func explainQuarantined(_ *RequestReport, end *Line) string {
	return fmt.Sprintf("%d targets have ended under requests like it (same account, method, path and body; print %s), so it is held back: each run may take another target away from everybody",
		end.TargetEnds, end.Fingerprint)
}

func explainStopping(report *RequestReport, end *Line) string {
	text := "the router was on its way out; others take new requests"
	for _, line := range report.Known {
		if line.Message == messageStopping {
			text += fmt.Sprintf("; it had been told to stop %.1f s before, and takes requests for some seconds, until the balancer has noticed", end.Time.Sub(line.Time).Seconds())
		}
	}
	return text
}

func explainDeadline(report *RequestReport, end *Line) string {
	text := fmt.Sprintf("the caller's or the route's time was up after %d ms", end.Duration)
	if last := report.Last(); last != nil {
		text += fmt.Sprintf("; the last attempt, at target %s, took %d of them (%s)", last.Target, last.Duration, last.Result)
		text += report.blame(last)
	}
	return text
}

func explainAddressReused(report *RequestReport, end *Line) string {
	text := "the target that it was sent to had just been replaced: another one has its address, and the list of targets did not say so yet"
	for _, line := range report.Known {
		if line.Message == messageTargets {
			text += fmt.Sprintf("; the router had heard of the last change %.1f s before", end.Time.Sub(line.Time).Seconds())
		}
	}
	return text + fmt.Sprintf("; of %d attempts in that pool around that time, %d met that", report.Pool.Total(), report.Pool[fleet.AttemptAddressReused])
}

func explainNotRun(report *RequestReport, end *Line) string {
	text := fmt.Sprintf("the targets that it was sent to (%d) said that they had no room for it", end.Sent)
	if last := report.Last(); last != nil {
		text += fmt.Sprintf("; of %d attempts in that pool around that time, %d met that", report.Pool.Total(), report.Pool[fleet.AttemptNotRun])
	}
	return text
}

// explainLostAttempt explains an attempt that may have run, although its answer was lost.
func explainLostAttempt(text string) func(*RequestReport, *Line) string {
	return func(report *RequestReport, end *Line) string {
		why := text
		if last := report.Last(); last != nil {
			why += fmt.Sprintf(" at target %s after %d ms", last.Target, last.Duration)
			if last.Error != "" {
				why += " (" + last.Error + ")"
			}
			why += report.targetRestarted(last) + report.blame(last)
			if last.TimeLeft <= minRetryTime {
				return why + fmt.Sprintf("; it was not sent again since its time was up but for %d ms", max(last.TimeLeft, 0))
			}
		}
		if end.Sent <= 1 {
			return why + "; it was not sent again: its route allows one attempt, it may run only once, or the retry budget was used up"
		}
		return why + fmt.Sprintf("; it was sent %d times, as often as its route or the retry budget allows", end.Sent)
	}
}

// targetRestarted returns a note if the target of an attempt has restarted since, and "" otherwise. A
// restart loses the target's requests and their state.
func (r *RequestReport) targetRestarted(attempt *Line) string {
	lastStart := r.Starts[attempt.Target]
	if attempt.TargetStart == 0 || lastStart <= attempt.TargetStart {
		return ""
	}
	return fmt.Sprintf("; the target started again under its ID at %s: the run that had the request is gone", formatStart(lastStart))
}

// blame returns a note on whether the attempts within the window show that the target fails, or its whole
// pool. It is "" if there are no other attempts to compare with.
func (r *RequestReport) blame(attempt *Line) string {
	target, pool := r.Targets[attempt.targetIncarnation()], r.Pool
	if target.Total() == 0 || pool.Total() == target.Total() {
		return ""
	}
	targetFailed, othersFailed := target.targetFailures(), pool.targetFailures()-target.targetFailures()
	targetRate := float64(targetFailed) / float64(target.Total())
	othersRate := float64(othersFailed) / float64(pool.Total()-target.Total())
	switch {
	case targetRate >= highFailureRate && targetRate > 2*othersRate:
		return fmt.Sprintf("; this target failed %d of %d attempts around that time, others %d of %d: it is the target", targetFailed, target.Total(), othersFailed, pool.Total()-target.Total())
	case targetRate >= highFailureRate:
		return fmt.Sprintf("; this target failed %d of %d attempts around that time, others %d of %d: it is the whole pool, or the way there", targetFailed, target.Total(), othersFailed, pool.Total()-target.Total())
	}
	return fmt.Sprintf("; around that time this target failed %d of %d attempts: it is not failing in general", targetFailed, target.Total())
}

// targetFailures returns the number of attempts that failed because of the target.
func (c AttemptCounts) targetFailures() int {
	return c[fleet.AttemptAddressReused] + c[fleet.AttemptTruncated] + c[fleet.AttemptTargetFailed] + c[fleet.AttemptNoAnswer] + c[fleet.AttemptConnectFailed] + c[fleet.AttemptUnsigned]
}
