package quarantiner

import (
	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/hasher"
)

// State returns a number that is the same at two instances that have the same Records, so that
// they need not tell each other any.
func (q *Quarantiner) State() uint64 {
	var o uint64

	for _, r := range q.calls {
		if !q.grave(r) {
			continue
		}

		for _, e := range r.Ends {
			k := hasher.Mix(uint64(r.Call), uint64(e.Process))
			if e.Excused {
				k = hasher.Mix(k, 1)
			}

			if e.Known {
				k = hasher.Mix(k, 2)
			}

			o ^= k
		}
	}

	return o
}

// Count returns how many calls are suspected and how many are held back.
func (q *Quarantiner) Count() (suspected, held int) {
	for _, r := range q.calls {
		switch q.verdict(r).Standing {
		case Held:
			held++
		case Suspected:
			suspected++
		case Free:
		}
	}

	return suspected, held
}

// HeldBack returns the calls that are held back.
func (q *Quarantiner) HeldBack() []digester.Digest {
	var o []digester.Digest

	for d, r := range q.calls {
		if q.verdict(r).Standing == Held {
			o = append(o, d)
		}
	}

	return o
}
