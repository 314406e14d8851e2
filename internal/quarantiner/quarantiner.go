// Package quarantiner decides which calls are held back because targets end under them.
//
// One call can end every target that begins to run it, and comes again at other instances
// under other IDs. When a target ends, each call in flight there may be the cause: of 32 of
// them 31 are not. A call that was in flight at the ends of several targets, and was served
// by none since, is the cause with near certainty, and is held back.
//
// What is known is a set of ends, each of one process under one call, and which of them are
// excused. Sets are joined by taking all ends of both, so instances may tell each other in
// any order and any number of times.
package quarantiner

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/enroller"
)

// Settings bounds a Quarantiner.
type Settings struct {
	// Ends is under how many ends of targets a call is held back.
	Ends int
	// Apart is how far apart two ends under a call that was served before must be to count as
	// two. Targets that lose their power together end together, and calls that look alike, a
	// page that one customer asks for all the time, may be in flight at all of them.
	Apart time.Duration
	// Rests are how long after its last end a call that is held back is tried again, and how
	// long after each trial that failed. After the last it is not tried any more: each trial
	// of a call that does end targets costs one, and the users allow three.
	Rests []time.Duration
	// Keep is how long a call that does not come again is remembered.
	Keep time.Duration
	// Most is how many calls are remembered.
	Most int
}

// DefaultSettings returns the settings that gateways use.
func DefaultSettings() Settings {
	return Settings{
		// A bystander of a call that ends targets is now and then in flight at the end of a
		// second target, when it was sent on to where the same call went too. Each further
		// end that is waited for costs a target with all its calls.
		Ends: 3,
		// The calls at a target whose power is gone break with its connections, or at the
		// next thing that is sent on them.
		Apart: time.Second,
		// A target is back after seconds, a model or service is repaired within minutes at
		// best, and within an hour or two for the most part.
		Rests: []time.Duration{time.Minute, 10 * time.Minute, 100 * time.Minute},
		// Longer than any pause after which a caller is told to come back.
		Keep: 4 * time.Hour,
		// All calls in flight at a third of 600 targets with 20 calls each.
		Most: 4096,
	}
}

// Quarantiner remembers calls under which targets have ended. It is not safe for concurrent
// use.
type Quarantiner struct {
	settings Settings
	calls    map[digester.Digest]*Record
	served   served
}

// New returns a Quarantiner that knows of no call.
func New(s Settings) *Quarantiner {
	return &Quarantiner{settings: s, calls: make(map[digester.Digest]*Record)}
}

// Come returns what a call may do that has come now, or comes to be sent once more.
func (q *Quarantiner) Come(now time.Time, d digester.Digest) Verdict {
	r, ok := q.calls[d]
	if !ok {
		return Verdict{}
	}

	r.Seen = now

	return q.Look(now, d)
}

// Look returns the same of a call that has not come.
func (q *Quarantiner) Look(now time.Time, d digester.Digest) Verdict {
	r, ok := q.calls[d]
	if !ok {
		return Verdict{}
	}

	v := q.verdict(r)

	if n := v.Ends - q.settings.Ends; n >= 0 && n < len(q.settings.Rests) {
		v.Back = max(v.Last.Add(q.settings.Rests[n]).Sub(now), 0)
		v.Due = v.Back == 0
	}

	return v
}

// Ended takes that a process has ended while a call was in flight there, and returns what the
// call may do from now on, and whether the end was not known.
func (q *Quarantiner) Ended(now time.Time, d digester.Digest, p enroller.Name) (Verdict, bool) {
	r, known := q.calls[d]
	if !known {
		r = q.remember(now, d)
	}

	r.Seen = now
	added := r.add(End{Process: p, At: now, Known: q.served.has(d)})

	return q.verdict(r), added
}

// Served takes that a call was answered in full: it caused none of the ends that are known.
// It says whether there were any.
func (q *Quarantiner) Served(d digester.Digest) bool {
	q.served.add(d)

	r, ok := q.calls[d]
	if !ok {
		return false
	}

	var changed bool

	for i := range r.Ends {
		changed = changed || !r.Ends[i].Excused
		r.Ends[i].Excused = true
	}

	return changed
}

// Learn joins what another instance knows, and returns the calls that are held back since, and
// whether anything was new.
func (q *Quarantiner) Learn(now time.Time, l []Record) (held []digester.Digest, changed bool) {
	for _, x := range l {
		if now.Sub(x.Seen) >= q.settings.Keep || len(x.Ends) == 0 {
			continue
		}

		r, ok := q.calls[x.Call]
		if !ok {
			r = q.remember(x.Seen, x.Call)
		}

		b := q.verdict(r).Standing
		changed = r.join(x) || changed

		if b != Held && q.verdict(r).Standing == Held {
			held = append(held, x.Call)
		}
	}

	return held, changed
}

// Records returns the calls under which two ends or more count, at most so many, those with most
// ends before the others. One end is nearly always that of a bystander, and joins the others
// once there is a second.
func (q *Quarantiner) Records(most int) []Record {
	o := slices.DeleteFunc(q.sorted(), func(r Record) bool { return !q.grave(&r) })
	slices.Reverse(o)

	return o[:min(len(o), most)]
}

// grave says that a call is among the Records.
func (q *Quarantiner) grave(r *Record) bool {
	return q.verdict(r).Ends > 1
}

// Of returns what is known of some calls.
func (q *Quarantiner) Of(l []digester.Digest) []Record {
	var o []Record

	for _, d := range l {
		if r, ok := q.calls[d]; ok {
			o = append(o, r.clone())
		}
	}

	return o
}

// Forget drops the calls that have not come for long.
func (q *Quarantiner) Forget(now time.Time) {
	for d, r := range q.calls {
		if now.Sub(r.Seen) >= q.settings.Keep {
			delete(q.calls, d)
		}
	}
}

// remember makes room for a call and returns its empty record.
func (q *Quarantiner) remember(seen time.Time, d digester.Digest) *Record {
	if len(q.calls) >= q.settings.Most {
		q.shed()
	}

	r := &Record{Call: d, Seen: seen}
	q.calls[d] = r

	return r
}

// shed drops an eighth of the calls, those that matter least. Whoever sends ever new calls that
// end targets can so push out neither the memory nor the calls that are held back.
func (q *Quarantiner) shed() {
	const part = 8

	for _, r := range q.sorted()[:max(len(q.calls)/part, 1)] {
		delete(q.calls, r.Call)
	}
}

// sorted returns what is known, what matters least first.
func (q *Quarantiner) sorted() []Record {
	o := make([]Record, 0, len(q.calls))
	for _, r := range q.calls {
		o = append(o, r.clone())
	}

	slices.SortFunc(o, func(a, b Record) int {
		if n := q.verdict(&a).Ends - q.verdict(&b).Ends; n != 0 {
			return n
		}

		return a.Seen.Compare(b.Seen)
	})

	return o
}

// verdict judges a call by the ends that count: not excused, and, if it was served before,
// apart from each other.
func (q *Quarantiner) verdict(r *Record) Verdict {
	var (
		v     Verdict
		apart time.Duration
	)

	if slices.ContainsFunc(r.Ends, func(e End) bool { return e.Known }) {
		apart = q.settings.Apart
	}

	for _, e := range r.Ends {
		if e.Excused || v.Ends > 0 && e.At.Sub(v.Last) < apart {
			continue
		}

		v.Ends++
		v.Last = e.At
	}

	switch {
	case v.Ends >= q.settings.Ends:
		v.Standing = Held
	case v.Ends > 0:
		v.Standing = Suspected
	}

	return v
}
