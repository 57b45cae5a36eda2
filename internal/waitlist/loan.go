package waitlist

import "time"

// loanTime is how long an account owes the room of a place. It is as long as service is averaged when
// accounts are compared.
const loanTime = time.Second

// A loan is room that places of an account took beyond its balance at a router.
type loan struct {
	tokens    float64
	expiresAt time.Time
}

// Borrow records that a place took room beyond its account's balance.
func (b *Book) Borrow(now time.Time, account string, tokens float64) {
	if b.loans == nil {
		b.loans = make(map[string]loan)
	}
	if len(b.loans) >= maxIdleAccounts {
		clear(b.loans)
	}
	b.loans[account] = loan{b.borrowed(now, account) + tokens, now.Add(loanTime)}
}

// Repay reports whether a request of an account must give its room back for places that took it before,
// and if so takes its tokens off the loan.
func (b *Book) Repay(now time.Time, account string, tokens float64) bool {
	owed := b.borrowed(now, account)
	if owed <= 0 {
		delete(b.loans, account)
		return false
	}
	b.loans[account] = loan{owed - tokens, b.loans[account].expiresAt}
	return true
}

func (b *Book) borrowed(now time.Time, account string) float64 {
	if kept := b.loans[account]; now.Before(kept.expiresAt) {
		return max(kept.tokens, 0)
	}
	return 0
}
