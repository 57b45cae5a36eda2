package fleet

// An AttemptEnd is how one attempt at a target ended, in the words of the line that
// a router logs of it.
type AttemptResult string

// The ends of attempts.
const (
	// AttemptAnswered is a whole answer, whatever its status.
	AttemptAnswered AttemptResult = "answered"
	// AttemptBroken is an answer that ended early.
	AttemptTruncated AttemptResult = "broken"
	// AttemptCallerLeft is an attempt ended because its caller left.
	AttemptCallerLeft AttemptResult = "caller left"
	// AttemptClosed is a request that was not sent: its target takes no more work.
	AttemptTargetClosed AttemptResult = "closed"
	// AttemptFailure is the target's own failure, not passed on.
	AttemptTargetFailed AttemptResult = "failure"
	// AttemptMoved is an answer of another target, which has the address by now and did
	// not run the request.
	AttemptAddressReused AttemptResult = "moved"
	// AttemptNoAnswer is a request that was sent and got no answer.
	AttemptNoAnswer AttemptResult = "no answer"
	// AttemptUnreached is a target to which no connection was made.
	AttemptConnectFailed AttemptResult = "unreached"
	// AttemptUnrun is an answer that says that the target did not run the request.
	AttemptNotRun AttemptResult = "unrun"
	// AttemptUnsigned is an answer that no target vouches for.
	AttemptUnsigned AttemptResult = "unsigned"
)
