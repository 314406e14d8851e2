package matcher

import (
	"fmt"
	"sort"

	"github.com/auburntray/auburntray/internal/hasher"
)

// minCellTargets is the least number of a pool's targets with which a data centre has cells of
// its own. Smaller data centres of a region share cells: with few targets the mean load is
// coarse, and the load bound would refuse slots although targets in the region have free ones.
const minCellTargets = 8

// Cell is a set of targets whose load is counted by one instance, the cell's home (home
// node). Every target belongs to exactly one cell, so that exactly one instance at a time
// grants its slots.
type Cell struct {
	ID     uint32
	Name   string
	Region string
	// Pool is the name of the pool that the cell belongs to. Rules with a common target, directly
	// or through other rules, form one pool.
	Pool string
	// DataCentres are the data centres of the cell's targets, sorted by name.
	DataCentres []string
	Targets     []*Target
}

// Ranked returns the cells with targets of a rule in the order in which calls of a chat try
// them: first the cells of the given region, then those of each other region by name. Within a
// region they are ordered by rendezvous hashing of the chat, weighted by capacity.
func (m *Matcher) Ranked(r *Rule, region string, chat uint64) []*Cell {
	o := rank(r.cells[region], r, chat)

	for _, g := range sortedKeys(r.cells) {
		if g != region {
			o = append(o, rank(r.cells[g], r, chat)...)
		}
	}

	return o
}

// Siblings returns the other cells of a cell's pool in its region.
func (m *Matcher) Siblings(c *Cell) []*Cell {
	var o []*Cell

	for _, x := range m.sortedCells {
		if x != c && x.Pool == c.Pool && x.Region == c.Region {
			o = append(o, x)
		}
	}

	return o
}

// Cells returns all cells, sorted by name. Callers must not modify the result.
func (m *Matcher) Cells() []*Cell {
	return m.sortedCells
}

// rank orders cells by rendezvous hashing of a chat, weighted by capacity.
func rank(c []*Cell, r *Rule, chat uint64) []*Cell {
	if len(c) < 2 {
		return append([]*Cell(nil), c...)
	}

	x := hasher.Rank(chat, len(c),
		func(i int) uint64 { return uint64(c[i].ID) },
		func(i int) float64 { return float64(c[i].capacity(r)) })
	o := make([]*Cell, len(c))

	for i, j := range x {
		o[i] = c[j]
	}

	return o
}

// capacity returns the total capacity of the cell's targets that a rule selects.
func (c *Cell) capacity(r *Rule) int {
	n := 0

	for _, t := range c.Targets {
		if r.Selects(t) {
			n += t.Capacity
		}
	}

	return n
}

// Selects reports whether the rule selects a target.
func (r *Rule) Selects(t *Target) bool {
	i := sort.Search(len(r.Targets), func(i int) bool { return r.Targets[i].Name >= t.Name })

	return i < len(r.Targets) && r.Targets[i] == t
}

// mergePools assigns rules with a common target to the same pool, named after the first of
// them by name. Otherwise two homes would grant slots on the target, each by its own count,
// and together exceed the target's bound.
func mergePools(r []*Rule) {
	o := append([]*Rule(nil), r...)
	sort.Slice(o, func(a, b int) bool { return o[a].Name < o[b].Name })

	for _, x := range o {
		x.pool = x.Name
	}

	for merged := true; merged; {
		merged = false
		p := make(map[*Target]string)

		for _, x := range o {
			for _, t := range x.Targets {
				if q, ok := p[t]; ok && q < x.pool {
					x.pool = q
					merged = true
				}
			}

			for _, t := range x.Targets {
				p[t] = x.pool
			}
		}
	}
}

// partition divides the targets of each pool into cells.
func (m *Matcher) partition() {
	type part struct{ pool, region, centre string }

	p := make(map[part][]*Target)
	s := make(map[part][]*Target)
	d := make(map[*Target]bool)

	for _, r := range m.rules {
		for _, t := range r.Targets {
			if d[t] {
				continue
			}

			d[t] = true
			k := part{r.pool, t.Region, t.DataCentre}
			p[k] = append(p[k], t)
		}
	}

	for k, t := range p {
		if len(t) >= minCellTargets {
			m.split(k.pool, k.region, "/"+k.centre, t)

			continue
		}

		k.centre = ""
		s[k] = append(s[k], t...)
	}

	for k, t := range s {
		m.split(k.pool, k.region, "", t)
	}

	m.index()
}

// split adds the targets of a part of a pool to cells, so that no cell has many more targets
// than the limit, since the control traffic of a home grows with its cells. The number of
// cells is a power of two and each target is assigned to one by rendezvous hashing, so that
// adding a target moves no other until the number of cells doubles.
func (m *Matcher) split(pool, region, part string, t []*Target) {
	n := 1
	for n*m.document.Limits.CellSize() < len(t) {
		n *= 2
	}

	for _, x := range t {
		i := hasher.Rank(uint64(x.ID), n,
			func(i int) uint64 { return uint64(i) }, //nolint:gosec // Never negative.
			func(int) float64 { return 1 })[0]
		m.add(fmt.Sprintf("%s/%s%s/%d", pool, region, part, i), pool, region, x)
	}
}

func (m *Matcher) add(name, pool, region string, t *Target) {
	h := hasher.Name(name)
	c, ok := m.cells[h]

	if !ok {
		c = &Cell{ID: h, Name: name, Pool: pool, Region: region}
		m.cells[h] = c
	}

	c.Targets = append(c.Targets, t)
}

// index sorts the cells and their targets, and records the cells of each rule.
func (m *Matcher) index() {
	for _, r := range m.rules {
		r.cells = make(map[string][]*Cell)
	}

	for _, c := range m.cells {
		m.sortedCells = append(m.sortedCells, c)
	}

	sort.Slice(m.sortedCells, func(a, b int) bool { return m.sortedCells[a].Name < m.sortedCells[b].Name })

	for _, c := range m.sortedCells {
		sort.Slice(c.Targets, func(a, b int) bool { return c.Targets[a].Name < c.Targets[b].Name })

		s := make(map[string]bool)
		for _, t := range c.Targets {
			s[t.DataCentre] = true
		}

		c.DataCentres = sortedKeys(s)

		for _, r := range m.rules {
			if c.capacity(r) > 0 {
				r.cells[c.Region] = append(r.cells[c.Region], c)
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	k := make([]string, 0, len(m))
	for n := range m {
		k = append(k, n)
	}

	sort.Strings(k)

	return k
}

// Contains reports whether a target belongs to the cell.
func (c *Cell) Contains(target uint32) bool {
	for _, t := range c.Targets {
		if t.ID == target {
			return true
		}
	}

	return false
}
