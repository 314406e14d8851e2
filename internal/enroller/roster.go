package enroller

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Roster is the list at one moment. Nothing in it changes; it is safe for
// concurrent use.
type Roster struct {
	// Groups holds the targets that take new calls, by group, in the order of
	// their IDs.
	Groups map[string][]*Target
	// Closed holds those that would take new calls if their data centres were not evacuated.
	Closed map[string][]*Target
	// Reopened is when evacuations of data centres were over. Their targets may have become cold
	// meanwhile, which the list tells later.
	Reopened map[string]time.Time
	// Known holds all targets on the list, those that leave too.
	Known map[string]*Target
	// Processes holds the same by the keys of their processes.
	Processes map[Key]*Target
	// Names holds the same by the short names of their processes, without those that two
	// of them share.
	Names map[Name]*Target
}

// Of returns the roster without the targets of groups that a test does not let through, and
// the same roster when there are none.
func (r *Roster) Of(named func(group string) bool) *Roster {
	l := make([]*Target, 0, len(r.Known))

	for _, t := range r.Known {
		if named(t.Group) {
			l = append(l, t)
		}
	}

	if len(l) == len(r.Known) {
		return r
	}

	return newRoster(l)
}

// Evacuated returns the roster without the targets of data centres that a test closes among those
// that take new calls, and with the times at which others were opened again. Prompts may still be
// fetched from the targets of the closed ones.
func (r *Roster) Evacuated(closed func(centre string) bool, reopened map[string]time.Time) *Roster {
	o := *r
	o.Groups, o.Closed, o.Reopened = maps.Clone(r.Groups), make(map[string][]*Target), reopened

	for n, l := range r.Groups {
		out := func(t *Target) bool { return closed(t.DataCentre) }
		if !slices.ContainsFunc(l, out) {
			continue
		}

		for _, t := range l {
			if out(t) {
				o.Closed[n] = append(o.Closed[n], t)
			}
		}

		if o.Groups[n] = slices.DeleteFunc(slices.Clone(l), out); len(o.Groups[n]) == 0 {
			delete(o.Groups, n)
		}
	}

	return &o
}

// Takes says that a process takes new calls as the same target: it is on the list, does not leave
// and its data centre is not evacuated.
func (r *Roster) Takes(t *Target) bool {
	x, ok := r.Processes[t.Key()]

	return ok && !x.Moved(t) && slices.Contains(r.Groups[x.Group], x)
}

// Leaves says that there are targets of a group that leave.
func (r *Roster) Leaves(group string) bool {
	for _, t := range r.Known {
		if t.Group == group && t.Leaves() {
			return true
		}
	}

	return false
}

// newRoster returns the roster of targets.
func newRoster(l []*Target) *Roster {
	r := &Roster{
		Groups: make(map[string][]*Target), Known: make(map[string]*Target, len(l)),
		Processes: make(map[Key]*Target, len(l)), Names: make(map[Name]*Target, len(l)),
	}
	shared := make(map[Name]bool)

	for _, t := range l {
		n := t.key.Name()

		if r.Names[n] != nil {
			shared[n] = true
		}

		r.Known[t.ID] = t
		r.Processes[t.key] = t
		r.Names[n] = t

		if !t.Leaves() {
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
