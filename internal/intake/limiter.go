// Package intake bounds the memory that the bodies of requests take in a router. Memory is reserved for a
// body before it is read, so the bound holds whatever callers send, and how fast. It has no clock.
package intake

import (
	"math"
	"time"
)

const (
	// shortBytes is the size up to which a body counts as short. The bodies of usual requests do.
	shortBytes = 64 << 10
	// shortDivisor is the part of the memory that only short bodies may take, as a divisor, so that they
	// are not refused because of long ones.
	shortDivisor = 8
	// accountFactor bounds the long bodies of one account to this multiple of the memory that is left for
	// long ones, so that other accounts find some. A single account gets eight ninths of it.
	accountFactor = 8

	// rateWindow is the time over which the rate is averaged at which memory becomes free.
	rateWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound when a refused caller may retry. Memory becomes free as
	// requests end, so a later time is not known.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// A Body is the body of a request that is in progress.
type Body struct {
	Account string // "" for requests without a key
	Bytes   int64
}

func (b Body) isLong() bool {
	return b.Bytes > shortBytes
}

// A Limiter reserves memory for bodies. Set the exported field before use.
type Limiter struct {
	// Limit is the memory for bodies in bytes; 0 is no limit.
	Limit int64

	reserved     int64
	longReserved int64
	byAccount    map[string]int64 // long bodies
	freed        float64          // bytes, with a weight that decays within rateWindow
	freedAt      time.Time
	promisedAt   time.Time // when the memory that refused callers were told to come back for is free
}

// Reserve reserves memory for a body that is about to be read. If there is none, it returns when the
// caller may retry.
func (l *Limiter) Reserve(now time.Time, body Body) (retryAfter time.Duration, ok bool) {
	if !l.fits(body) {
		return l.nextRetry(now, body), false
	}
	l.reserved += body.Bytes
	if body.isLong() {
		l.longReserved += body.Bytes
		if l.byAccount == nil {
			l.byAccount = make(map[string]int64)
		}
		l.byAccount[body.Account] += body.Bytes
	}
	return 0, true
}

// Release gives the memory of a body back.
func (l *Limiter) Release(now time.Time, body Body) {
	l.reserved -= body.Bytes
	l.freed, l.freedAt = l.decayedFreed(now)+float64(body.Bytes), now
	if !body.isLong() {
		return
	}
	l.longReserved -= body.Bytes
	if l.byAccount[body.Account] -= body.Bytes; l.byAccount[body.Account] <= 0 {
		delete(l.byAccount, body.Account)
	}
}

// Reserved returns the memory of the bodies in progress, in bytes.
func (l *Limiter) Reserved() int64 {
	return l.reserved
}

func (l *Limiter) fits(body Body) bool {
	free := l.Limit - l.reserved
	reserve := l.Limit / shortDivisor
	switch {
	case l.Limit <= 0:
		return true
	case !body.isLong():
		return body.Bytes <= max(free, reserve-(l.reserved-l.longReserved))
	case l.longReserved == 0:
		return true // a body of any size that the configuration allows is served at some time
	}
	left := min(free, l.Limit-reserve-l.longReserved) - body.Bytes
	return left >= 0 && l.byAccount[body.Account]+body.Bytes <= accountFactor*left
}

// nextRetry returns when the caller of a refused body may retry: when the memory that becomes free
// suffices for it and for those that were refused before it.
func (l *Limiter) nextRetry(now time.Time, body Body) time.Duration {
	rate := l.decayedFreed(now) / rateWindow.Seconds()
	if rate <= 0 {
		return maxRetryAfter
	}
	if l.promisedAt.Before(now) {
		l.promisedAt = now
	}
	seconds := float64(body.Bytes) / rate
	l.promisedAt = l.promisedAt.Add(time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)))
	if latest := now.Add(maxRetryAfter); l.promisedAt.After(latest) {
		l.promisedAt = latest
	}
	return max(l.promisedAt.Sub(now), minRetryAfter)
}

func (l *Limiter) decayedFreed(now time.Time) float64 {
	if l.freedAt.IsZero() {
		return 0
	}
	return l.freed * math.Exp(-max(now.Sub(l.freedAt), 0).Seconds()/rateWindow.Seconds())
}
