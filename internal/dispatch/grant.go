package dispatch

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

const (
	// reportInterval is the longest time between reports.
	reportInterval = 200 * time.Millisecond
	// minReportInterval is the shortest time between reports.
	minReportInterval = 10 * time.Millisecond
	// minFreeSlotReportInterval is the shortest time between reports that only announce free slots
	// that another router may need.
	minFreeSlotReportInterval = 40 * time.Millisecond
)

// HandleGrant handles a grant from a leader and reports whether it was put in force. It ignores
// late and duplicate grants, those of a deposed leader, and those with an older configuration.
func (s *Scheduler) HandleGrant(now time.Time, grant message.Grant) bool {
	if grant.Incarnation != s.Incarnation || grant.Term < s.term || grant.Term == s.term && grant.Seq <= s.grantSeq {
		return false
	}
	s.refreshSignals()
	oldNumber := s.config.Number
	if grant.Number < oldNumber || grant.Number > oldNumber && !s.applyConfig(now, grant) {
		return false
	}
	s.term, s.grantSeq = grant.Term, grant.Seq
	s.leaseUntil, s.slotsShort = grant.ExpiresAt, grant.SlotsShort
	if grant.EchoSeq != s.echoedSeq {
		s.echoedSeq, s.echoedAt = grant.EchoSeq, now
	}
	reduced := s.setSlots(grant.Slots)
	s.setLeaving(grant.LeavingTargets)
	for _, virtualTime := range grant.VirtualTimes {
		if reported, ok := s.history.usageInReport(grant.EchoSeq, virtualTime.Account); ok {
			s.queues.SetVirtualTime(virtualTime, reported)
		}
	}
	s.queues.SetFloor(grant.VirtualTimeFloor)
	if grant.Restrictions != nil {
		s.Guard.ApplyUpdate(now, s.history.sentAt(grant.EchoSeq), grant.Term, *grant.Restrictions)
		s.resumeParked(now)
	}
	if reduced || s.config.Number != oldNumber {
		// The leader waits for the acknowledgment.
		s.requestReport(now)
	}
	s.dispatchWaiting(now)
	return true
}

// applyConfig puts the configuration of a grant in force and reports whether it is valid.
func (s *Scheduler) applyConfig(now time.Time, grant message.Grant) bool {
	if len(grant.Config) == 0 {
		return false
	}
	var config fleet.Config
	if err := json.Unmarshal(grant.Config, &config); err != nil || config.Number != grant.Number {
		return false
	}
	s.config, s.configDigest = config, config.Digest()
	s.queues.SetAccounts(config.Accounts)
	s.accountsByKey = make(map[string]string)
	for _, account := range config.Accounts {
		for _, keyDigest := range account.Keys {
			s.accountsByKey[keyDigest] = account.Name
		}
	}
	s.setTargets(config)
	s.Backpressure.SetTargets(now, instancesOf(config.Targets))
	s.applySignals()
	s.refuseNotAdmitted()
	return true
}

// setTargets rebuilds the targets and events. Requests that run on a target stay counted, even if
// the target leaves the configuration.
func (s *Scheduler) setTargets(config fleet.Config) {
	next := make(map[string]*targetState, len(config.Targets))
	for _, target := range config.Targets {
		state := s.targets[target.Name]
		if state == nil {
			state = &targetState{}
		}
		if state.Address != target.Address {
			state.breaker = breaker{}
		}
		state.Target = target
		if !target.Live() {
			state.slots = 0
		}
		next[target.Name] = state
	}
	for name, state := range s.targets {
		if next[name] == nil && state.busy > 0 {
			state.slots = 0
			next[name] = state
		}
	}
	s.targets = next
	s.events = make(map[string]*eventState, len(config.Events))
	for _, event := range config.Events {
		state := &eventState{Event: event}
		for _, name := range event.Targets {
			if target := next[name]; target.Live() {
				state.targets = append(state.targets, target)
			}
		}
		s.events[event.Name] = state
	}
}

// refuseNotAdmitted refuses the waiting requests whose event no longer exists or no longer admits
// their account.
func (s *Scheduler) refuseNotAdmitted() {
	for _, id := range s.queues.WaitingIDs() {
		req := s.requests[id]
		event := s.events[req.Event]
		if event == nil || !event.Admits(req.Account) {
			s.refuse(req, newNotRunRefusal(time.Time{}, fleet.KindEventUnavailable, "name an event of the configuration in force",
				"event %q no longer takes account %q", req.Event, req.Account))
		}
	}
}

// setSlots replaces the leased slots and reports whether any were taken away.
func (s *Scheduler) setSlots(granted []message.SlotGrant) bool {
	reduced := false
	counts := make(map[string]int, len(granted))
	for _, slot := range granted {
		counts[slot.Target] = slot.Count
	}
	for name, target := range s.targets {
		count := counts[name]
		if !target.Live() {
			count = 0
		}
		reduced = reduced || count < target.slots
		target.slots = count
	}
	return reduced
}

