// Package soak plays series of overlapping faults and changes on a fleet of real
// processes, under callers that never stop, and holds what callers and targets saw
// against the promises of docs/PROMISES.md. It consists of tests: the test binary is
// the programs as well.
package soak
