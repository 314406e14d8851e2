package quarantiner

import (
	"cmp"

	"github.com/auburntray/auburntray/internal/digester"
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
