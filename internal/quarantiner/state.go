package quarantiner

import (
	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/hasher"
)

// Fingerprint returns a number that is equal at two instances with the same Records, so that they can skip
// exchanging them.
func (q *Quarantiner) Fingerprint() uint64 {
	var o uint64

	for _, r := range q.subjects {
		if !q.replicated(r) {
			continue
		}

		for _, e := range r.Crashes {
			k := hasher.Mix(uint64(r.Subject), uint64(e.Process))
			if e.Cleared {
				k = hasher.Mix(k, 1)
			}

			if e.ServedBefore {
				k = hasher.Mix(k, 2)
			}

			o ^= k
		}
	}

	return o
}

// Count returns the numbers of suspected and of quarantined subjects.
func (q *Quarantiner) Count() (suspected, quarantined int) {
	for _, r := range q.subjects {
		switch q.verdict(r).Status {
		case Quarantined:
			quarantined++
		case Suspected:
			suspected++
		case Free:
		}
	}

	return suspected, quarantined
}

// Quarantined returns the quarantined subjects.
func (q *Quarantiner) Quarantined() []digester.Digest {
	var o []digester.Digest

	for d, r := range q.subjects {
		if q.verdict(r).Status == Quarantined {
			o = append(o, d)
		}
	}

	return o
}
