// Package quarantine holds back poison requests: requests that terminate the targets that run
// them.
//
// Each such request by itself looks normal, since it is sent only as often as its route allows.
// It is recognized by its fingerprint, which repeats across requests, routers and time. Each run
// takes a target away from all callers.
//
// Requests that differ may still share the cause, a part of their prompts. Such a part has a fingerprint
// of its own and is treated like a request. It is cleared sooner, since sound parts run beside the cause
// at each target that terminates.
//
// A [Guard] in each router records during which requests targets terminate. The [Coordinator] in
// the leading keeper combines the reports of all routers. The [EntryStore] is the durable state,
// which keepers replicate.
package quarantine
