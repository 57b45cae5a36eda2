// Package soak contains soak tests: they inject overlapping faults and changes into a fleet of real
// processes under continuous load, and check the promises of docs/PROMISES.md against what callers and
// targets recorded. It consists of tests only; the test binary also serves as the fleet's programs.
package soak
