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
	// reportPeriod is the longest time between reports.
	reportPeriod = 200 * time.Millisecond
	// reportPause is the shortest time between reports.
	reportPause = 10 * time.Millisecond
	// idlePause is the shortest time between reports of slots that came free
	// and that another router may need.
	idlePause = 40 * time.Millisecond
)

// HandleGrant takes a grant from a leader and reports whether it was put in force.
// A late or doubled one, or one of a deposed leader, changes nothing.
func (s *Scheduler) HandleGrant(now time.Time, g message.Grant) bool {
	if g.Incarnation != s.Incarnation || g.Term < s.term || g.Term == s.term && g.Seq <= s.granted {
		return false
	}
	before := s.config.Number
	if g.Number < before || g.Number > before && !s.adopt(g) {
		return false
	}
	s.term, s.granted = g.Term, g.Seq
	s.lease, s.short = g.ExpiresAt, g.SlotsShort
	if g.EchoSeq != s.echo {
		s.echo, s.echoedAt = g.EchoSeq, now
	}
	reduced := s.setSlots(g.Slots)
	s.setGone(g.LeavingTargets)
	for _, l := range g.VirtualTimes {
		if known, ok := s.history.usage(g.EchoSeq, l.Account); ok {
			s.queues.Heard(l, known)
		}
	}
	s.queues.SetFloor(g.VirtualTimeFloor)
	if g.Restrictions != nil {
		s.Guard.ApplyUpdate(now, s.history.at(g.EchoSeq), g.Term, *g.Restrictions)
		s.resume(now)
	}
	if reduced || s.config.Number != before {
		// The leader waits to hear of it.
		s.wantReport(now)
	}
	s.pump(now)
	return true
}

// adopt puts the configuration of a grant in force. It never goes back to an
// older one.
func (s *Scheduler) adopt(g message.Grant) bool {
	if len(g.Config) == 0 {
		return false
	}
	var c fleet.Config
	if err := json.Unmarshal(g.Config, &c); err != nil || c.Number != g.Number {
		return false
	}
	s.config, s.digest = c, c.Digest()
	s.queues.SetAccounts(c.Accounts)
	s.keys = make(map[string]string)
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			s.keys[k] = a.Name
		}
	}
	s.setTargets(c)
	s.refuseOrphans()
	return true
}

// setTargets rebuilds the targets and events. What runs on a target goes on
// being counted, also when the target leaves.
func (s *Scheduler) setTargets(c fleet.Config) {
	next := make(map[string]*slots, len(c.Targets))
	for _, t := range c.Targets {
		state := s.targets[t.Name]
		if state == nil {
			state = &slots{}
		}
		if state.Address != t.Address {
			state.breaker = breaker{}
		}
		state.Target = t
		if !t.Live() {
			state.cap = 0
		}
		next[t.Name] = state
	}
	for name, state := range s.targets {
		if next[name] == nil && state.use > 0 {
			state.cap = 0
			next[name] = state
		}
	}
	s.targets = next
	s.events = make(map[string]*event, len(c.Events))
	for _, e := range c.Events {
		state := &event{Event: e}
		for _, name := range e.Targets {
			if t := next[name]; t.Live() {
				state.targets = append(state.targets, t)
			}
		}
		s.events[e.Name] = state
	}
}

// refuseOrphans answers what waits for an event that no longer admits it.
func (s *Scheduler) refuseOrphans() {
	for _, id := range s.queues.All() {
		p := s.requests[id]
		e := s.events[p.Event]
		if e == nil || !e.Admits(p.Account) {
			s.refuse(p, unrun(time.Time{}, fleet.KindEventUnavailable, "name an event of the configuration in force",
				"event %q no longer takes account %q", p.Event, p.Account))
		}
	}
}

// setSlots replaces the slots held and reports whether any were taken back.
func (s *Scheduler) setSlots(list []message.SlotGrant) bool {
	reduced := false
	counts := make(map[string]int, len(list))
	for _, l := range list {
		counts[l.Target] = l.Count
	}
	for name, t := range s.targets {
		n := counts[name]
		if !t.Live() {
			n = 0
		}
		reduced = reduced || n < t.cap
		t.cap = n
	}
	return reduced
}

func (s *Scheduler) setGone(names []string) {
	for _, t := range s.targets {
		t.gone = slices.Contains(names, t.Name)
	}
}

