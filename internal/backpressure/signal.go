// Package backpressure keeps what targets say in their responses about further requests: that they
// want none for some time, or that they are about to end.
package backpressure

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderLeaving is the header of the public interface by which a target says that it is leaving.
const HeaderLeaving = "Lf-Leaving"

// maxRetryAfter bounds a time that is read from a header, so that it can be represented.
const maxRetryAfter = 24 * time.Hour

// A Signal is what one response says about further requests to its target.
type Signal struct {
	// Backoff is for how long the target wants no requests from this router; 0 if it does not say.
	Backoff time.Duration
	// Leaving says that the target is about to end and wants no new work.
	Leaving bool
}

// IsZero reports whether the response says nothing about further requests.
func (s Signal) IsZero() bool {
	return s == Signal{}
}

// driftDivisor is the reciprocal of the largest difference between the rates of two clocks.
const driftDivisor = 32

// WithDrift returns the signal with a backoff that is as long by the clock of a router that runs too fast:
// by a target's clock it is not over earlier.
func (s Signal) WithDrift() Signal {
	s.Backoff += s.Backoff / driftDivisor
	return s
}

// ParseBackoff returns the backoff that a response asks for. Only status 503 asks for one. The value
// of the Retry-After header is a number of seconds, which may have a fraction, or an HTTP date
// (RFC 9110, section 10.2.3). A date counts from the Date header of the same response, since the
// clocks of the target and of this router may differ. A header that cannot be read asks for nothing.
func ParseBackoff(status int, retryAfter, date string) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(retryAfter), 64)
	switch {
	case err == nil && math.IsInf(seconds, 0): // the word "inf", which is not a number of seconds
		return 0
	case err == nil || errors.Is(err, strconv.ErrRange):
		return secondsOf(seconds)
	}
	end, err := http.ParseTime(strings.TrimSpace(retryAfter))
	if err != nil {
		return 0
	}
	start, err := http.ParseTime(strings.TrimSpace(date))
	if err != nil {
		return 0
	}
	return min(max(end.Sub(start), 0), maxRetryAfter)
}

// secondsOf returns a number of seconds from 0 to maxRetryAfter as a duration, and 0 for NaN.
func secondsOf(seconds float64) time.Duration {
	if !(seconds > 0) { // the negation also excludes NaN
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// ParseLeaving reports whether the value of a header says that the target is leaving. A value that
// cannot be read does not.
func ParseLeaving(value string) bool {
	leaving, err := strconv.ParseBool(strings.TrimSpace(value))
	return err == nil && leaving
}
