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
		cause.Why = "the answer had begun and was aborted, so that the caller does not take it for complete: " + cause.Why
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
	fleet.ReasonMemoryFull:      {fixedText("the requests that run fill the memory of all targets of the pool"), "send lines of that pool: memory at each target"},
	fleet.ReasonPromptTooLarge:  {fixedText("its prompt needs more memory than any target has"), "the memory that the configuration states for the pool's engines"},
	fleet.ReasonAnswerTruncated: {explainLostAttempt("the answer ended early"), "the target: did it stop, or was its zone cut off?"},
	fleet.ReasonStreamTruncated: {explainLostAttempt("the stream ended early"), "the target: did it stop, or was its zone cut off?"},
	fleet.ReasonCallerLeft:      {explainCallerLeft, "the caller's own time limit"},
	fleet.ReasonAnswerWriteFailed: {
		withError("the answer could not be written to the caller's connection"), "the caller, and the network to it",
	},
	fleet.ReasonStreamWriteFailed: {
		withError("the stream could not be written to the caller's connection"), "the caller, and the network to it",
	},
	fleet.ReasonTargetClosed: {
		fixedText("its target was evacuated, or became cold, after the router had chosen it"), "evacuated zones changed, targets changed",
	},
	fleet.ReasonServiceOverloaded: {explainOverload, "how many targets the pool has (targets changed), and the load of its routes"},
	fleet.ReasonAllEvacuated: {
		fixedText("all targets of its pool are in evacuated zones"), "lfctl status: the evacuated zones; docs/operators/evacuate.md",
	},
	fleet.ReasonAllBackingOff: {
		fixedText("all targets of its pool had answered this router with 503 and Retry-After, and that time was not over"),
		"backpressure lines of the router: which targets, and for how long; the targets' own logs",
	},
	fleet.ReasonTargetFailed: {explainLostAttempt("the target answered with a failure"), "the target's own log"},
	fleet.ReasonBodyMemoryFull: {
		fixedText("the bodies of requests in progress had taken the memory that the router has for them, or for its account"), "who sends large bodies, and whether targets are slow",
	},
	fleet.ReasonGraceExpired: {
		fixedText("the router was stopping, and the request was still in progress at the end of the grace period"), "stopping and stopped lines: until, active",
	},
	fleet.ReasonQuarantined: {
		explainQuarantined,
		"quarantine and cut by the target lines with its print; lfctl held, lfctl lift",
	},
	fleet.ReasonPartQuarantined: {
		explainPartQuarantined,
		"quarantine lines with its print, and cut by the target lines with it among their parts; lfctl held, lfctl lift",
	},
	fleet.ReasonBodyTooLarge:   {fixedText("its body is larger than the configuration's limit"), "the limits for callers in the configuration"},
	fleet.ReasonBodyIncomplete: {withError("its body was not received completely before the timeout"), "the caller, and the network to it"},
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
	fleet.ReasonConfigUnverifiable: {
		fixedText("the configuration in force did not allow it, but this router had no lease from the keepers, so a newer one might"),
		"keepers: no leader found, at this router",
	},
	fleet.ReasonNoRoute:            {fixedText("the configuration in force has no route for its host and path"), "configuration in force: its number"},
	fleet.ReasonNoTarget:           {fixedText("the pool had no target that accepts new requests"), "targets changed: how many are leaving"},
	fleet.ReasonOverShare:          {explainOverShare, "done lines of other accounts: which were refused, and which served"},
	fleet.ReasonStopping:           {explainStopping, "stopping: since when; the balancer's readiness checks"},
	fleet.ReasonStreamNotResumable: {explainLostAttempt("the stream was interrupted, and the next target could not resume it"), "send lines: after"},
	fleet.ReasonOriginUnknown: {
		fixedText("its caller resumes a stream, which may go on only at the software version that began it, and no router that was asked knew that version"),
		"stream resumed; routers changed; was the router that began it killed, or this one cut off?",
	},
	fleet.ReasonVersionGone: {
		explainLostAttempt("the stream may go on only at the software version that began it, and no target of its pool ran that"), "send and stream resumed lines: version; targets changed",
	},
	fleet.ReasonDeadlineExceeded:  {explainDeadline, "the send lines: which attempt took the time"},
	fleet.ReasonUnknownKey:        {fixedText("no account of the configuration in force has its key"), "configuration in force: its number"},
	fleet.ReasonNoTargetReachable: {explainLostAttempt("no connection to several targets in a row"), "targets changed: its age; is the router's zone cut off?"},
	fleet.ReasonNotRun:            {explainNotRun, "the target's load in the send lines"},
	fleet.ReasonUnsigned:          {explainLostAttempt("the answer had no signature of the target"), "what listens at the target's address"},
	fleet.ReasonWarming: {
		fixedText("all targets of its pool that are not evacuated were cold and had reached their limit of requests"), "targets changed: how many restarted; docs/operators/evacuate.md",
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
		return fmt.Sprintf("answered by attempt number %d, which began after %d ms", last.Attempt, end.Duration-last.Duration)
	case last.FirstByte > slowFirstByte && last.FirstByte > mispredictionFactor*last.PredictedFirstByte:
		return fmt.Sprintf("target %s sent the first byte after %d ms, %d were predicted: it was slower than predicted%s", last.Target, last.FirstByte, last.PredictedFirstByte, report.blame(last))
	case last.FirstByte > slowFirstByte && last.QueueTime*2 > last.PredictedFirstByte:
		return fmt.Sprintf("of %d ms predicted to the first byte, %d were for requests before it at target %s", last.PredictedFirstByte, last.QueueTime, last.Target)
	case last.FirstByte > slowFirstByte && last.UncachedTokens > 0:
		return fmt.Sprintf("target %s had to prefill %d tokens%s, which took most of the %d ms to the first byte", last.Target, last.UncachedTokens, notCachedNote(last), last.FirstByte)
	case last.Load >= fullLoad:
		return fmt.Sprintf("answered; target %s had %.0f%% of its slots in use, which slows its streams", last.Target, 100*last.Load)
	}
	return fmt.Sprintf("answered in %d ms, with the first byte after %d", end.Duration, last.FirstByte)
}

