package quarantiner

import (
	"slices"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
)

// causes holds which crashes are explained by quarantined subjects.
//
// A candidate is a subject with as many crashes as the threshold, whatever explains these. Calls do not explain the crashes of
// other calls, so that only candidates count which were in flight at a crash together, one of them a part. A caller who keeps
// sending new calls or parts that crash targets makes thousands of candidates, most of which have nothing to do with each other.
type causes struct {
	// processes are the processes at whose crashes each candidate was in flight, at the candidates at each crash, and
	// partsAt how many of these are parts.
	processes map[digester.Digest][]discoverer.Name
	at        map[discoverer.Name]map[digester.Digest]bool
	partsAt   map[discoverer.Name]int
	// changed are the processes whose candidates have changed since the rest was computed.
	changed []discoverer.Name
	// weighed are the candidate parts, and the candidate calls in flight with one of them.
	weighed map[digester.Digest]cause
	// byProcess is the cause of the crash of a process: the first by order. partByProcess is the first that is a part.
	byProcess, partByProcess map[discoverer.Name]cause
}

// newCauses returns causes without candidates.
func newCauses() causes {
	return causes{
		processes: make(map[digester.Digest][]discoverer.Name), at: make(map[discoverer.Name]map[digester.Digest]bool), partsAt: make(map[discoverer.Name]int),
		weighed: make(map[digester.Digest]cause), byProcess: make(map[discoverer.Name]cause), partByProcess: make(map[discoverer.Name]cause),
	}
}

// explains reports whether the crash of a process counts against another subject than the given one. A subject that is no
// candidate has less evidence against it than any. Candidates with the same evidence do not explain each other, since nothing tells
// them apart. Nor does a call explain the crashes of another one: several that crash targets meet at the same ones.
func (c *causes) explains(p discoverer.Name, d digester.Digest) bool {
	l := c.byProcess
	if !d.IsPart() {
		l = c.partByProcess
	}

	x, weighed := c.weighed[d]
	if o, ok := l[p]; ok && o.subject != d && (!weighed || o.compare(x) < 0) {
		return true
	}

	return d.IsPart() && !weighed && c.partsAt[p] == 0 && len(c.at[p]) > 0
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

// set records at the crashes of which processes a subject was in flight that is a candidate, or none if it is no candidate.
func (c *causes) set(d digester.Digest, l []discoverer.Name) {
	for _, p := range c.processes[d] {
		if delete(c.at[p], d); len(c.at[p]) == 0 {
			delete(c.at, p)
		}

		if d.IsPart() {
			c.partsAt[p]--
		}

		if c.partsAt[p] == 0 {
			delete(c.partsAt, p)
		}
	}

	c.changed = append(append(c.changed, c.processes[d]...), l...)

	delete(c.processes, d)
	delete(c.weighed, d)

	if len(l) == 0 {
		return
	}

	c.processes[d] = l

	for _, p := range l {
		if c.at[p] == nil {
			c.at[p] = make(map[digester.Digest]bool)
		}

		c.at[p][d] = true

		if d.IsPart() {
			c.partsAt[p]++
		}
	}
}

// affected returns the candidates whose evidence depends on what has changed: those in flight at the same crashes with a part, and
// at further crashes with these. It forgets the causes of these crashes.
func (c *causes) affected() []digester.Digest {
	var o []digester.Digest

	seen, known := make(map[discoverer.Name]bool), make(map[digester.Digest]bool)

	for l := c.changed; len(l) > 0; l = l[1:] {
		p := l[0]
		if seen[p] {
			continue
		}

		seen[p] = true
		delete(c.byProcess, p)
		delete(c.partByProcess, p)

		if c.partsAt[p] == 0 {
			continue
		}

		for d := range c.at[p] {
			if !known[d] {
				known[d] = true

				o = append(o, d)
				l = append(l, c.processes[d]...)
			}
		}
	}

	c.changed = nil

	return o
}

// update brings the candidates up to date after a record has changed.
func (q *Quarantiner) update(r *Record) {
	switch is := q.count(r, nil).Status == Quarantined; {
	case is:
		q.causes.set(r.Subject, r.uncleared())
	case len(q.causes.processes[r.Subject]) > 0:
		q.causes.set(r.Subject, nil)
	}
}

// explain brings the causes up to date with the candidates.
func (q *Quarantiner) explain() {
	if len(q.causes.changed) == 0 {
		return
	}

	l := q.causes.affected()
	for _, d := range l {
		q.causes.weighed[d] = q.weigh(d)
	}

	for n := range classes {
		q.addCauses(n, l)
	}
}

// weigh returns the evidence against a candidate.
func (q *Quarantiner) weigh(d digester.Digest) cause {
	v := q.count(q.subjects[d], nil)
	x := cause{subject: d, servedBefore: v.ServedBefore, crashes: v.Crashes}

	for _, p := range q.causes.processes[d] {
		if len(q.causes.at[p]) == 1 {
			x.unique++
		}
	}

	return x
}

// addCauses adds those of the given candidates that are of a class to the causes.
func (q *Quarantiner) addCauses(class int, candidates []digester.Digest) {
	var l []cause

	for _, d := range candidates {
		if x := q.causes.weighed[d]; x.class() == class {
			x.crashes = q.verdict(q.subjects[d]).Crashes
			l = append(l, x)
		}
	}

	for _, x := range l {
		q.causes.weighed[x.subject] = x
	}

	slices.SortFunc(l, cause.order)

	for _, x := range l {
		q.addCause(x)
	}
}

// addCause adds a candidate to the causes, unless those before it explain its crashes.
func (q *Quarantiner) addCause(x cause) {
	if q.verdict(q.subjects[x.subject]).Status != Quarantined {
		return
	}

	l := []map[discoverer.Name]cause{q.causes.byProcess}
	if x.subject.IsPart() {
		l = append(l, q.causes.partByProcess)
	}

	for _, m := range l {
		for _, p := range q.causes.processes[x.subject] {
			if _, ok := m[p]; !ok {
				m[p] = x
			}
		}
	}
}

// CauseOf returns the quarantined part that explains the crash of a process, or zero.
func (q *Quarantiner) CauseOf(p discoverer.Name) digester.Digest {
	q.explain()

	return q.causes.partByProcess[p].subject
}
