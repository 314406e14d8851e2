package exchanger

// Headers that callers send.
const (
	// HeaderCustomer names the customer; required.
	HeaderCustomer = "Auburntray-Customer"
	// HeaderChat names the chat; without it the chat is derived from the
	// beginning of its prompt.
	HeaderChat = "Auburntray-Chat"
	// HeaderDeadline is how long the caller waits, as a Go duration.
	HeaderDeadline = "Auburntray-Deadline"
	// HeaderPlace is the token of the last answer in the chat.
	HeaderPlace = "Auburntray-Place"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
)

// Headers of every answer.
const (
	// HeaderOutcome is the Outcome of the call.
	HeaderOutcome = "Auburntray-Outcome"
	// HeaderReplayed says that the answer is the recorded one of an earlier
	// call with the same key.
	HeaderReplayed = "Auburntray-Replayed"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Auburntray-Target"
)

// Headers between the router and targets.
const (
	TargetRequestID   = "X-Request-Id"
	TargetPriority    = "X-Priority"
	TargetNotRun      = "X-Not-Run"
	TargetRequests    = "X-Load-Requests"
	TargetIncarnation = "X-Incarnation"
	TargetLeaving     = "X-Leaving"
)

// Outcome says what is true of a call.
type Outcome string

// The outcomes.
const (
	// NotRun means that this call was not run and will not be: it is safe to
	// send it again.
	NotRun Outcome = "notRun"
	// Ran means that the call ran and this is its answer.
	Ran Outcome = "ran"
	// Unknown means that the call may have run.
	Unknown Outcome = "unknown"
)
