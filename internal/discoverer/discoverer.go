// Package discoverer discovers targets: it maintains the registry of known targets, and of those that
// accept new calls, from the list of targets that the platform publishes.
package discoverer

import (
	"sort"
	"time"
)

// Settings determines how long entries are retained after an outage of the list.
type Settings struct {
	// Grace is the length of the grace period that begins when an outage ends. Entries that the list
	// removes in it are held until its end, since live targets register again within this time.
	Grace time.Duration
	// MinOutage is the length of the shortest outage that is followed by a grace period. During such
	// an outage entries of live targets may expire. Removals after shorter outages take effect at
	// once.
	MinOutage time.Duration
}

// DefaultSettings returns the settings of a gateway. Live targets are on the list again within about
// two seconds after an outage. A longer grace period would retain failed targets beyond the two
// seconds within which their removal must take effect.
func DefaultSettings() Settings {
	return Settings{Grace: 2 * time.Second, MinOutage: 3 * time.Second}
}

type entry struct {
	target *Target
	// held is set when the list removed the entry during the grace period. The entry is dropped at
	// the end of the period, unless the target registers again.
	held bool
}

// Discoverer maintains the entries of the list and the registry made from them. It is not safe for
// concurrent use.
type Discoverer struct {
	settings Settings
	entries  map[string]*entry
	// leaving holds the processes that announced in answers that they are leaving. The value is the
	// time when the process was last seen on the list, or the time of the announcement if the process
	// has not been on the list since.
	leaving map[Key]time.Time
	// restored is when the list became available again after the last outage of at least
	// Settings.MinOutage.
	restored time.Time
	// registry is the registry as last built; stale is set when entries have changed since.
	registry *Registry
	stale    bool
}

// New returns a discoverer without targets.
func New(s Settings) *Discoverer {
	return &Discoverer{settings: s, entries: make(map[string]*entry), leaving: make(map[Key]time.Time), stale: true}
}

// Registry returns the registry of the current entries. It is rebuilt only if entries have changed
// since the last call, so once per batch of changes: building it takes a millisecond with thousands
// of targets.
func (d *Discoverer) Registry() *Registry {
	if d.stale {
		d.registry, d.stale = d.build(), false
	}

	return d.registry
}

// Lookup returns a target's entry, and false when there is none.
func (d *Discoverer) Lookup(id string) (*Target, bool) {
	x, ok := d.entries[id]
	if !ok {
		return nil, false
	}

	return x.target, true
}

// RecordOutage records that the list is available again after an outage of the given length.
func (d *Discoverer) RecordOutage(now time.Time, outage time.Duration) {
	if outage >= d.settings.MinOutage {
		d.restored = now
	}
}

// BeginGrace begins a grace period: the list has come back from an older state, from which live targets may be missing.
func (d *Discoverer) BeginGrace(now time.Time) {
	d.restored = now
}

// Set adds a target or replaces its entry. It must be called in the order of the list's records: the
// last record of an ID names the process that runs, even if the start of that process is earlier than
// that of the previous one; see Process.
func (d *Discoverer) Set(t Target) {
	d.setEntry(t)
	d.stale = true
}

// setEntry adds or replaces an entry and marks it as leaving if its process has announced that.
func (d *Discoverer) setEntry(t Target) {
	x := t.withHashes()
	_, x.Leaving = d.leaving[x.key]
	d.entries[t.ID] = &entry{target: x}
}

// leavingRetention is how long the announcement of a leaving process is retained after it was last on the
// list. The entry of a process that leaves during an outage of the platform expires, and can be on
// the list once more after the outage.
const leavingRetention = time.Minute

// MarkLeaving marks a process as leaving because it announced that itself, and returns whether the
// announcement is new. From then on the process accepts no new calls, even if its entry does not state
// that it is leaving: the entry may be older than the announcement, or its update may be delayed by the
// platform.
func (d *Discoverer) MarkLeaving(now time.Time, p Process) bool {
	k := p.Key()
	if _, ok := d.leaving[k]; ok {
		return false
	}

	d.leaving[k] = now

	if x, ok := d.entries[p.ID]; ok && x.target.key == k {
		t := *x.target
		t.Leaving = true
		x.target = &t
		d.stale = true
	}

	return true
}

// expireLeaving drops the announcements of processes that have not been on the list for leavingRetention.
func (d *Discoverer) expireLeaving(now time.Time) {
	for _, x := range d.entries {
		if x.target.Leaving {
			d.leaving[x.target.key] = now
		}
	}

	for k, at := range d.leaving {
		if now.Sub(at) >= leavingRetention {
			delete(d.leaving, k)
		}
	}
}

// Remove applies the removal of a target's entry from the list. It returns whether the entry was dropped
// at once. During the grace period after an outage the entry is held instead, unless the target is
// leaving.
//
// During an outage of the list, entries of live targets expire too. Their removals all arrive at the end
// of the outage, and if the entries were dropped, no call would find a target. Live targets register
// again before the grace period ends.
func (d *Discoverer) Remove(now time.Time, id string) bool {
	x, ok := d.entries[id]
	if !ok {
		return false
	}

	if now.Before(d.restored.Add(d.settings.Grace)) && !x.target.IsLeaving() {
		x.held = true

		return false
	}

	delete(d.entries, id)
	d.stale = true

	return true
}

// Drop drops a target's entry at once, also during the grace period. It is used for entries that were
// overwritten by an invalid one; these did not expire in an outage.
func (d *Discoverer) Drop(id string) {
	if _, ok := d.entries[id]; !ok {
		return
	}

	delete(d.entries, id)

	d.stale = true
}

// Reset applies the complete list. Entries that are not on it are removed as by Remove.
func (d *Discoverer) Reset(now time.Time, l []Target) {
	k := make(map[string]bool, len(l))

	for _, t := range l {
		k[t.ID] = true
		d.setEntry(t)
	}

	for id := range d.entries {
		if !k[id] {
			d.Remove(now, id)
		}
	}

	d.stale = true
}

// ExpireHeld drops the held entries once the grace period has ended, and returns their IDs in order. It must be
// called periodically.
func (d *Discoverer) ExpireHeld(now time.Time) []string {
	if len(d.leaving) > 0 {
		d.expireLeaving(now)
	}

	if now.Before(d.restored.Add(d.settings.Grace)) {
		return nil
	}

	var o []string

	for id, x := range d.entries {
		if x.held {
			delete(d.entries, id)
			o = append(o, id)
		}
	}

	if len(o) > 0 {
		d.stale = true

		sort.Strings(o)
	}

	return o
}

// build builds the registry of the current entries.
func (d *Discoverer) build() *Registry {
	l := make([]*Target, 0, len(d.entries))
	for _, x := range d.entries {
		l = append(l, x.target)
	}

	return newRegistry(l)
}
