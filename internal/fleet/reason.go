package fleet

// A Reason is why a request ended as it did, in the words of the line that a router
// logs at its end.
type Reason string

// The reasons. An answer that has begun and cannot go on has one of them after
// [ReasonBrokenOff].
const (
	// ReasonAnswered is the whole answer of a target, whatever its status.
	ReasonAnswered Reason = "answered"
	// ReasonBadBody is a body whose reading failed.
	ReasonBodyReadFailed Reason = "body cannot be read"
	// ReasonBehind is a predicted wait longer than the caller's patience.
	ReasonWaitTooLong Reason = "targets are behind"
	// ReasonBrokenAnswer is an answer, not a stream, that ended early.
	ReasonAnswerTruncated Reason = "the answer broke off"
	// ReasonBrokenOff begins the reason of an answer that had begun.
	ReasonTruncatedPrefix Reason = "broken off: "
	// ReasonBrokenStream is a stream that ended early.
	ReasonStreamTruncated Reason = "the stream broke off"
	// ReasonCallerLeft is a caller that closed its connection or cancelled.
	ReasonCallerLeft Reason = "the caller left"
	// ReasonCallerTookNone is an answer that could not be written.
	ReasonAnswerWriteFailed Reason = "the caller took no answer"
	// ReasonCallerTookNoMore is a stream that could not be written on.
	ReasonStreamWriteFailed Reason = "the caller took no more"
	// ReasonClosed is a target that was evacuated, or became cold, on the way to it.
	ReasonTargetClosed Reason = "the target takes no more work"
	// ReasonCrowded is surplus that a plain service would refuse.
	ReasonServiceOverloaded Reason = "the service is crowded"
	// ReasonEvacuated is a pool of which all targets lie in evacuated zones.
	ReasonAllEvacuated Reason = "all targets are evacuated"
	// ReasonFailed is a target's failure after which the request goes elsewhere.
	ReasonTargetFailed Reason = "the target failed"
	// ReasonFullMemory is no memory left for callers' bodies.
	ReasonBodyMemoryFull Reason = "bodies fill the memory"
	// ReasonHeldBack is a request that ends the targets that run it, or may.
	ReasonQuarantined Reason = "targets end under this request"
	// ReasonGraceOver is a request cut at the end of a stop.
	ReasonGraceExpired Reason = "cut: the grace is over"
	// ReasonLargeBody is a body over the limit of the configuration.
	ReasonBodyTooLarge Reason = "body too large"
	// ReasonLateBody is a body that did not come in time, or not whole.
	ReasonBodyIncomplete Reason = "the body did not come"
	// ReasonMoved is an address that another target has by now.
	ReasonAddressReused Reason = "another target has the address"
	// ReasonNoAnswer is a target that was sent the request and gave no answer.
	ReasonNoAnswer Reason = "the target gave no answer"
	// ReasonNoConfig is a router that has no configuration or no targets yet.
	ReasonNoConfig Reason = "no configuration yet"
	// ReasonNoConnection is a target to which no connection was made.
	ReasonNoConnection Reason = "no connection"
	// ReasonNoKeys is a router whose lease on keys has lapsed.
	ReasonKeysUnverifiable Reason = "keys cannot be checked"
	// ReasonNoRoute is a host and path of no route.
	ReasonNoRoute Reason = "no route"
	// ReasonNoTarget is a pool without targets.
	ReasonNoTarget Reason = "no target"
	// ReasonOverShare is work beyond an account's share while targets lack room.
	ReasonOverShare Reason = "beyond the account's share"
	// ReasonStopping is a router on its way out.
	ReasonStopping Reason = "stopping"
	// ReasonStreamStuck is a stream that no target could go on with.
	ReasonStreamNotResumable Reason = "the stream cannot go on"
	// ReasonTimeUp is a caller's or route's time that has run out.
	ReasonDeadlineExceeded Reason = "time is up"
	// ReasonUnknownKey is a key of no account.
	ReasonUnknownKey Reason = "unknown key"
	// ReasonUnreached is a row of targets to which no connection was made.
	ReasonNoTargetReachable Reason = "no target can be reached"
	// ReasonUnrun is a target that says that it did not run the request.
	ReasonNotRun Reason = "the target took no request"
	// ReasonUnsigned is an answer that no target vouches for.
	ReasonUnsigned Reason = "the answer bears no signature"
	// ReasonWarming is a pool whose targets are cold and have what they may get.
	ReasonWarming Reason = "targets are warming up"
)