func notCachedNote(attempt *Line) string {
	if attempt.CachedAtTarget {
		return ""
	}
	return " (the prompt's parts are expected to be cached at another target)"
}

func explainWaitTooLong(_ *RequestReport, end *Line) string {
	return fmt.Sprintf("the first byte was predicted after %d ms, when its caller would have left already; the best target had %.0f%% of its slots in use", end.PredictedWait, 100*end.Load)
}

func explainCallerLeft(report *RequestReport, end *Line) string {
	text := fmt.Sprintf("its caller left after %d ms", end.Duration)
	if last := report.Last(); last != nil {
		text += fmt.Sprintf(", when target %s had processed the request for %d ms (first byte predicted after %d, received after %d)", last.Target, last.Duration, last.PredictedFirstByte, last.FirstByte)
		return text + report.blame(last)
	}
	return text + ", before it was sent to a target"
}

func explainOverload(report *RequestReport, _ *Line) string {
	total, notRun := report.PoolAttempts.Total(), report.PoolAttempts[fleet.AttemptNotRun]
	text := "its service was overloaded, and the request was shed as excess load of its account or route"
	if total > 0 {
		text += fmt.Sprintf("; of %d attempts in that pool around that time, targets refused %d", total, notRun)
	}
	return text
}

func explainKeysUnverifiable(report *RequestReport, end *Line) string {
	text := "the router had no answer from the leading keeper for longer than its lease on keys"
	for _, line := range report.LastStateLines {
		if line.Message == messageNoLeader {
			text += fmt.Sprintf("; it had found none for %.1f s", end.Time.Sub(line.Time).Seconds())
		}
	}
	refused, served := report.OtherProcessReasons[fleet.ReasonKeysUnverifiable], report.OtherProcessReasons[fleet.ReasonAnswered]
	switch {
	case served > 0 && refused*10 < served:
		text += fmt.Sprintf("; other routers served %d requests around that time and refused %d for this reason: this router was cut off from the keepers", served, refused)
	case refused > 0:
		text += fmt.Sprintf("; other routers refused %d for this reason as well: the keepers had no leader, or several routers were cut off", refused)
	}
	return text
}

func explainOverShare(report *RequestReport, end *Line) string {
	refused := report.AccountReasons[fleet.ReasonOverShare]
	text := fmt.Sprintf("its account exceeded its share (%d of its %d requests around that time were refused for this reason), and targets had no spare capacity: the first byte was predicted after %d ms, and the best target had %.0f%% of its slots in use",
		refused, report.AccountReasons.Total(), end.PredictedWait, 100*end.Load)
	if end.ExcessFactor > 1 {
		text += fmt.Sprintf("; the account got %.1f times as much service as an underserved account", end.ExcessFactor)
	}
	return text
}

func explainQuarantined(_ *RequestReport, end *Line) string {
	return fmt.Sprintf("%d targets have ended while they ran requests like it (same account, method, path and body; print %s), so it is quarantined: each run may end another target",
		end.TargetEnds, end.Fingerprint)
}

