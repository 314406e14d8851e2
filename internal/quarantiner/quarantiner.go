// Package quarantiner decides which calls, and which parts of prompts, are quarantined because targets crash
// while running them.
//
// A single call can crash every target that begins to run it, and is retried through other instances
// under other IDs. A part of a prompt can do the same in calls of which no two are alike. Calls and parts are
// subjects of the same evidence. When a target crashes, any of the subjects in flight there may be the
// cause: of 32 calls in flight, 31 are innocent. A subject that was in flight at the crashes of several
// targets, and was not served since, is almost certainly the cause, and is quarantined. It explains its
// crashes: they no longer count against subjects with less evidence, see cause.
//
// The state is a set of crashes, each of one process while one subject was in flight there, some of which
// are cleared because the subject was served since. Merging states is a set union, so instances may
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
	// CrashThreshold is the number of crashes at which a subject is quarantined.
	CrashThreshold int
	// MaxOtherCrashes is the number of crashes without a part, from the first of its crashes to that at the threshold, beyond which
	// one more is needed to quarantine it. While targets crash for other reasons, a part that few calls hold is in flight at
	// several crashes by chance.
	MaxOtherCrashes int
	// MinSeparation is the smallest time between two crashes that count as two, for a subject that was served
	// before. Targets that lose power together crash together, and calls with the same digest, such
	// as a page that one customer requests constantly, or with the same part may be in flight at all of them.
	MinSeparation time.Duration
	// TrialDelays are the times from the last crash to the next trial of a quarantined subject, indexed
	// by the number of its failed trials. After the last one there are no more trials: each trial of
	// a subject that does crash targets costs a target, and the loss of three targets is acceptable.
	TrialDelays []time.Duration
	// PartTrialDelays are the same for parts. The first is shorter, as many sound calls may hold a part that is quarantined
	// by mistake.
	PartTrialDelays []time.Duration
	// Retention is how long a subject is remembered after it was last seen.
	Retention time.Duration
	// MaxSubjects is the largest number of remembered subjects.
	MaxSubjects int
}

// DefaultSettings returns the settings used by gateways.
func DefaultSettings() Settings {
	return Settings{
		// An innocent call is occasionally in flight at two crashes, when its retry reaches the same
		// target as a retry of the cause. Each further crash costs a target with all its calls.
		CrashThreshold: 3,
		// Two more parts that crash targets have as many crashes until they are quarantined.
		MaxOtherCrashes: 6,
		// When targets lose power together, their crashes are detected within this time: the calls
		// there fail as the connections break, or at the next write.
		MinSeparation: time.Second,
		// A target restarts within seconds; a model or service is repaired within minutes at best,
		// and mostly within one to two hours.
		TrialDelays:     []time.Duration{time.Minute, 10 * time.Minute, 100 * time.Minute},
		PartTrialDelays: []time.Duration{2 * time.Second, time.Minute, 10 * time.Minute},
		// Longer than any time after which a refused caller should retry.
		Retention: 4 * time.Hour,
		// Enough for all calls in flight at a third of 600 targets with 20 calls each, with a part of its own for each.
		MaxSubjects: 8192,
	}
}

// Quarantiner remembers the subjects that were in flight when targets crashed. It is not safe for
// concurrent use.
type Quarantiner struct {
	settings Settings
	subjects map[digester.Digest]*Record
	served   served
	history  history
	causes   causes
}

// New returns a Quarantiner without any subjects.
func New(s Settings) *Quarantiner {
	return &Quarantiner{settings: s, subjects: make(map[digester.Digest]*Record), causes: newCauses()}
}

// Check returns the verdict on a subject that arrived or is about to be retried, and marks it as seen.
func (q *Quarantiner) Check(now time.Time, d digester.Digest) Verdict {
	r, ok := q.subjects[d]
	if !ok {
		return Verdict{}
	}

	r.LastSeen = now

	return q.Peek(now, d)
}

