package waitlist

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxIdleAccounts is how many accounts a Book keeps before it drops those without places ahead.
	maxIdleAccounts = 1024
	// maxWait is longer than any caller waits.
	maxWait = time.Hour
)

// A Book issues the places of accounts at one router. The places of an account are as far apart as its
// share needs to serve them, so that they never exceed it, over any time, by more than one request. The
// zero value is ready for use.
type Book struct {
	// Router is the name of the router. The first places of an account at routers with different names
	// are spread over time, so that together they do not exceed its share either.
	Router string

	accounts map[string]*schedule
	sweptAt  time.Time
	loans    map[string]loan // by account
}

// A schedule is what the places of one account have taken of its share.
type schedule struct {
	last      time.Time // the latest place
	owed      float64   // tokens that the share has to serve before the next place; negative while idle
	updatedAt time.Time
}

// An Offer is a place that a router offers. The zero value is none.
type Offer struct {
	At       time.Time
	account  string
	cost     float64
	previous time.Time // the account's latest place before it
}

// IsZero reports whether there is no place.
func (o Offer) IsZero() bool {
	return o.At.IsZero()
}

// Offer issues a place between two times to a request that costs tokens, of an account whose share is
// in tokens per second. It returns none if the share is taken until after the latest time.
func (b *Book) Offer(now time.Time, account string, cost, share float64, earliest, latest time.Time) Offer {
	if share <= 0 || cost <= 0 {
		return Offer{}
	}
	kept := b.schedule(now, account, cost, share)
	at := earliest
	if served := now.Add(time.Duration(min(kept.owed/share, maxWait.Seconds()) * float64(time.Second))); served.After(at) {
		at = served
	}
	if at.After(latest) {
		return Offer{}
	}
	offer := Offer{At: at, account: account, cost: cost, previous: kept.last}
	kept.last, kept.owed = at, at.Sub(now).Seconds()*share+cost
	return offer
}

// schedule returns the current schedule of an account. It begins anew if the account has not asked for
// places for as long as its share needs to serve one.
func (b *Book) schedule(now time.Time, account string, cost, share float64) *schedule {
	kept := b.accounts[account]
	if kept != nil {
		kept.owed -= share * now.Sub(kept.updatedAt).Seconds()
		kept.updatedAt = now
		if kept.owed > -cost {
			return kept
		}
	}
	if b.accounts == nil {
		b.accounts = make(map[string]*schedule)
	}
	if len(b.accounts) >= maxIdleAccounts {
		b.sweep(now)
	}
	kept = &schedule{owed: b.phase(account) * cost, updatedAt: now}
	b.accounts[account] = kept
	return kept
}

// phase returns when the first place of an account is, from 0 to 1 times what its share needs to serve
// a request.
func (b *Book) phase(account string) float64 {
	if b.Router == "" {
		return 0
	}
	return float64(xxhash.Sum64String(b.Router+"\x00"+account)) / math.MaxUint64
}

// Cancel takes back an offer that no holder has recorded. If another one has followed, its time stays
// empty.
func (b *Book) Cancel(o Offer) {
	kept := b.accounts[o.account]
	if o.IsZero() || kept == nil || !kept.last.Equal(o.At) {
		return
	}
	kept.last, kept.owed = o.previous, kept.owed-o.cost
}

// Ahead reports whether an account has a place whose time has not come.
func (b *Book) Ahead(now time.Time, account string) bool {
	kept := b.accounts[account]
	return kept != nil && kept.last.After(now)
}

// sweep drops the accounts without places ahead, from time to time.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = now
	for account := range b.accounts {
		if !b.Ahead(now, account) {
			delete(b.accounts, account)
		}
	}
}