func explainPartQuarantined(_ *RequestReport, end *Line) string {
	return fmt.Sprintf("%d targets have ended while they ran requests whose prompts share a part with its own (print %s), so these are quarantined: each run may end another target",
		end.TargetEnds, end.Fingerprint)
}

func explainStopping(report *RequestReport, end *Line) string {
	text := "the router was stopping; other routers accept new requests"
	for _, line := range report.LastStateLines {
		if line.Message == messageStopping {
			text += fmt.Sprintf("; its shutdown began %.1f s before, and it accepts requests for some seconds, until the load balancer has removed it", end.Time.Sub(line.Time).Seconds())
		}
	}
	return text
}

func explainDeadline(report *RequestReport, end *Line) string {
	text := fmt.Sprintf("the deadline of the caller or the timeout of the route expired after %d ms", end.Duration)
	if last := report.Last(); last != nil {
		text += fmt.Sprintf("; the last attempt, at target %s, took %d ms of that (%s)", last.Target, last.Duration, last.Result)
		text += report.blame(last)
	}
	return text
}

func explainAddressReused(report *RequestReport, end *Line) string {
	text := "the target that it was sent to had just been replaced: another one has its address, and the router's list of targets was not up to date"
	for _, line := range report.LastStateLines {
		if line.Message == messageTargets {
			text += fmt.Sprintf("; the list last changed %.1f s before", end.Time.Sub(line.Time).Seconds())
		}
	}
	return text + fmt.Sprintf("; of %d attempts in that pool around that time, %d failed for this reason", report.PoolAttempts.Total(), report.PoolAttempts[fleet.AttemptAddressReused])
}

func explainNotRun(report *RequestReport, end *Line) string {
	text := fmt.Sprintf("the targets that it was sent to (%d) refused it for lack of capacity", end.Sent)
	if last := report.Last(); last != nil {
		text += fmt.Sprintf("; of %d attempts in that pool around that time, %d were refused", report.PoolAttempts.Total(), report.PoolAttempts[fleet.AttemptNotRun])
	}
	return text
}

// explainLostAttempt explains an attempt that may have run, although its answer was lost.
func explainLostAttempt(text string) func(*RequestReport, *Line) string {
	return func(report *RequestReport, end *Line) string {
		why := text
		if last := report.Last(); last != nil {
			why += fmt.Sprintf(": target %s, after %d ms", last.Target, last.Duration)
			if last.Error != "" {
				why += " (" + last.Error + ")"
			}
			why += report.targetRestarted(last) + report.blame(last)
			if last.TimeLeft <= minRetryTime {
				return why + fmt.Sprintf("; it was not retried, since only %d ms were left until its deadline", max(last.TimeLeft, 0))
			}
		}
		if end.Sent <= 1 {
			return why + "; it was not retried: its route allows one attempt, it may run only once, or the retry budget was exhausted"
		}
		return why + fmt.Sprintf("; it was sent %d times, which is the limit of its route or of the retry budget", end.Sent)
	}
}

// targetRestarted returns a note if the target of an attempt has restarted since, and "" otherwise. A
// restart loses the target's requests and their state.
func (r *RequestReport) targetRestarted(attempt *Line) string {
	lastStart := r.TargetStarts[attempt.Target]
	if attempt.TargetStart == 0 || lastStart <= attempt.TargetStart {
		return ""
	}
	return fmt.Sprintf("; the target restarted with the same ID at %s, which ended the request", formatStart(lastStart))
}

// blame returns a note on whether the attempts within the window show that the target fails, or its whole
// pool. It is "" if there are no other attempts to compare with.
func (r *RequestReport) blame(attempt *Line) string {
	target, pool := r.TargetAttempts[attempt.targetIncarnation()], r.PoolAttempts
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
		return fmt.Sprintf("; this target failed %d of %d attempts around that time, others %d of %d: it is the whole pool, or the network to it", targetFailed, target.Total(), othersFailed, pool.Total()-target.Total())
	}
	return fmt.Sprintf("; around that time this target failed %d of %d attempts: it does not fail in general", targetFailed, target.Total())
}

// targetFailures returns the number of attempts that failed because of the target.
func (c AttemptCounts) targetFailures() int {
	return c[fleet.AttemptAddressReused] + c[fleet.AttemptTruncated] + c[fleet.AttemptTargetFailed] + c[fleet.AttemptNoAnswer] + c[fleet.AttemptConnectFailed] + c[fleet.AttemptUnsigned]
}
