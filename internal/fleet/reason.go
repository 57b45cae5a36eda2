package fleet

// A Reason is why a request ended as it did. A router logs its text at the end of the
// request.
type Reason string

// The reasons. A response that started and cannot be completed has one of them after
// [ReasonTruncatedPrefix].
const (
	// ReasonAnswered is a complete response of a target, whatever its status.
	ReasonAnswered Reason = "answered"
	// ReasonBodyReadFailed is a request body that could not be read.
	ReasonBodyReadFailed Reason = "body cannot be read"
	// ReasonWaitTooLong is a predicted wait after which the caller would have left.
	ReasonWaitTooLong Reason = "targets are behind"
	// ReasonMemoryFull is a pool whose targets have no memory left for the request.
	ReasonMemoryFull Reason = "the targets' memory is full"
	// ReasonPromptTooLarge is a prompt that exceeds the memory of any target.
	ReasonPromptTooLarge Reason = "larger than a target's memory"
	// ReasonAnswerTruncated is a response, not a stream, that ended early.
	ReasonAnswerTruncated Reason = "the answer broke off"
	// ReasonTruncatedPrefix is the prefix of the reason of a response that had started.
	ReasonTruncatedPrefix Reason = "broken off: "
	// ReasonStreamTruncated is a stream that ended early.
	ReasonStreamTruncated Reason = "the stream broke off"
	// ReasonCallerLeft is a caller that closed its connection or cancelled the request.
	ReasonCallerLeft Reason = "the caller left"
	// ReasonAnswerWriteFailed is a response that could not be written to the caller.
	ReasonAnswerWriteFailed Reason = "the caller took no answer"
	// ReasonStreamWriteFailed is a stream whose next part could not be written to the caller.
	ReasonStreamWriteFailed Reason = "the caller took no more"
	// ReasonTargetClosed is a target that was evacuated, or became cold, after it was chosen
	// and before the request was sent.
	ReasonTargetClosed Reason = "the target takes no more work"
	// ReasonServiceOverloaded is load above the limit at which a plain service would refuse it.
	ReasonServiceOverloaded Reason = "the service is crowded"
	// ReasonAllEvacuated is a pool whose targets are all in evacuated zones.
	ReasonAllEvacuated Reason = "all targets are evacuated"
	// ReasonAllBackingOff is a pool whose targets all want no requests for some time.
	ReasonAllBackingOff Reason = "all targets asked for a pause"
	// ReasonTargetFailed is a target's failure after which the request is sent to another one.
	ReasonTargetFailed Reason = "the target failed"
	// ReasonBodyMemoryFull is a full memory budget for request bodies.
	ReasonBodyMemoryFull Reason = "bodies fill the memory"
	// ReasonQuarantined is a request that terminates the targets that run it, or may do so.
	ReasonQuarantined Reason = "targets end under this request"
	// ReasonPartQuarantined is a request with a part of its prompt that terminates targets, or may do so.
	ReasonPartQuarantined Reason = "targets end under a part of the prompt"
	// ReasonGraceExpired is a request that was cut when the grace period of a shutdown ended.
	ReasonGraceExpired Reason = "cut: the grace is over"
	// ReasonBodyTooLarge is a request body over the configured limit.
	ReasonBodyTooLarge Reason = "body too large"
	// ReasonBodyIncomplete is a request body that arrived too late or not completely.
	ReasonBodyIncomplete Reason = "the body did not come"
	// ReasonAddressReused is an address that now belongs to another target.
	ReasonAddressReused Reason = "another target has the address"
	// ReasonNoAnswer is a target that was sent the request and did not respond.
	ReasonNoAnswer Reason = "the target gave no answer"
	// ReasonNoConfig is a router that has no configuration or no targets yet.
	ReasonNoConfig Reason = "no configuration yet"
	// ReasonNoConnection is a target to which no connection could be opened.
	ReasonNoConnection Reason = "no connection"
	// ReasonKeysUnverifiable is a router whose lease for checking callers' keys has expired.
	ReasonKeysUnverifiable Reason = "keys cannot be checked"
	// ReasonConfigUnverifiable is a request that the configuration does not allow, at a router
	// whose lease has expired, so that its configuration may be out of date.
	ReasonConfigUnverifiable Reason = "the configuration may be out of date"
	// ReasonNoRoute is a host and path that match no route.
	ReasonNoRoute Reason = "no route"
	// ReasonNoTarget is a pool without targets.
	ReasonNoTarget Reason = "no target"
	// ReasonOverShare is work above an account's share while the targets lack capacity.
	ReasonOverShare Reason = "beyond the account's share"
	// ReasonStopping is a router that is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonStreamNotResumable is a stream that no target could resume.
	ReasonStreamNotResumable Reason = "the stream cannot go on"
	// ReasonOriginUnknown is a stream that its caller resumes, and of which no router knows at which
	// software version it began.
	ReasonOriginUnknown Reason = "it is not known where the stream began"
	// ReasonVersionGone is a stream that began at a software version which no target runs any more.
	ReasonVersionGone Reason = "no target runs the stream's version"
	// ReasonDeadlineExceeded is a caller's or a route's deadline that has passed.
	ReasonDeadlineExceeded Reason = "time is up"
	// ReasonUnknownKey is a key that belongs to no account.
	ReasonUnknownKey Reason = "unknown key"
	// ReasonNoTargetReachable is a connection failure at each target that was tried.
	ReasonNoTargetReachable Reason = "no target can be reached"
	// ReasonNotRun is a target that says that it did not run the request.
	ReasonNotRun Reason = "the target took no request"
	// ReasonUnsigned is a response without the signature of a target.
	ReasonUnsigned Reason = "the answer bears no signature"
	// ReasonWarming is a pool whose targets are warming up and already get the work that slow
	// start allows.
	ReasonWarming Reason = "targets are warming up"
)
