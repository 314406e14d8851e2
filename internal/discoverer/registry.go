package discoverer

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Registry is a snapshot of the known targets. It is immutable and safe for concurrent use.
type Registry struct {
	// Groups holds the targets that accept new calls by group, in the order of their IDs.
	Groups map[string][]*Target
	// Evacuated holds the targets by group that would accept new calls if their data centres were not
	// evacuated.
	Evacuated map[string][]*Target
	// Reopened holds, by data centre, the time when its evacuation ended. Its targets may have
	// become cold during the evacuation, and the list states that only later.
	Reopened map[string]time.Time
	// Known holds all targets by ID, including those that are leaving.
	Known map[string]*Target
	// Processes holds all targets by the keys of their processes.
	Processes map[Key]*Target
	// Names holds the targets by the names of their processes, except for names that several
	// targets share.
	Names map[Name]*Target
}

// FilterGroups returns the registry of the targets whose groups satisfy a condition. It returns the same
// registry when all do.
func (r *Registry) FilterGroups(named func(group string) bool) *Registry {
	l := make([]*Target, 0, len(r.Known))

	for _, t := range r.Known {
		if named(t.Group) {
			l = append(l, t)
		}
	}

	if len(l) == len(r.Known) {
		return r
	}

	return newRegistry(l)
}

// WithEvacuated returns a registry in which the targets of evacuated data centres accept no new calls, with
// the times at which the evacuations of other data centres ended. Targets of evacuated data centres remain
// known, so that cached prompts can still be fetched from them.
func (r *Registry) WithEvacuated(evacuated func(centre string) bool, reopened map[string]time.Time) *Registry {
	o := *r
	o.Groups, o.Evacuated, o.Reopened = maps.Clone(r.Groups), make(map[string][]*Target), reopened

	for n, l := range r.Groups {
		isEvacuated := func(t *Target) bool { return evacuated(t.DataCentre) }
		if !slices.ContainsFunc(l, isEvacuated) {
			continue
		}

		for _, t := range l {
			if isEvacuated(t) {
				o.Evacuated[n] = append(o.Evacuated[n], t)
			}
		}

		if o.Groups[n] = slices.DeleteFunc(slices.Clone(l), isEvacuated); len(o.Groups[n]) == 0 {
			delete(o.Groups, n)
		}
	}

	return &o
}

// AcceptsCalls reports whether a target still accepts new calls: its process is on the list with the same
// address and group, is not leaving, and its data centre is not evacuated.
func (r *Registry) AcceptsCalls(t *Target) bool {
	x, ok := r.Processes[t.Key()]

	return ok && !x.Moved(t) && slices.Contains(r.Groups[x.Group], x)
}

// HasVersion reports whether a target of a group with a software version accepts new calls.
func (r *Registry) HasVersion(group string, v Version) bool {
	return slices.ContainsFunc(r.Groups[group], func(t *Target) bool { return t.SoftwareVersion() == v })
}

// HasLeaving reports whether any target of a group is leaving.
func (r *Registry) HasLeaving(group string) bool {
	for _, t := range r.Known {
		if t.Group == group && t.IsLeaving() {
			return true
		}
	}

	return false
}

// newRegistry returns the registry of the given targets.
func newRegistry(l []*Target) *Registry {
	r := &Registry{
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

		if !t.IsLeaving() {
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
