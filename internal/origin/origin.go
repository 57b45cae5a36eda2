// Package origin keeps where resumable streams began: the pool of targets and the version of their
// software. A stream may go on only there, also if its caller comes back to another router.
//
// Each router records the streams that it begins, and tells two or three others, which are chosen by the
// ID of the request. A router that a caller comes back to asks these. What nobody knows stays unknown;
// there is no guess.
package origin

import (
	"errors"
	"time"
)

// An Origin is where a stream began.
type Origin struct {
	Pool string
	// Version is the version of the target's software; "" if it is not stated.
	Version string
}

// A Finding is the origin of a stream, and how it was found.
type Finding struct {
	Origin
	// Source is the address of the router that knew it, or "self".
	Source string
	// Age is the time since the stream began.
	Age time.Duration
}

// ErrUnknown reports that no router that could be asked knows where a stream began.
var ErrUnknown = errors.New("no router that answers knows where the stream began (start it again, without the ID of its last event)")

// sourceSelf is the Source of what this router has recorded.
const sourceSelf = "self"