// loseLease answers all that waits, since nothing may be started any more.
func (s *Scheduler) loseLease(now time.Time) {
	s.lease = time.Time{}
	for _, t := range s.targets {
		t.cap = 0
	}
	s.refuseWaiting(func() *Refuse { return s.noLease(now) })
}

// wantReport brings the next report forward.
func (s *Scheduler) wantReport(now time.Time) {
	s.reportWithin(now, reportPause)
}

// reportWithin brings the next report forward to a pause after the last.
func (s *Scheduler) reportWithin(now time.Time, pause time.Duration) {
	due := s.reported.Add(pause)
	if due.Before(now) {
		due = now
	}
	if due.Before(s.reportDue) {
		s.reportDue = due
	}
}

// report tells the leader what the router has, holds and served.
func (s *Scheduler) report(now time.Time) {
	s.reports++
	s.reported = now
	s.reportDue = now.Add(reportPeriod)
	if len(s.parked) > 0 {
		s.reportDue = now.Add(rulingPoll)
	}
	usage := s.queues.Usage()
	s.history.add(now, s.reports, usage)
	held := s.Guard.Report(now)
	full := s.reports%fullEvery == 1 || now.Sub(s.echoedAt) > leaderSilence
	if !full {
		usage = s.history.changedSince(s.echo, usage)
	}
	r := message.Report{
		Router: s.Name, Zone: s.Zone, Incarnation: s.Incarnation, Seq: s.reports, SentAt: now,
		Term: s.term, AckSeq: s.granted, Number: s.config.Number,
		Queues: s.queues.Queues(), Full: full, Usage: usage, Leaving: s.stopping, Quarantine: &held,
	}
	for _, t := range s.targets {
		if t.cap > 0 || t.use > 0 {
			r.Slots = append(r.Slots, message.SlotUsage{Target: t.Name, Limit: t.cap, InUse: t.use})
		}
	}
	slices.SortFunc(r.Slots, func(a, b message.SlotUsage) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	if full {
		// A new leader needs to know what the levels are.
		r.VirtualTimes = s.queues.Levels()
		r.Usage = slices.Clone(usage)
		for i := range r.Usage {
			r.Usage[i].ServedInVirtualTime = s.queues.Counted(usage[i].Account)
		}
	}
	s.act(SendReport{Report: r})
}

const (
	// leaderSilence is how long the leader may be silent before reports carry
	// all that a new one needs.
	leaderSilence = 2*reportPeriod - reportPeriod/4
	// fullEvery is how often they do anyway.
	fullEvery = 32
)

// usageHistory keeps what the last reports said was served, so that a level
// can be matched with the report that it includes.
type usageHistory struct {
	entries []historyEntry
}

type historyEntry struct {
	seq   uint64
	sent  time.Time
	usage []message.Usage // by account
}

// maxHistory bounds the reports remembered. A grant that echoes an older one
// comes too late to be used.
const maxHistory = 64

func (h *usageHistory) add(now time.Time, seq uint64, usage []message.Usage) {
	h.entries = append(h.entries, historyEntry{seq: seq, sent: now, usage: usage})
	if len(h.entries) > maxHistory {
		h.entries = h.entries[1:]
	}
}

// at returns when a report was made; the zero time if that is no longer remembered.
func (h *usageHistory) at(seq uint64) time.Time {
	for _, e := range h.entries {
		if e.seq == seq {
			return e.sent
		}
	}
	return time.Time{}
}

// changedSince returns what differs from the report seq; all, if that is no
// longer remembered.
func (h *usageHistory) changedSince(seq uint64, usage []message.Usage) []message.Usage {
	changed := make([]message.Usage, 0, len(usage))
	for _, u := range usage {
		if known, ok := h.usage(seq, u.Account); !ok || known != u {
			changed = append(changed, u)
		}
	}
	return changed
}

func (h *usageHistory) usage(seq uint64, account string) (message.Usage, bool) {
	for _, e := range h.entries {
		if e.seq != seq {
			continue
		}
		i, found := slices.BinarySearchFunc(e.usage, account, func(u message.Usage, name string) int {
			return strings.Compare(u.Account, name)
		})
		if !found {
			return message.Usage{}, true
		}
		return e.usage[i], true
	}
	return message.Usage{}, false
}
