// Package quarantine holds requests back that end the targets that run them.
//
// No single request of that kind looks wrong: each is sent as often as its route allows. What
// repeats is its likeness, over requests, routers and time, and each run takes a target away
// from everybody.
package quarantine