func (s *Scheduler) setLeaving(names []string) {
	for _, target := range s.targets {
		target.leaving = slices.Contains(names, target.Name)
	}
}

// loseLease gives up all slots and refuses all waiting requests, since none may be started any
// more.
func (s *Scheduler) loseLease(now time.Time) {
	s.leaseUntil = time.Time{}
	for _, target := range s.targets {
		target.slots = 0
	}
	s.refuseWaiting(func() *Refuse { return s.noLeaseRefusal(now) })
}

// requestReport schedules the next report as early as allowed.
func (s *Scheduler) requestReport(now time.Time) {
	s.requestReportAfter(now, minReportInterval)
}

// requestReportAfter schedules the next report for minInterval after the last one, unless one is due
// earlier.
func (s *Scheduler) requestReportAfter(now time.Time, minInterval time.Duration) {
	due := s.lastReport.Add(minInterval)
	if due.Before(now) {
		due = now
	}
	if due.Before(s.nextReport) {
		s.nextReport = due
	}
}

// sendReport reports the router's queues, slots and usage to the leader.
func (s *Scheduler) sendReport(now time.Time) {
	s.reportSeq++
	s.lastReport = now
	s.nextReport = now.Add(reportInterval)
	if len(s.parked) > 0 {
		s.nextReport = now.Add(parkedReportInterval)
	}
	usage := s.queues.Usage()
	s.history.add(now, s.reportSeq, usage)
	quarantineReport := s.Guard.Report(now)
	full := s.reportSeq%fullReportEvery == 1 || now.Sub(s.echoedAt) > leaderSilenceTimeout
	if !full {
		usage = s.history.changedUsage(s.echoedSeq, usage)
	}
	report := message.Report{
		Router: s.Name, Zone: s.Zone, Incarnation: s.Incarnation, Seq: s.reportSeq, SentAt: now,
		Term: s.term, AckSeq: s.grantSeq, Number: s.config.Number,
		Queues: s.queues.QueueLengths(), Full: full, Usage: usage, Leaving: s.stopping, Quarantine: &quarantineReport,
	}
	for _, target := range s.targets {
		if target.slots > 0 || target.busy > 0 {
			report.Slots = append(report.Slots, message.SlotUsage{Target: target.Name, Limit: target.slots, InUse: target.busy})
		}
	}
	slices.SortFunc(report.Slots, func(a, b message.SlotUsage) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	if full {
		// A new leader needs the current virtual times.
		report.VirtualTimes = s.queues.VirtualTimes()
		report.Usage = slices.Clone(usage)
		for i := range report.Usage {
			report.Usage[i].ServedInVirtualTime = s.queues.SettledInVirtualTime(usage[i].Account)
		}
	}
	s.emit(SendReport{Report: report})
}

const (
	// leaderSilenceTimeout is how long the leader may be silent before reports contain everything
	// that a new leader needs.
	leaderSilenceTimeout = 2*reportInterval - reportInterval/4
	// fullReportEvery makes one report in this many full even if the leader is not silent.
	fullReportEvery = 32
)

// reportHistory keeps the usage in the last reports, so that a virtual time can be matched with the
// report that it includes.
type reportHistory struct {
	entries []sentReport
}

type sentReport struct {
	seq   uint64
	sent  time.Time
	usage []message.Usage // sorted by account
}

// maxRememberedReports is the number of reports kept. A grant that answers an older one comes too
// late to be used.
const maxRememberedReports = 64

func (h *reportHistory) add(now time.Time, seq uint64, usage []message.Usage) {
	h.entries = append(h.entries, sentReport{seq: seq, sent: now, usage: usage})
	if len(h.entries) > maxRememberedReports {
		h.entries = h.entries[1:]
	}
}

// sentAt returns when a report was sent, or the zero time if it is no longer kept.
func (h *reportHistory) sentAt(seq uint64) time.Time {
	for _, entry := range h.entries {
		if entry.seq == seq {
			return entry.sent
		}
	}
	return time.Time{}
}

// changedUsage returns the usage that differs from that in report seq, or all of it if that report
// is no longer kept.
func (h *reportHistory) changedUsage(seq uint64, usage []message.Usage) []message.Usage {
	changed := make([]message.Usage, 0, len(usage))
	for _, current := range usage {
		if reported, ok := h.usageInReport(seq, current.Account); !ok || reported != current {
			changed = append(changed, current)
		}
	}
	return changed
}

func (h *reportHistory) usageInReport(seq uint64, account string) (message.Usage, bool) {
	for _, entry := range h.entries {
		if entry.seq != seq {
			continue
		}
		index, found := slices.BinarySearchFunc(entry.usage, account, func(usage message.Usage, account string) int {
			return strings.Compare(usage.Account, account)
		})
		if !found {
			return message.Usage{}, true
		}
		return entry.usage[index], true
	}
	return message.Usage{}, false
}
