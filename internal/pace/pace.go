// Package pace tracks how long work takes at each target compared with the usual: targets of one pool
// differ in speed, and share their machines with other work.
package pace

// A Report is what a target says of its load in a response.
type Report struct {
	// Running is the number of requests that hold slots, Waiting the number of those that wait for one,
	// and Slots the number of slots; Running and Slots are 0 if they are not stated.
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual work takes at the moment; 0 if it is not stated.
	Slowdown float64
}
