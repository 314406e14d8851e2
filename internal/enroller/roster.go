package enroller

import "sort"

// Roster is the list at one moment. Nothing in it changes; it is safe for
// concurrent use.
type Roster struct {
	// Groups holds the targets that take new calls, by group, in the order of
	// their IDs.
	Groups map[string][]*Target
	// Known holds all targets on the list, those that are draining too.
	Known map[string]*Target
	// Processes holds the same by the keys of their processes.
	Processes map[Key]*Target
	// Names holds the same by the short names of their processes, without those that two
	// of them share.
	Names map[Name]*Target
}

// newRoster returns the roster of entries.
func newRoster(l map[string]*entry) *Roster {
	r := &Roster{
		Groups: make(map[string][]*Target), Known: make(map[string]*Target, len(l)),
		Processes: make(map[Key]*Target, len(l)), Names: make(map[Name]*Target, len(l)),
	}
	shared := make(map[Name]bool)

	for id, x := range l {
		t := x.target
		n := t.key.Name()

		if r.Names[n] != nil {
			shared[n] = true
		}

		r.Known[id] = t
		r.Processes[t.key] = t
		r.Names[n] = t

		if !t.Draining {
			r.Groups[t.Group] = append(r.Groups[t.Group], t)
		}
	}

	for n := range shared {
		delete(r.Names, n)
	}

	for _, l := range r.Groups {
		sort.Slice(l, func(a, b int) bool { return l[a].ID < l[b].ID })
	}

	return r
}
