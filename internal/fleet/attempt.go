package fleet

// An AttemptEnd is how one attempt at a target ended, in the words of the line that
// a router logs of it.
type AttemptEnd string

// The ends of attempts.
const (
	// AttemptAnswered is a whole answer, whatever its status.
	AttemptAnswered AttemptEnd = "answered"
	// AttemptBroken is an answer that ended early.
	AttemptBroken AttemptEnd = "broken"
	// AttemptCallerLeft is an attempt ended because its caller left.
	AttemptCallerLeft AttemptEnd = "caller left"
	// AttemptClosed is a request that was not sent: its target takes no more work.
	AttemptClosed AttemptEnd = "closed"
	// AttemptFailure is the target's own failure, not passed on.
	AttemptFailure AttemptEnd = "failure"
	// AttemptMoved is an answer of another target, which has the address by now and did
	// not run the request.
	AttemptMoved AttemptEnd = "moved"
	// AttemptNoAnswer is a request that was sent and got no answer.
	AttemptNoAnswer AttemptEnd = "no answer"
	// AttemptUnreached is a target to which no connection was made.
	AttemptUnreached AttemptEnd = "unreached"
	// AttemptUnrun is an answer that says that the target did not run the request.
	AttemptUnrun AttemptEnd = "unrun"
	// AttemptUnsigned is an answer that no target vouches for.
	AttemptUnsigned AttemptEnd = "unsigned"
)
