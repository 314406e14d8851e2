// Package quarantiner decides which calls are quarantined because targets crash while running them.
//
// A single call can crash every target that begins to run it, and is retried through other instances
// under other IDs. When a target crashes, any of the calls in flight there may be the cause: of 32
// calls in flight, 31 are innocent. A call that was in flight at the crashes of several targets, and
// was not served since, is almost certainly the cause, and is quarantined.
//
// The state is a set of crashes, each of one process while one call was in flight there, some of which
// are cleared because the call was served since. Merging states is a set union, so instances may
// exchange them in any order and any number of times.
package quarantiner

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
)

// Settings configures a Quarantiner.
type Settings struct {
	// CrashThreshold is the number of crashes at which a call is quarantined.
	CrashThreshold int
	// MinSeparation is the smallest time between two crashes that count as two, for a call that was served
	// before. Targets that lose power together crash together, and calls with the same digest, such
	// as a page that one customer requests constantly, may be in flight at all of them.
	MinSeparation time.Duration
	// TrialDelays are the times from the last crash to the next trial of a quarantined call, indexed
	// by the number of its failed trials. After the last one there are no more trials: each trial of
	// a call that does crash targets costs a target, and the loss of three targets is acceptable.
	TrialDelays []time.Duration
	// Retention is how long a call is remembered after it was last seen.
	Retention time.Duration
	// MaxCalls is the largest number of remembered calls.
	MaxCalls int
}

// DefaultSettings returns the settings used by gateways.
func DefaultSettings() Settings {
	return Settings{
		// An innocent call is occasionally in flight at two crashes, when its retry reaches the same
		// target as a retry of the cause. Each further crash costs a target with all its calls.
		CrashThreshold: 3,
		// When targets lose power together, their crashes are detected within this time: the calls
		// there fail as the connections break, or at the next write.
		MinSeparation: time.Second,
		// A target restarts within seconds; a model or service is repaired within minutes at best,
		// and mostly within one to two hours.
		TrialDelays: []time.Duration{time.Minute, 10 * time.Minute, 100 * time.Minute},
		// Longer than any time after which a refused caller should retry.
		Retention: 4 * time.Hour,
		// Enough for all calls in flight at a third of 600 targets with 20 calls each.
		MaxCalls: 4096,
	}
}

// Quarantiner remembers the calls that were in flight when targets crashed. It is not safe for
// concurrent use.
type Quarantiner struct {
	settings Settings
	calls    map[digester.Digest]*Record
	served   served
}

// New returns a Quarantiner without any calls.
func New(s Settings) *Quarantiner {
	return &Quarantiner{settings: s, calls: make(map[digester.Digest]*Record)}
}

// Check returns the verdict on a call that arrived or is about to be retried, and marks it as seen.
func (q *Quarantiner) Check(now time.Time, d digester.Digest) Verdict {
	r, ok := q.calls[d]
	if !ok {
		return Verdict{}
	}

	r.LastSeen = now

	return q.Peek(now, d)
}

// Peek returns the verdict on a call without marking it as seen.
func (q *Quarantiner) Peek(now time.Time, d digester.Digest) Verdict {
	r, ok := q.calls[d]
	if !ok {
		return Verdict{}
	}

	v := q.verdict(r)

	if n := v.Crashes - q.settings.CrashThreshold; n >= 0 && n < len(q.settings.TrialDelays) {
		v.TrialIn = max(v.LastCrash.Add(q.settings.TrialDelays[n]).Sub(now), 0)
		v.TrialDue = v.TrialIn == 0
	}

	return v
}

// RecordCrash records that a process crashed while a call was in flight there. It returns the new verdict,
// and whether the crash was new or changed.
func (q *Quarantiner) RecordCrash(now time.Time, d digester.Digest, p discoverer.Name) (Verdict, bool) {
	r, known := q.calls[d]
	if !known {
		r = q.insert(now, d)
	}

	r.LastSeen = now
	added := r.add(Crash{Process: p, At: now, ServedBefore: q.served.contains(d)})

	return q.verdict(r), added
}

// RecordServed records that a call was answered in full, which clears all its known crashes: it caused
// none of them. It reports whether any crash was not cleared before.
func (q *Quarantiner) RecordServed(d digester.Digest) bool {
	q.served.add(d)

	r, ok := q.calls[d]
	if !ok {
		return false
	}

	var changed bool

	for i := range r.Crashes {
		changed = changed || !r.Crashes[i].Cleared
		r.Crashes[i].Cleared = true
	}

	return changed
}

