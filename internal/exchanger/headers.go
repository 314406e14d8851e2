package exchanger

// Headers that callers send.
const (
	// HeaderCustomer names the customer; it is required.
	HeaderCustomer = "Auburntray-Customer"
	// HeaderChat names the chat. Without it, the chat is derived from the beginning of
	// the prompt.
	HeaderChat = "Auburntray-Chat"
	// HeaderDeadline is the time that the caller waits for the answer, as a Go duration.
	HeaderDeadline = "Auburntray-Deadline"
	// HeaderPlacement is the placement token from the previous answer in the chat.
	HeaderPlacement = "Auburntray-Place"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
)

// Headers of every answer.
const (
	// HeaderOutcome is the Outcome of the call.
	HeaderOutcome = "Auburntray-Outcome"
	// HeaderReplayed marks an answer as the recorded one of an earlier call with the same
	// key.
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

// Outcome states whether a call was run.
type Outcome string

// Outcomes of calls.
const (
	// NotRun means that this call was not run and will not be; it is safe to send it
	// again.
	NotRun Outcome = "notRun"
	// Ran means that the call was run and that this is its answer.
	Ran Outcome = "ran"
	// Unknown means that the call may have been run.
	Unknown Outcome = "unknown"
)
