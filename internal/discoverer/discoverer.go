// Package discoverer discovers targets: it maintains the registry of known targets, and of those that
// accept new calls, from the list of targets that the platform publishes.
package discoverer

import (
	"sort"
	"time"
)

// Settings determines how long entries are retained after an outage of the list.
type Settings struct {
	// Grace is how long after an outage entries that were removed are retained: live targets
	// register again within this time.
	Grace time.Duration
	// MinOutage is the length of an outage from which on entries of live targets may have expired
	// during it. Removals after shorter outages take effect at once.
	MinOutage time.Duration
}

// DefaultSettings returns the settings of a gateway. Live targets are on the list again within about
// two seconds after an outage. A longer grace would retain failed targets beyond the two seconds
// within which their removal must take effect.
func DefaultSettings() Settings {
	return Settings{Grace: 2 * time.Second, MinOutage: 3 * time.Second}
}

type entry struct {
	target *Target
	// held is set when the list removed the entry during the grace. The entry is dropped when the
	// grace ends, unless the target registers again.
	held bool
}

// Discoverer maintains the entries of the list and the registry made from them. It is not safe for
// concurrent use.
type Discoverer struct {
	settings Settings
	entries  map[string]*entry
	// leaving holds the processes that announced in answers that they are leaving, with the time
	// when they were last on the list, or of the announcement if they were not.
	leaving map[Key]time.Time
	// restored is when the list became available again after the last long outage.
	restored time.Time
	// registry is the registry as last built; stale is set when entries have changed since.
	registry *Registry
	stale    bool
}

// New returns a discoverer without targets.
func New(s Settings) *Discoverer {
	return &Discoverer{settings: s, entries: make(map[string]*entry), leaving: make(map[Key]time.Time), stale: true}
}

// Registry returns the registry of the current entries. It is rebuilt if entries have changed since the
// last call, that is, once per batch of changes, since this takes a millisecond with thousands of
// targets.
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
func (d *Discoverer) RecordOutage(now time.Time, away time.Duration) {
	if away >= d.settings.MinOutage {
		d.restored = now
	}
}

// Set adds a target or replaces its entry. It must be called in the order of the list's records: the
// last record of an ID names the process that runs, even if the start of that process is earlier than
// that of the previous one; see Process.
func (d *Discoverer) Set(t Target) {
	d.enter(t)
	d.stale = true
}

// enter adds or replaces an entry and marks it as leaving if its process has announced that.
func (d *Discoverer) enter(t Target) {
	x := t.enter()
	_, x.Leaving = d.leaving[x.key]
	d.entries[t.ID] = &entry{target: x}
}

// leavingRetention is how long the announcement of a leaving process is retained after it was last on the
// list. The entry of a process that leaves during an outage of the platform expires, and can be on
// the list once more after the outage.
const leavingRetention = time.Minute

// MarkLeaving marks a process as leaving, as it announced itself, and reports whether that was unknown. The
// process accepts no new calls from then on, whatever its entry states: the entry is older or waits
// for the platform.
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

// Remove removes a target's entry, as the list did. It reports whether the entry was dropped at once;
// during the grace after an outage it is held instead, unless the target is leaving.
//
// Entries of live targets also expire during an outage of the list. Their removals arrive all at once
// after it, and dropping them would leave all calls without a target. Live targets register again
// before the grace ends.
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

// Drop drops a target's entry at once, also during the grace. It is for entries that were overwritten,
// which did not expire in an outage.
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
		d.enter(t)
	}

	for id := range d.entries {
		if !k[id] {
			d.Remove(now, id)
		}
	}

	d.stale = true
}

// ExpireHeld drops the held entries once the grace has ended, and returns their IDs in order. It must be
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