// Merge adds the records of another instance, and returns the calls that are newly quarantined, and
// whether anything changed.
func (q *Quarantiner) Merge(now time.Time, l []Record) (quarantined []digester.Digest, changed bool) {
	for _, x := range l {
		if now.Sub(x.LastSeen) >= q.settings.Retention || len(x.Crashes) == 0 {
			continue
		}

		r, ok := q.calls[x.Call]
		if !ok {
			r = q.insert(x.LastSeen, x.Call)
		}

		b := q.verdict(r).Status
		changed = r.merge(x) || changed

		if b != Quarantined && q.verdict(r).Status == Quarantined {
			quarantined = append(quarantined, x.Call)
		}
	}

	return quarantined, changed
}

// Records returns at most limit records of calls with two or more counted crashes, those with the
// most crashes first. A call with a single crash is omitted until a second one is counted, since it
// is nearly always innocent.
func (q *Quarantiner) Records(limit int) []Record {
	o := slices.DeleteFunc(q.sorted(), func(r Record) bool { return !q.replicated(&r) })
	slices.Reverse(o)

	return o[:min(len(o), limit)]
}

// replicated reports whether Records includes a call. Those records are sent to other instances.
func (q *Quarantiner) replicated(r *Record) bool {
	return q.verdict(r).Crashes > 1
}

// RecordsOf returns the records of the given calls that are known.
func (q *Quarantiner) RecordsOf(l []digester.Digest) []Record {
	var o []Record

	for _, d := range l {
		if r, ok := q.calls[d]; ok {
			o = append(o, r.clone())
		}
	}

	return o
}

// Expire removes the calls that were not seen within the retention period.
func (q *Quarantiner) Expire(now time.Time) {
	for d, r := range q.calls {
		if now.Sub(r.LastSeen) >= q.settings.Retention {
			delete(q.calls, d)
		}
	}
}

// insert adds an empty record for a call, and evicts others if the limit is reached.
func (q *Quarantiner) insert(seen time.Time, d digester.Digest) *Record {
	if len(q.calls) >= q.settings.MaxCalls {
		q.evict()
	}

	r := &Record{Call: d, LastSeen: seen}
	q.calls[d] = r

	return r
}

// evict removes the least relevant eighth of the calls. A client that keeps sending new calls that
// crash targets can thus neither exhaust the memory nor displace quarantined calls.
func (q *Quarantiner) evict() {
	const part = 8

	for _, r := range q.sorted()[:max(len(q.calls)/part, 1)] {
		delete(q.calls, r.Call)
	}
}

// sorted returns copies of all records, those with the fewest counted crashes first, then the least
// recently seen.
func (q *Quarantiner) sorted() []Record {
	o := make([]Record, 0, len(q.calls))
	for _, r := range q.calls {
		o = append(o, r.clone())
	}

	slices.SortFunc(o, func(a, b Record) int {
		if n := q.verdict(&a).Crashes - q.verdict(&b).Crashes; n != 0 {
			return n
		}

		return a.LastSeen.Compare(b.LastSeen)
	})

	return o
}

// verdict evaluates a call by the crashes that count: those that are not cleared and, if the call was
// served before one of them, are separated by MinSeparation.
func (q *Quarantiner) verdict(r *Record) Verdict {
	var (
		v          Verdict
		separation time.Duration
	)

	if slices.ContainsFunc(r.Crashes, func(e Crash) bool { return e.ServedBefore }) {
		separation = q.settings.MinSeparation
	}

	for _, e := range r.Crashes {
		if e.Cleared || v.Crashes > 0 && e.At.Sub(v.LastCrash) < separation {
			continue
		}

		v.Crashes++
		v.LastCrash = e.At
	}

	switch {
	case v.Crashes >= q.settings.CrashThreshold:
		v.Status = Quarantined
	case v.Crashes > 0:
		v.Status = Suspected
	}

	v.Repeated = v.Crashes > 1 && v.Crashes <= q.settings.CrashThreshold

	return v
}

// Occurrences returns the crashes of a record, each with what it suggests for the call at that time.
func (q *Quarantiner) Occurrences(r Record) []Occurrence {
	o := make([]Occurrence, 0, len(r.Crashes))

	for n, e := range r.Crashes {
		v := q.verdict(&Record{Call: r.Call, Crashes: r.Crashes[:n+1]})
		o = append(o, Occurrence{Process: e.Process, At: e.At, Repeated: !e.Cleared && v.Repeated})
	}

	return o
}
