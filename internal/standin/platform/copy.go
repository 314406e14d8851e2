package platform

import (
	"slices"
	"time"
)

// Copy is the content of the log at one time.
type Copy map[string]batch

// Copy returns a copy of the present content of the log.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()

	c := make(Copy)

	for n, s := range p.streams {
		b := s.read(time.Now(), 0, int(^uint(0)>>1))
		b.records = slices.Clone(b.records)
		c[n] = b
	}

	return c
}

// Restore makes the log come back from a copy, in a new era: all later records are lost, and their offsets are given out
// again.
func (p *Platform) Restore(c Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.era++

	for n, s := range p.streams {
		s.restore(c[n].records, c[n].next, p.era)
	}
}
