// Package claimer determines which claim on an idempotency key may run its call.
//
// It applies the records of one partition of the claims stream in offset order. The claim
// with the lowest offset acquires the key, so two routers that both consider themselves the
// partition's home (home node) can't both win.
//
// A router appends its claim before it sends the call (write-ahead intent), so that after
// the router has crashed, others can read that the call may have run. See the note "Commit
// the Intent, Then Touch the Cluster"; here the log replaces the note's database.
package claimer

import "time"

// Outcome is the state of the call under a key.
type Outcome uint8

// The outcomes of a claim.
const (
	// Unclaimed means that no claim on the key is known.
	Unclaimed Outcome = iota
	// Won means that the claim that is looked up holds the key, so that its call may be sent.
	Won
	// InProgress means that another claim holds the key and may still run.
	InProgress
	// Ran means that the call ran and its answer is recorded.
	Ran
	// Unknown means that the holder recorded no result within the claim's lifetime: the call
	// may have run, so it is never run again.
	Unknown
	// Mismatch means that the key was claimed for another request body.
	Mismatch
	// NotRun releases the key: its holder did not send the call.
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
	// Truncated is set when the body was too long to record.
	Truncated bool
}

// Record is one entry of a claims stream: a claim, or the settlement of one.
type Record struct {
	Key uint64
	// ID identifies the claim.
	ID uint64
	// Body is the hash of the request body; zero in settlements.
	Body uint64
	// Lifetime is how long after the claim's append its call may still run; zero in settlements.
	Lifetime time.Duration
	// Settled is Ran, Unknown or NotRun in a settlement; Unclaimed in a claim.
	Settled Outcome
	Answer  *Answer
}

type claim struct {
	id         uint64
	body       uint64
	appendedAt time.Time
	// expiresAt is the end of the claim's lifetime.
	expiresAt time.Time
	settled   Outcome
	answer    Answer
	// logged reports whether the log has the claim in its present era.
	logged bool
}

// Claimer tracks the claims of one partition. It is not safe for concurrent use.
type Claimer struct {
	// window is how long a key is retained after its claim.
	window     time.Duration
	claims     map[uint64]*claim
	nextOffset uint64
}

// New returns a Claimer without claims. It retains a key for the window after its claim. The
// window must be shorter than the log's retention. A key that is repeated after the window
// counts as new; the operators' page documents the window for callers.
func New(window time.Duration) *Claimer {
	return &Claimer{window: window, claims: make(map[uint64]*claim)}
}

// Apply applies the record at an offset with its append time by the log's clock. Records that
// were applied already are ignored.
func (c *Claimer) Apply(offset uint64, appended time.Time, r Record) {
	if offset < c.nextOffset {
		return
	}

	c.nextOffset = offset + 1
	o, ok := c.claims[r.Key]

	if r.Settled == Unclaimed {
		switch {
		case ok && o.id == r.ID:
			o.logged = true
		case !ok || o.settled == NotRun:
			c.claims[r.Key] = &claim{id: r.ID, body: r.Body, appendedAt: appended, expiresAt: appended.Add(r.Lifetime), logged: true}
		}

		return
	}

	// Only the claim that holds the key may settle it: a claim that lost or was released must
	// not overwrite the answer of the claim that ran.
	if !ok || o.id != r.ID || o.settled == Ran {
		return
	}

	o.settled = r.Settled
	if r.Answer != nil {
		o.answer = *r.Answer
	}
}

// Lookup returns the outcome for the claim with an ID and a body hash at a time by the log's
// clock. It also returns the recorded answer if the call ran, and the remaining lifetime of
// the holder's claim if the call is in progress.
func (c *Claimer) Lookup(now time.Time, key, id, body uint64) (Outcome, Answer, time.Duration) {
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
	case o.settled == Unknown || !now.Before(o.expiresAt):
		return Unknown, Answer{}, 0
	default:
		return InProgress, Answer{}, o.expiresAt.Sub(now)
	}
}

// Rewind prepares for a log that has come back from an older copy, whose records are applied again. The known
// claims remain: their calls may have run although the log has lost them.
func (c *Claimer) Rewind() {
	c.nextOffset = 0

	for _, o := range c.claims {
		o.logged = false
	}
}

// Lost returns the records of the known claims that the log lacks at a time by its clock, each settlement after its
// claim. Released claims are not needed any more.
func (c *Claimer) Lost(now time.Time) []Record {
	var l []Record

	for k, o := range c.claims {
		if o.logged || o.settled == NotRun {
			continue
		}

		l = append(l, Record{Key: k, ID: o.id, Body: o.body, Lifetime: max(o.expiresAt.Sub(now), 0)})

		if o.settled != Unclaimed {
			x := Record{Key: k, ID: o.id, Settled: o.settled}
			if o.settled == Ran {
				a := o.answer
				x.Answer = &a
			}

			l = append(l, x)
		}
	}

	return l
}

// Expire drops the keys whose window has passed at a time by the log's clock. It retains keys
// whose calls may still run, also beyond the window: a dropped key would permit a second run.
func (c *Claimer) Expire(now time.Time) {
	for k, o := range c.claims {
		if now.Sub(o.appendedAt) > c.window && !now.Before(o.expiresAt) {
			delete(c.claims, k)
		}
	}
}

// Len returns the number of keys that are retained.
func (c *Claimer) Len() int {
	return len(c.claims)
}