// Peek returns the verdict on a subject without marking it as seen.
func (q *Quarantiner) Peek(now time.Time, d digester.Digest) Verdict {
	r, ok := q.subjects[d]
	if !ok {
		return Verdict{}
	}

	v := q.verdict(r)

	l := q.settings.TrialDelays
	if d.IsPart() {
		l = q.settings.PartTrialDelays
	}

	if v.Status == Quarantined && v.failedTrials < len(l) {
		v.TrialIn = max(v.LastCrash.Add(l[v.failedTrials]).Sub(now), 0)
		v.TrialDue = v.TrialIn == 0
	}

	return v
}

// RecordCrash records that a process crashed while a subject was in flight there. It returns the new verdict,
// and whether the crash was new or changed.
func (q *Quarantiner) RecordCrash(now time.Time, d digester.Digest, p discoverer.Name) (Verdict, bool) {
	r, known := q.subjects[d]
	if !known {
		r = q.insert(now, d)
	}

	r.LastSeen = now
	q.history.add(p, now)
	added := r.add(Crash{Process: p, At: now, ServedBefore: q.served.contains(d)})
	q.update(r)

	return q.verdict(r), added
}

// RecordServed records that a subject was answered in full, which clears all its known crashes: it caused
// none of them. It reports whether any crash was not cleared before.
func (q *Quarantiner) RecordServed(d digester.Digest) bool {
	q.served.add(d)

	r, ok := q.subjects[d]
	if !ok {
		return false
	}

	var changed bool

	for i := range r.Crashes {
		changed = changed || !r.Crashes[i].Cleared
		r.Crashes[i].Cleared = true
	}

	q.update(r)

	return changed
}

// Merge adds the records of another instance, and returns the subjects that are newly quarantined, and
// whether anything changed.
func (q *Quarantiner) Merge(now time.Time, l []Record) (quarantined []digester.Digest, changed bool) {
	for _, x := range l {
		if now.Sub(x.LastSeen) >= q.settings.Retention || len(x.Crashes) == 0 {
			continue
		}

		r, ok := q.subjects[x.Subject]
		if !ok {
			r = q.insert(x.LastSeen, x.Subject)
		}

		for _, e := range x.Crashes {
			q.history.add(e.Process, e.At)
		}

		b := q.verdict(r).Status
		changed = r.merge(x) || changed
		q.update(r)

		if b != Quarantined && q.verdict(r).Status == Quarantined {
			quarantined = append(quarantined, x.Subject)
		}
	}

	return quarantined, changed
}

// Vouch marks the crashes of a subject that this instance has served as such, which the instances that detected the crashes
// may not know. It reports whether any crash was not marked before.
func (q *Quarantiner) Vouch(d digester.Digest) bool {
	r, ok := q.subjects[d]
	if !ok || !q.served.contains(d) {
		return false
	}

	changed := false

	for i := range r.Crashes {
		changed = changed || !r.Crashes[i].ServedBefore && !r.Crashes[i].Cleared
		r.Crashes[i].ServedBefore = true
	}

	q.update(r)

	return changed
}

// Records returns at most limit records of subjects with two or more counted crashes, those with the
// most crashes first. A subject with a single crash is omitted until a second one is counted, since it
// is nearly always innocent.
func (q *Quarantiner) Records(limit int) []Record {
	o := slices.DeleteFunc(q.sorted(), func(r Record) bool { return !q.replicated(&r) })
	slices.Reverse(o)

	return o[:min(len(o), limit)]
}

// replicated reports whether Records includes a subject. Those records are sent to other instances.
func (q *Quarantiner) replicated(r *Record) bool {
	return q.count(r, nil).Crashes > 1
}

// RecordsOf returns the records of the given subjects that are known.
func (q *Quarantiner) RecordsOf(l []digester.Digest) []Record {
	var o []Record

	for _, d := range l {
		if r, ok := q.subjects[d]; ok {
			o = append(o, r.clone())
		}
	}

	return o
}

// Expire removes the subjects that were not seen within the retention period.
func (q *Quarantiner) Expire(now time.Time) {
	for d, r := range q.subjects {
		if now.Sub(r.LastSeen) >= q.settings.Retention {
			q.remove(d)
		}
	}
}

// remove removes a subject.
func (q *Quarantiner) remove(d digester.Digest) {
	delete(q.subjects, d)
	q.update(&Record{Subject: d})
}

