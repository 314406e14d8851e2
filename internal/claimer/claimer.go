// Package claimer decides who may run a call that must not be repeated.
//
// It folds one partition of the claims stream in the order of its offsets. The
// first claim on a key by offset holds it, whatever the routers believed when
// they appended; so two routers that both take themselves for the partition's
// home can't both win.
//
// The idea of writing the intent down before acting on it, so that a crash
// leaves a decision that others can read, is that of the note "Commit the
// Intent, Then Touch the Cluster"; the log takes the place of its database.
package claimer

import "time"

// Outcome is how a call under a key stands.
type Outcome uint8

// The outcomes.
const (
	// Unclaimed means that no claim on the key is known.
	Unclaimed Outcome = iota
	// Won means that the asking claim holds the key and may send.
	Won
	// InProgress means that another claim holds the key and may still run.
	InProgress
	// Ran means that the call ran and its answer is recorded.
	Ran
	// Unknown means that the claim's holder left no record in time: the call
	// may have run or not, and is never run again.
	Unknown
	// Mismatch means that the key was claimed for another request body.
	Mismatch
	// NotRun releases the key: its holder did not send.
	NotRun
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unclaimed", "won", "inProgress", "ran", "unknown", "mismatch", "notRun"}[o]
}

// Answer is the recorded answer to a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated says that the answer was too long to record.
	Truncated bool
}

// Record is one entry of a claims stream: a claim, or how it was settled.
type Record struct {
	Key uint64
	// ID is the claim's own number.
	ID uint64
	// Body is the hash of the request's body. Only claims carry it.
	Body uint64
	// Lifetime is how long after its append the holder may still run the call.
	Lifetime time.Duration
	// Settled is Ran, Unknown or NotRun on the record that settles a claim.
	Settled Outcome
	Answer  *Answer
}

type claim struct {
	id       uint64
	body     uint64
	appended time.Time
	ends     time.Time
	settled  Outcome
	answer   Answer
}

// Claimer holds the claims of one partition. It is not safe for concurrent use.
type Claimer struct {
	window time.Duration
	claims map[uint64]*claim
	next   uint64
}

// New returns a Claimer that keeps a key for the given time after its claim,
// which must be less than the log's retention. A key that comes later is taken
// for a new one; callers are told the window in the operators' page.
func New(window time.Duration) *Claimer {
	return &Claimer{window: window, claims: make(map[uint64]*claim)}
}

// Fold takes the record at an offset, which the log appended at a time by its
// own clock. Records that were folded already are ignored.
func (c *Claimer) Fold(offset uint64, appended time.Time, r Record) {
	if offset < c.next {
		return
	}

	c.next = offset + 1
	o, ok := c.claims[r.Key]

	if r.Settled == Unclaimed {
		if !ok || o.settled == NotRun {
			c.claims[r.Key] = &claim{id: r.ID, body: r.Body, appended: appended, ends: appended.Add(r.Lifetime)}
		}

		return
	}

	// Only the claim that holds the key settles it: a claim that lost, or one
	// that was released, must not overwrite the answer of the one that ran.
	if !ok || o.id != r.ID || o.settled == Ran {
		return
	}

	o.settled = r.Settled
	if r.Answer != nil {
		o.answer = *r.Answer
	}
}

// Look says how a call stands for the claim with an ID and a body at a time by
// the log's clock, with the recorded answer if it ran, or how long the holder
// may still take if it is in progress.
func (c *Claimer) Look(now time.Time, key, id, body uint64) (Outcome, Answer, time.Duration) {
	o, ok := c.claims[key]
	if !ok || o.settled == NotRun {
		return Unclaimed, Answer{}, 0
	}

	switch {
	case o.id == id && o.settled == Unclaimed:
		return Won, Answer{}, 0
	case o.body != body:
		return Mismatch, Answer{}, 0
	case o.settled == Ran:
		return Ran, o.answer, 0
	case o.settled == Unknown || !now.Before(o.ends):
		return Unknown, Answer{}, 0
	default:
		return InProgress, Answer{}, o.ends.Sub(now)
	}
}

// Expire drops the keys whose window is over at a time by the log's clock. A key
// whose call may still run stays, however short the window: dropped, it would be
// free for a second run.
func (c *Claimer) Expire(now time.Time) {
	for k, o := range c.claims {
		if now.Sub(o.appended) > c.window && !now.Before(o.ends) {
			delete(c.claims, k)
		}
	}
}

// Len returns how many keys are held.
func (c *Claimer) Len() int {
	return len(c.claims)
}
