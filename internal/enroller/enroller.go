// Package enroller decides which targets may be given calls, from the list that
// the platform keeps of them.
package enroller

import (
	"sort"
	"time"
)

// Settings bounds how long entries are believed.
type Settings struct {
	// Grace is how long after the list's return an entry that vanished while it
	// was away is still believed: a target that lives enters itself again.
	Grace time.Duration
	// Lapse is how long the list must have been away for entries of targets that
	// live to have run out meanwhile.
	Lapse time.Duration
}

// DefaultSettings returns the settings of a gateway. Targets that live are back
// on the list within about two seconds of its return; a little more would keep
// dead ones longer than the two seconds in which leaving must take effect.
func DefaultSettings() Settings {
	return Settings{Grace: 2 * time.Second, Lapse: 3 * time.Second}
}

type entry struct {
	target *Target
	// held says that the list dropped the entry while its word was not to be
	// trusted; it goes at the end of the grace unless it comes back.
	held bool
}

// Enroller holds the list as far as it is believed. It is not safe for
// concurrent use.
type Enroller struct {
	settings Settings
	entries  map[string]*entry
	// leaving are the processes that said in answers that they leave, with when they were last on
	// the list, or were heard if they were not.
	leaving map[Key]time.Time
	// regained is when the list was last back after it had been away.
	regained time.Time
	// roster is the last one made, and stale says that entries have changed since.
	roster *Roster
	stale  bool
}

// New returns an Enroller without targets.
func New(s Settings) *Enroller {
	return &Enroller{settings: s, entries: make(map[string]*entry), leaving: make(map[Key]time.Time), stale: true}
}

// Roster returns the targets that are believed now. It is made anew when entries have
// changed: once for all changes that came together, since that takes a millisecond with
// thousands of targets.
func (e *Enroller) Roster() *Roster {
	if e.stale {
		e.roster, e.stale = e.roll(), false
	}

	return e.roster
}

// Known returns a target's entry, and false when there is none.
func (e *Enroller) Known(id string) (*Target, bool) {
	x, ok := e.entries[id]
	if !ok {
		return nil, false
	}

	return x.target, true
}

// Regained notes that the list can be read again after it was away for a time.
func (e *Enroller) Regained(now time.Time, away time.Duration) {
	if away >= e.settings.Lapse {
		e.regained = now
	}
}

// Set enters a target or changes its entry. Calls come in the order of the list's records,
// and the last one names the process that runs, also when its start is before that of the
// one before: see Process.
func (e *Enroller) Set(t Target) {
	e.enter(t)
	e.stale = true
}

// enter enters a target, whose process may have said that it leaves.
func (e *Enroller) enter(t Target) {
	x := t.enter()
	_, x.Leaving = e.leaving[x.key]
	e.entries[t.ID] = &entry{target: x}
}

// leavingFor is how long it is remembered that a process leaves which is not on the list. One that
// leaves while the platform is away lapses, and is on the list once more when that is back.
const leavingFor = time.Minute

// Leave takes a process's own word that it leaves, and says whether that was news. It takes no new
// calls from then on, whatever the list says; that word is older, or waits for the platform.
func (e *Enroller) Leave(now time.Time, p Process) bool {
	k := p.Key()
	if _, ok := e.leaving[k]; ok {
		return false
	}

	e.leaving[k] = now

	if x, ok := e.entries[p.ID]; ok && x.target.key == k {
		t := *x.target
		t.Leaving = true
		x.target = &t
		e.stale = true
	}

	return true
}

// forgetLeaving drops the processes that have long been off the list.
func (e *Enroller) forgetLeaving(now time.Time) {
	for _, x := range e.entries {
		if x.target.Leaving {
			e.leaving[x.target.key] = now
		}
	}

	for k, at := range e.leaving {
		if now.Sub(at) >= leavingFor {
			delete(e.leaving, k)
		}
	}
}

// Remove takes a target off. It says whether the target was dropped at once and
// not held.
//
// While the list is away the entries of targets that live run out too. They show
// as removals just after its return, all at once, and dropping them would leave
// every call without a target; those who live are back before the grace is over.
func (e *Enroller) Remove(now time.Time, id string) bool {
	x, ok := e.entries[id]
	if !ok {
		return false
	}

	if now.Before(e.regained.Add(e.settings.Grace)) && !x.target.Leaves() {
		x.held = true

		return false
	}

	delete(e.entries, id)
	e.stale = true

	return true
}

// Drop takes a target off at once, also while entries that vanish are held: its entry did
// not run out in an outage, but was written over.
func (e *Enroller) Drop(id string) {
	if _, ok := e.entries[id]; !ok {
		return
	}

	delete(e.entries, id)

	e.stale = true
}

// Reset takes the whole list. Entries that are not on it are removed.
func (e *Enroller) Reset(now time.Time, l []Target) {
	k := make(map[string]bool, len(l))

	for _, t := range l {
		k[t.ID] = true
		e.enter(t)
	}

	for id := range e.entries {
		if !k[id] {
			e.Remove(now, id)
		}
	}

	e.stale = true
}

// Settle drops the held entries whose grace is over and returns their IDs. It is to be called again
// and again.
func (e *Enroller) Settle(now time.Time) []string {
	if len(e.leaving) > 0 {
		e.forgetLeaving(now)
	}

	if now.Before(e.regained.Add(e.settings.Grace)) {
		return nil
	}

	var o []string

	for id, x := range e.entries {
		if x.held {
			delete(e.entries, id)
			o = append(o, id)
		}
	}

	if len(o) > 0 {
		e.stale = true

		sort.Strings(o)
	}

	return o
}

// roll returns the roster of the entries as they are.
func (e *Enroller) roll() *Roster {
	l := make([]*Target, 0, len(e.entries))
	for _, x := range e.entries {
		l = append(l, x.target)
	}

	return newRoster(l)
}