// insert adds an empty record for a subject, and evicts others if the limit is reached.
func (q *Quarantiner) insert(seen time.Time, d digester.Digest) *Record {
	if len(q.subjects) >= q.settings.MaxSubjects {
		q.evict()
	}

	r := &Record{Subject: d, LastSeen: seen}
	q.subjects[d] = r

	return r
}

// evict removes the least relevant eighth of the subjects. A client that keeps sending new calls that
// crash targets can thus neither exhaust the memory nor displace quarantined subjects.
func (q *Quarantiner) evict() {
	const part = 8

	for _, r := range q.sorted()[:max(len(q.subjects)/part, 1)] {
		q.remove(r.Subject)
	}
}

// sorted returns copies of all records, those with the fewest counted crashes first, then the least
// recently seen.
func (q *Quarantiner) sorted() []Record {
	o := make([]Record, 0, len(q.subjects))
	for _, r := range q.subjects {
		o = append(o, r.clone())
	}

	slices.SortFunc(o, func(a, b Record) int {
		if n := q.count(&a, nil).Crashes - q.count(&b, nil).Crashes; n != 0 {
			return n
		}

		return a.LastSeen.Compare(b.LastSeen)
	})

	return o
}

// verdict evaluates a subject by the crashes that no other subject explains.
func (q *Quarantiner) verdict(r *Record) Verdict {
	q.explain()

	v := q.count(r, func(p discoverer.Name) bool { return q.causes.explains(p, r.Subject) })

	if v.Status == Quarantined && r.Subject.IsPart() && q.causes.sameCall(r) {
		v.Status = Suspected
	}

	return v
}

// count evaluates a subject by the crashes that count: those that are not cleared, for whose processes explained does not
// return true and, if the subject was served before one of them, are separated by MinSeparation. A nil function explains none.
func (q *Quarantiner) count(r *Record, explained func(p discoverer.Name) bool) Verdict {
	var (
		v          = Verdict{Subject: r.Subject}
		separation time.Duration
	)

	times := make([]time.Time, 0, maxCrashesPerRecord)

	if slices.ContainsFunc(r.Crashes, func(e Crash) bool { return e.ServedBefore }) {
		v.ServedBefore = true
		separation = q.settings.MinSeparation
	}

	for _, e := range r.Crashes {
		if e.Cleared || v.Crashes > 0 && e.At.Sub(v.LastCrash) < separation || explained != nil && explained(e.Process) {
			continue
		}

		v.Crashes++
		v.LastCrash = e.At
		times = append(times, e.At)
	}

	switch n := q.threshold(r, times); {
	case v.Crashes >= n:
		v.Status = Quarantined
		v.failedTrials = q.failedTrials(r, times[n-1:])
	case v.Crashes > 0:
		v.Status = Suspected
	}

	v.Repeated = v.Crashes > 1 && v.Crashes <= q.settings.CrashThreshold && !r.Subject.IsPart()

	return v
}

// threshold returns the number of crashes at which a subject is quarantined, given the times of those that count.
func (q *Quarantiner) threshold(r *Record, times []time.Time) int {
	n := q.settings.CrashThreshold
	if r.Subject.IsPart() && len(times) >= n && q.history.exceeds(q.settings.MaxOtherCrashes, r, times[0], times[n-1]) {
		n++
	}

	return n
}

// failedTrials returns how many of a subject's crashes were trials, given the times of those from the one at the threshold on. One
// that follows a part's threshold within MinSeparation was none: the call was sent before all instances knew.
func (q *Quarantiner) failedTrials(r *Record, times []time.Time) int {
	n := len(times) - 1
	if n > 0 && r.Subject.IsPart() && times[1].Sub(times[0]) < q.settings.MinSeparation {
		n--
	}

	return n
}

// Occurrences returns the crashes of a record, each with what it suggests for the call at that time.
func (q *Quarantiner) Occurrences(r Record) []Occurrence {
	o := make([]Occurrence, 0, len(r.Crashes))

	for n, e := range r.Crashes {
		v := q.count(&Record{Subject: r.Subject, Crashes: r.Crashes[:n+1]}, nil)
		o = append(o, Occurrence{Process: e.Process, At: e.At, Repeated: !e.Cleared && v.Repeated})
	}

	return o
}
