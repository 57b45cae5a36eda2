// Package waitlist gives appointments to requests that are refused for lack of room.
//
// A router that is about to refuse a request offers it a place: a time at which room is expected for
// its account. Two routers, chosen by a hash of the request's key, hold the claim on the place. The
// caller comes back at that time, mostly to another router; that one asks the holders and admits the
// request as if it were within its account's share.
//
// A Book bounds the places of an account to its share. Claims is what a holder keeps. A Service connects
// the routers. Book, Claims and the decisions of the Service are deterministic: they have no clock,
// goroutine or socket.
package waitlist

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LateSlack is how long after its time a place is lost. A caller comes back on a new connection to
	// another zone: a handshake, a first packet that is lost and sent again after 200 ms, and the wait
	// of a busy router.
	LateSlack = 300 * time.Millisecond
	// EarlySlack is how long before its time a place may be taken. The time told is rounded to
	// milliseconds and runs on the caller's clock.
	EarlySlack = 20 * time.Millisecond
)

// Key returns what identifies a request that comes back: its account and route, the ID of the last part
// of its prompt, and the size of the prompt in tokens. The ID of the attempt and the connection differ
// each time.
func Key(account, route string, lastPart uint64, tokens int) string {
	hash := xxhash.New()
	for _, field := range []string{account, route, strconv.FormatUint(lastPart, 16), strconv.Itoa(tokens)} {
		_, _ = hash.WriteString(field) // a hash never returns an error
		_, _ = hash.Write([]byte{0})
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// A State says what holders know about a request.
type State string

// The states.
const (
	// Silent means that no holder has answered in time.
	Silent State = "silent"
	// None means that the request has no place and gets none.
	None State = "none"
	// Told means that the request has got a place, at a time to come back.
	Told State = "told"
	// Early means that the request has a place, and its time has not come.
	Early State = "early"
	// Honored means that the request takes its place now.
	Honored State = "honoured"
	// Used means that the place has been taken before.
	Used State = "used"
)

// An Answer is what holders say about a request.
type Answer struct {
	State State
	// In is the time until the place, if the state is Told or Early. If it is Used, it is the time until
	// the request may get another one.
	In time.Duration
	// Waited is the time since the place was issued, if the state is Honored.
	Waited time.Duration
	// Late is whether the request had a place that it came too late for.
	Late bool
	// Recorded is whether a holder may have recorded the place that was offered.
	Recorded bool
}
