package fleet

// An AttemptResult is how one attempt at a target ended. A router logs its text.
type AttemptResult string

// The results of attempts.
const (
	// AttemptAnswered is a complete response, whatever its status.
	AttemptAnswered AttemptResult = "answered"
	// AttemptTruncated is a response that ended early.
	AttemptTruncated AttemptResult = "broken"
	// AttemptCallerLeft is an attempt that was cancelled because the caller disconnected.
	AttemptCallerLeft AttemptResult = "caller left"
	// AttemptTargetClosed is a request that was not sent because the target accepts no
	// more work.
	AttemptTargetClosed AttemptResult = "closed"
	// AttemptTargetFailed is a failure response of the target that is not passed on to the
	// caller.
	AttemptTargetFailed AttemptResult = "failure"
	// AttemptAddressReused is a response of another target that now has the address. It did
	// not run the request.
	AttemptAddressReused AttemptResult = "moved"
	// AttemptNoAnswer is a request that was sent and got no response.
	AttemptNoAnswer AttemptResult = "no answer"
	// AttemptNotSent is a request of which no byte was sent: its time had passed, or the connection
	// was closed.
	AttemptNotSent AttemptResult = "unsent"
	// AttemptConnectFailed is a target to which no connection could be opened.
	AttemptConnectFailed AttemptResult = "unreached"
	// AttemptNotRun is a response that says that the target did not run the request.
	AttemptNotRun AttemptResult = "unrun"
	// AttemptUnsigned is a response without the signature of a target.
	AttemptUnsigned AttemptResult = "unsigned"
)
