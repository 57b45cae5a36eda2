package dispatch

import "time"

// A TurnedAway is a response by which a target turned a request away: status 503, with the time for
// which it wants no requests or the statement that it did not run this one.
type TurnedAway struct {
	// NotRun says that the target stated that it did not run the request.
	NotRun bool
	// Cost is the measured cost of the request, in units of service.
	Cost float64
}

// HandleTurnedAway decides on a request that a target has turned away. It reports whether the response
// is forwarded to the client, which is then asked to come back at retryAt; the attempt goes on until
// HandleAttemptEnd. Otherwise the attempt has ended, and the request is retried or refused.
func (s *Scheduler) HandleTurnedAway(now time.Time, id uint64, response TurnedAway) (forward bool, retryAt time.Time) {
	req := s.requests[id]
	if req == nil || req.phase != phaseRunning {
		return true, now.Add(minRetryAfter)
	}
	s.refreshSignals()
	result := AttemptResult{Sent: true, Failed: true, NotRun: response.NotRun, Cost: response.Cost}
	if result.mayHaveRun() && (req.disconnected || !s.canRetry(now, req, result)) {
		return true, s.nextAvailable(now, req.Event)
	}
	s.HandleAttemptEnd(now, id, result)
	return false, time.Time{}
}

// nextAvailable returns when a target of an event takes requests.
func (s *Scheduler) nextAvailable(now time.Time, eventName string) time.Time {
	if event := s.events[eventName]; event != nil {
		if unavailable := event.unavailableRefusal(now); unavailable != nil {
			return unavailable.RetryAt
		}
	}
	return now.Add(minRetryAfter)
}
