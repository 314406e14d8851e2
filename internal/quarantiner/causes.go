package quarantiner

import (
	"cmp"
	"slices"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
)

// cause is a subject with as many crashes as the threshold, as the explanation of these crashes.
type cause struct {
	subject digester.Digest
	// servedBefore is as in Verdict.
	servedBefore bool
	// unique is the number of its crashes that no other candidate was in flight at, and crashes that of those which no
	// cause of a class before its own explains.
	unique, crashes int
}

// classes is the number of classes of causes.
const classes = 4

// class returns the class of a cause, the most likely first. What was never served is more likely a cause than what many sound
// calls hold; and so is what crashes targets without the others.
func (c cause) class() int {
	n := 0

	if c.servedBefore {
		n += classes / 2
	}

	if c.unique == 0 {
		n++
	}

	return n
}

// compare orders causes by their evidence.
func (c cause) compare(o cause) int {
	return cmp.Or(c.class()-o.class(), o.unique-c.unique, o.crashes-c.crashes)
}

// order is compare, and among causes with the same evidence calls come before parts: a part that was in flight only with one call is
// explained by that call.
func (c cause) order(o cause) int {
	if n := c.compare(o); n != 0 {
		return n
	}

	if c.subject.IsPart() != o.subject.IsPart() {
		if o.subject.IsPart() {
			return -1
		}

		return 1
	}

	return cmp.Compare(c.subject, o.subject)
}

// causes holds which crashes are explained by quarantined subjects. The zero value explains none.
type causes struct {
	// candidates are the subjects with as many crashes as the threshold, whatever explains these.
	candidates map[digester.Digest]cause
	// byProcess is the cause of the crash of a process: the first by order. partByProcess is the first that is a part.
	byProcess, partByProcess map[discoverer.Name]cause
}

// explains reports whether the crash of a process counts against another subject than the given one. A subject that is no
// candidate has less evidence against it than any. Candidates with the same evidence do not explain each other, since nothing tells
// them apart. Nor does a call explain the crashes of another one: several that crash targets meet at the same ones.
func (c *causes) explains(p discoverer.Name, d digester.Digest) bool {
	l := c.byProcess
	if !d.IsPart() {
		l = c.partByProcess
	}

	o, ok := l[p]
	if !ok || o.subject == d {
		return false
	}

	x, ok := c.candidates[d]

	return !ok || o.compare(x) < 0
}

// sameCall reports whether one quarantined call was in flight at all crashes that count against a part. Then nothing suggests
// that other calls with the part crash targets.
func (c *causes) sameCall(r *Record) bool {
	var call digester.Digest

	for _, e := range r.Crashes {
		if e.Cleared || c.explains(e.Process, r.Subject) {
			continue
		}

		o, ok := c.byProcess[e.Process]
		if !ok || o.subject.IsPart() || call != 0 && call != o.subject {
			return false
		}

		call = o.subject
	}

	return call != 0
}

// update brings the causes up to date after a record has changed.
func (q *Quarantiner) update(r *Record) {
	c := &q.causes
	_, was := c.candidates[r.Subject]

	switch is := q.count(r, nil).Status == Quarantined; {
	case is && c.candidates == nil:
		c.candidates = map[digester.Digest]cause{r.Subject: {}}
	case is:
		c.candidates[r.Subject] = cause{}
	case was:
		delete(c.candidates, r.Subject)
	default:
		return
	}

	c.byProcess, c.partByProcess = make(map[discoverer.Name]cause), make(map[discoverer.Name]cause)

	q.weigh()

	for n := range classes {
		q.addCauses(n)
	}
}

// weigh computes the evidence against each candidate.
func (q *Quarantiner) weigh() {
	shared := make(map[discoverer.Name]int)

	for d := range q.causes.candidates {
		for _, e := range q.subjects[d].Crashes {
			if !e.Cleared {
				shared[e.Process]++
			}
		}
	}

	for d := range q.causes.candidates {
		r := q.subjects[d]
		v := q.count(r, nil)
		x := cause{subject: d, servedBefore: v.ServedBefore, crashes: v.Crashes}

		for _, e := range r.Crashes {
			if !e.Cleared && shared[e.Process] == 1 {
				x.unique++
			}
		}

		q.causes.candidates[d] = x
	}
}

// addCauses adds the candidates of a class to the causes.
func (q *Quarantiner) addCauses(class int) {
	var l []cause

	for d, x := range q.causes.candidates {
		if x.class() == class {
			x.crashes = q.verdict(q.subjects[d]).Crashes
			q.causes.candidates[d] = x
			l = append(l, x)
		}
	}

	slices.SortFunc(l, cause.order)

	for _, x := range l {
		q.addCause(x)
	}
}

// addCause adds a candidate to the causes, unless those before it explain its crashes.
func (q *Quarantiner) addCause(x cause) {
	r := q.subjects[x.subject]
	if q.verdict(r).Status != Quarantined {
		return
	}

	l := []map[discoverer.Name]cause{q.causes.byProcess}
	if x.subject.IsPart() {
		l = append(l, q.causes.partByProcess)
	}

	for _, m := range l {
		for _, e := range r.Crashes {
			if _, ok := m[e.Process]; !ok && !e.Cleared {
				m[e.Process] = x
			}
		}
	}
}

// CauseOf returns the quarantined part that explains the crash of a process, or zero.
func (q *Quarantiner) CauseOf(p discoverer.Name) digester.Digest {
	return q.causes.partByProcess[p].subject
}
