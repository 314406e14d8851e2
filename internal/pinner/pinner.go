// Package pinner decides at which software version a stream may go on: only at the version of the target that began it.
// What two versions write does not fit together, and targets do not check it.
//
// Load pattern: two versions serve side by side, instances are killed with their streams, and the callers resume these at
// other instances, all at once. All instances may be killed together. An instance that is asked knows the version from a note
// that the first instance has sent before the stream began, from the log, or because the group has had one version alone for
// longer than any stream lasts.
package pinner

import (
	"maps"
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

const (
	// retention is how long the version of a stream is kept, and how long a version counts as in use after its last
	// target has disappeared. It is longer than callers go on with a stream.
	retention = time.Minute
	// toldTime is how long after its last target has disappeared a version may count as in use at instances that start meanwhile: until
	// then others are told where streams begin.
	toldTime = 2 * retention
	// recentTime is how old the notes are that are sent when a second version appears, and how long a process has observed the
	// targets when it knows all versions in use: older streams have ended.
	recentTime = 20 * time.Second
	// maxNotes bounds the memory of the notes to a few megabytes. Above it the oldest are dropped.
	maxNotes = 1 << 16
)

// Stream identifies a stream, whichever calls bring its events. Zero is no stream.
type Stream uint64

// Note is the software version that began a stream.
type Note struct {
	Stream  Stream
	Version discoverer.Version
	// Attempt counts the targets at which the stream was begun; of two notes the one with more attempts is valid.
	Attempt int
}

// record is a note with the time of its arrival.
type record struct {
	Note

	group string
	own   bool
	at    time.Time
}

// use holds the versions of a group.
type use struct {
	listed map[discoverer.Version]bool
	// gone holds when the last targets of other versions disappeared.
	gone map[discoverer.Version]time.Time
	// joined holds when the first targets of versions appeared beside those of others.
	joined map[discoverer.Version]time.Time
	// learned reports that another instance or the log has told which versions were in use before this process started.
	learned bool
}

// Pinner holds the notes and the versions that are in use. It is not safe for concurrent use.
type Pinner struct {
	notes map[Stream]record
	// order holds the streams approximately by the time of their notes.
	order []record
	// since is when the targets were first observed.
	since  time.Time
	groups map[string]*use
}

// New returns a Pinner without notes.
func New() *Pinner {
	return &Pinner{notes: make(map[Stream]record), groups: make(map[string]*use)}
}

// Record records a note of another instance, unless a later one is known.
func (p *Pinner) Record(now time.Time, n Note) {
	p.record(record{Note: n, at: now})
}

// RecordOwn records that this instance begins a stream of a group.
func (p *Pinner) RecordOwn(now time.Time, group string, n Note) {
	p.record(record{Note: n, group: group, own: true, at: now})
}

func (p *Pinner) record(r record) {
	p.expire(r.at)

	o, ok := p.notes[r.Stream]
	if ok && o.Attempt > r.Attempt {
		return
	}

	if !ok {
		p.order = append(p.order, r)
	}

	p.notes[r.Stream] = r
}

// expire drops the notes that are older than retention, and the oldest if there are too many.
func (p *Pinner) expire(now time.Time) {
	for len(p.order) > 0 && (now.Sub(p.order[0].at) >= retention || len(p.order) >= maxNotes) {
		x := p.order[0]
		p.order = p.order[1:]

		// The stream has gone on since.
		if r := p.notes[x.Stream]; r.at.After(x.at) && len(p.order) < maxNotes {
			p.order = append(p.order, r)
		} else {
			delete(p.notes, x.Stream)
		}
	}
}

// Find returns the note of a stream.
func (p *Pinner) Find(now time.Time, s Stream) (Note, bool) {
	r, ok := p.notes[s]

	return r.Note, ok && now.Sub(r.at) < retention
}

// Len returns the number of notes.
func (p *Pinner) Len() int { return len(p.notes) }

// Recent returns the notes of the streams of a group that this instance began not long ago.
func (p *Pinner) Recent(now time.Time, group string) []Note {
	var o []Note

	for _, x := range p.order {
		if r := p.notes[x.Stream]; r.own && r.group == group && now.Sub(r.at) < recentTime {
			o = append(o, r.Note)
		}
	}

	return o
}

// Observe records the versions in a registry, and returns the groups that have more than one version since.
func (p *Pinner) Observe(now time.Time, r *discoverer.Registry) []string {
	if p.since.IsZero() {
		p.since = now
	}

	mixed := p.mixedGroups(now)
	listed := make(map[string]map[discoverer.Version]bool)

	for _, t := range r.Known {
		if listed[t.Group] == nil {
			listed[t.Group] = make(map[discoverer.Version]bool)
		}

		listed[t.Group][t.SoftwareVersion()] = true
	}

	for g := range listed {
		p.group(g)
	}

	for g, u := range p.groups {
		u.replace(now, listed[g])
	}

	return p.newlyMixed(now, mixed)
}

// Learn records which versions were in use before this process started, and returns the groups that have more than one
// version since. It has no effect on groups of which that is known. A group of which nothing is recorded is not learned: its record
// may be lost.
func (p *Pinner) Learn(now time.Time, used map[string][]discoverer.Version) []string {
	mixed := p.mixedGroups(now)

	for g, l := range used {
		u := p.group(g)
		if u.learned {
			continue
		}

		u.learned = true

		for _, v := range l {
			if !u.listed[v] {
				u.gone[v] = now
			}
		}
	}

	return p.newlyMixed(now, mixed)
}

func (p *Pinner) group(name string) *use {
	u := p.groups[name]
	if u == nil {
		u = &use{gone: make(map[discoverer.Version]time.Time), joined: make(map[discoverer.Version]time.Time)}
		p.groups[name] = u
	}

	return u
}

// newlyMixed returns the groups that have several versions and are not among the given ones.
func (p *Pinner) newlyMixed(now time.Time, before map[string]bool) []string {
	var o []string

	for g := range p.mixedGroups(now) {
		if !before[g] {
			o = append(o, g)
		}
	}

	return o
}

func (u *use) replace(now time.Time, listed map[discoverer.Version]bool) {
	for v := range listed {
		if u.joins(now, v) {
			u.joined[v] = now
		}
	}

	for v := range u.listed {
		if !listed[v] {
			u.gone[v] = now
			delete(u.joined, v)
		}
	}

	for v := range listed {
		delete(u.gone, v)
	}

	u.listed = listed
}

// joins reports whether a version that is listed now was not in use before, while others were.
func (u *use) joins(now time.Time, v discoverer.Version) bool {
	at, ok := u.gone[v]

	return len(u.listed) > 0 && !u.listed[v] && (!ok || now.Sub(at) >= retention)
}

// Joining returns the versions of a group that have been in use for less than a time, while others were in use before.
func (p *Pinner) Joining(now time.Time, group string, d time.Duration) []discoverer.Version {
	u := p.groups[group]
	if u == nil {
		return nil
	}

	var o []discoverer.Version

	for v, at := range u.joined {
		if now.Sub(at) < d {
			o = append(o, v)
		} else {
			delete(u.joined, v)
		}
	}

	return o
}

func (p *Pinner) mixedGroups(now time.Time) map[string]bool {
	o := make(map[string]bool)

	for g := range p.groups {
		if p.Mixed(now, g) {
			o[g] = true
		}
	}

	return o
}

// Mixed reports whether several versions of a group are in use, so that it must be written at which of them a stream begins.
func (p *Pinner) Mixed(now time.Time, group string) bool {
	return len(p.Versions(now, group)) > 1
}

// MixedGroups returns the groups of which several versions are in use, with these.
func (p *Pinner) MixedGroups(now time.Time) map[string][]discoverer.Version {
	o := make(map[string][]discoverer.Version)
	for g := range p.mixedGroups(now) {
		o[g] = p.Versions(now, g)
	}

	return o
}

// Told returns the notes of others on streams that began not long ago at versions of a group that are in use.
func (p *Pinner) Told(now time.Time, group string) []Note {
	var o []Note

	l := p.Versions(now, group)

	for _, x := range p.order {
		if r := p.notes[x.Stream]; !r.own && now.Sub(r.at) < recentTime && slices.Contains(l, r.Version) {
			o = append(o, r.Note)
		}
	}

	return o
}

// MustWrite reports whether it must be written at which version a stream of a group begins: several are in use, or
// count as such at instances that have just started, or may be, as this one has.
func (p *Pinner) MustWrite(now time.Time, group string) bool {
	return p.Mixed(now, group) || !p.Complete(now, group) || len(p.groups[group].gone) > 0
}

// InUse returns the versions in use of the groups that have several, and of those that have one and are known to have had no other.
func (p *Pinner) InUse(now time.Time) map[string][]discoverer.Version {
	o := make(map[string][]discoverer.Version)

	for g := range p.groups {
		if l := p.Versions(now, g); len(l) > 1 || len(l) == 1 && p.Complete(now, g) {
			o[g] = l
		}
	}

	return o
}

// Incomplete returns the groups with targets of which it is not known which versions were in use before this process started.
func (p *Pinner) Incomplete(now time.Time) []string {
	var o []string

	for g, u := range p.groups {
		if len(u.listed) > 0 && !p.Complete(now, g) {
			o = append(o, g)
		}
	}

	return o
}

// Versions returns the versions of a group that are in use, in ascending order.
func (p *Pinner) Versions(now time.Time, group string) []discoverer.Version {
	u := p.groups[group]
	if u == nil {
		return nil
	}

	o := slices.Collect(maps.Keys(u.listed))

	for v, at := range u.gone {
		if now.Sub(at) < retention {
			o = append(o, v)
		}

		if now.Sub(at) >= toldTime {
			delete(u.gone, v)
		}
	}

	slices.Sort(o)

	return o
}

// Complete reports whether all versions of a group are known that were in use for as long as any stream lasts: this instance
// has observed the targets for so long, or has learned what was before.
func (p *Pinner) Complete(now time.Time, group string) bool {
	u := p.groups[group]

	return u != nil && !p.since.IsZero() && (u.learned || p.Settled(now))
}

// Settled reports whether this instance has observed the targets for longer than any stream lasts.
func (p *Pinner) Settled(now time.Time) bool {
	return !p.since.IsZero() && now.Sub(p.since) >= recentTime
}

// View is what an instance knows of a stream and of the versions of its group.
type View struct {
	DataCentre string
	Note       Note
	// Found reports that there is a note.
	Found bool
	// Versions are those in use. Complete reports that these are all.
	Versions []discoverer.Version
	Complete bool
}

// sole returns the version of the group if there is one alone, and it is known.
func (v View) sole() (discoverer.Version, bool) {
	if len(v.Versions) != 1 || v.Versions[0] == 0 {
		return 0, false
	}

	return v.Versions[0], true
}

// Decide returns the version at which a stream goes on, by what this instance and others know, and false if it is not
// certain. The parameter fresh reports that the list of targets of this instance is up to date, and centres are the data
// centres of all instances.
//
// Without a note, the stream goes on if the group has one version, of which nobody who answers knows another, and one of them
// knows all versions that were in use: when all instances have just started, none may know of the version that began the stream.
// An instance whose list may be old needs an answer from each data centre: another version may have appeared there.
func Decide(own View, others []View, centres []string, fresh bool) (discoverer.Version, bool) {
	best := own
	complete := own.Complete
	answered := map[string]bool{own.DataCentre: true}

	for _, v := range others {
		answered[v.DataCentre] = true
		complete = complete || v.Complete

		if v.Found && (!best.Found || v.Note.Attempt > best.Note.Attempt) {
			best = v
		}
	}

	if best.Found {
		return best.Note.Version, best.Note.Version != 0
	}

	o, ok := own.sole()
	if !ok || !complete {
		return 0, false
	}

	for _, v := range others {
		if slices.ContainsFunc(v.Versions, func(x discoverer.Version) bool { return x != o }) {
			return 0, false
		}
	}

	if !fresh && slices.ContainsFunc(centres, func(c string) bool { return !answered[c] }) {
		return 0, false
	}

	return o, true
}
