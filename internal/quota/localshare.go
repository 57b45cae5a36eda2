package quota

import "time"

// LocalShare returns the tokens per second that an account may use through this router, or 0 if the
// capacity is unknown. The parts of all routers together are the account's share.
func (s *Shares) LocalShare(now time.Time, name string) float64 {
	if s.Capacity <= 0 {
		return 0
	}
	return s.localShare(now, name, s.account(now, name))
}

// MayOverdraw reports whether the debt of an account is less than the balance that it may save up. A
// request that was promised a place may come to a router where its account has no balance left.
func (s *Shares) MayOverdraw(now time.Time, name string) bool {
	a := s.account(now, name)
	s.refill(now, name, a)
	return a.balance > -s.localShare(now, name, a)*maxBurst.Seconds()
}
