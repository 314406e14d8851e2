package cataloger

import "time"

// Kind determines whether a call may be sent again after a failure.
type Kind int

// The kinds of call.
const (
	// Once is for calls that run at most once.
	Once Kind = iota
	// Idempotent is for calls that may run again.
	Idempotent
	// Stream is for calls that are answered with a stream of events.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Once:
		return "once"
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Rule routes the calls of a host and a path prefix to groups of targets.
type Rule struct {
	Name string
	// Host is the host name that callers use, in any case; Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Resumable is set when a broken stream may continue at another target after the last
	// event that was forwarded.
	Resumable bool
	// Public is set when callers need no key.
	Public bool
	// Timeout is the timeout of a call; zero sets none.
	Timeout time.Duration
	// Latency is the latency objective: the time within which an answer, or the first event
	// of a stream, is of full use to the caller. Zero sets none.
	Latency time.Duration
	// MaxEventGap is the longest time between two events with which a stream is of full use to
	// the caller. Zero sets no bound.
	MaxEventGap time.Duration
	// Attempts is the most attempts of one call, at least one.
	Attempts int
	// Priority is the priority class of the calls; zero is the most urgent.
	Priority int
	// Regions are the regions whose targets may run the calls; nil means all, and an empty list none.
	Regions []string
	// Shares are the groups that the calls are split between by weight.
	Shares []Share
}

// Share is a group with its weight in the split of a rule's calls.
type Share struct {
	Group  string
	Weight int
}

// Repeatable reports whether a call of the rule may run more than once.
func (r *Rule) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Group returns the group for a call with a key, such as a hash. Calls with the same key are
// assigned to the same group until the shares change, so that calls with a common prompt
// prefix find it cached.
func (r *Rule) Group(key uint64) string {
	n := 0
	for _, s := range r.Shares {
		n += s.Weight
	}

	if n == 0 {
		return r.Shares[0].Group
	}

	k := int(key % uint64(n)) //nolint:gosec // Less than n.
	for _, s := range r.Shares {
		if k -= s.Weight; k < 0 {
			return s.Group
		}
	}

	return r.Shares[0].Group
}
