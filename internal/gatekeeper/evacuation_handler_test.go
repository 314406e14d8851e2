package gatekeeper

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/standin/collector"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// newTestEvacuationHandler returns an evacuationHandler whose keys begin with "e/"; the value "bad"
// can't be decoded.
func newTestEvacuationHandler(f *state) (*evacuationHandler, counts) {
	c := counts{}

	return &evacuationHandler{
		state: f, records: newSeenRecords(), reporter: &invalidRecordReporter{stream: "config", counter: c},
		decode: func(key string, b []byte) (string, bool, error) {
			n, ok := strings.CutPrefix(key, "e/")
			if ok && (string(b) == "bad" || n == "" && len(b) > 0) {
				return n, ok, &watcher.RecordError{Fault: watcher.Unreadable}
			}

			return n, ok, nil
		},
	}, c
}

// stateWithCentres returns a state with a target in each data centre, and a draining one in the
// first.
func stateWithCentres(t *testing.T, names ...string) *state {
	t.Helper()

	f := newState()
	f.onRegistryChange = func(*discoverer.Registry) {}

	l := []discoverer.Target{{ID: "leaving", Group: "g", DataCentre: names[0], Draining: true}}
	for _, n := range names {
		l = append(l, discoverer.Target{ID: "t-" + n, Group: "g", DataCentre: n})
	}

	f.resetTargets(l, nil)

	return f
}

// openCentres returns the data centres of the targets that accept calls.
func openCentres(f *state) string {
	var o []string
	for _, t := range f.Registry().Groups["g"] {
		o = append(o, t.DataCentre)
	}

	return strings.Join(o, " ")
}

func put(key string, offset int64) watcher.Record {
	return watcher.Record{Key: key, Value: []byte("{}"), Offset: offset}
}

// Guards against losing an evacuation in force, or restoring one that has ended, when the history of the
// stream is deleted or an outdated list is read.
func TestEvacuationsFollowTheStream(t *testing.T) {
	type step struct {
		// change is one record; list is a full list with its end.
		change watcher.Record
		list   []watcher.Record
		end    int64
		err    error
		open   string
	}

	for name, steps := range map[string][]step{
		"begins and ends": {
			{change: put("e/a", 1), open: "b c"},
			{change: watcher.Record{Key: "e/a", Offset: 2}, open: "a b c"},
		},
		"in force at the start": {
			{list: []watcher.Record{put("config", 0), put("e/b", 1)}, end: 2, open: "a c"},
		},
		"in force when the history is deleted": {
			{change: put("e/a", 1), open: "b c"},
			{list: []watcher.Record{put("e/a", 1)}, end: 9, open: "b c"},
		},
		"ended while the history was deleted": {
			{change: put("e/a", 1), open: "b c"},
			{list: []watcher.Record{put("config", 0)}, end: 9, open: "a b c"},
		},
		"an older list ends no evacuation": {
			{change: put("e/a", 5), open: "b c"},
			{list: []watcher.Record{put("config", 0)}, end: 4, err: errStaleList, open: "b c"},
			{list: []watcher.Record{put("e/a", 2)}, end: 9, err: errStaleList, open: "b c"},
		},
		"an older list restores no evacuation": {
			{change: put("e/a", 1), open: "b c"},
			{change: watcher.Record{Key: "e/a", Offset: 2}, open: "a b c"},
			{list: []watcher.Record{put("e/a", 1)}, end: 9, err: errStaleList, open: "a b c"},
			{change: put("e/a", 1), open: "a b c"},
		},
		"two that overlap": {
			{change: put("e/a", 1), open: "b c"},
			{change: put("e/b", 2), open: "c"},
			{change: watcher.Record{Key: "e/a", Offset: 3}, open: "a c"},
			{change: watcher.Record{Key: "e/b", Offset: 4}, open: "a b c"},
		},
		"all data centres": {
			{list: []watcher.Record{put("e/a", 1), put("e/b", 2), put("e/c", 3)}, end: 4},
			{change: watcher.Record{Key: "e/c", Offset: 5}, open: "c"},
		},
		"a data centre without targets": {
			{change: put("e/x", 1), open: "a b c"},
		},
		"an invalid record": {
			{change: watcher.Record{Key: "e/a", Value: []byte("bad"), Offset: 1}, open: "b c"},
		},
		"no data centre": {
			{change: put("e/", 1), open: "a b c"},
			{change: put("e/a", 2), open: "b c"},
		},
		"written twice": {
			{change: put("e/a", 1), open: "b c"},
			{change: put("e/a", 2), open: "b c"},
			{change: watcher.Record{Key: "e/a", Offset: 3}, open: "a b c"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := stateWithCentres(t, "a", "b", "c")
			s, _ := newTestEvacuationHandler(f)

			for _, x := range steps {
				if x.end > 0 {
					i.True(errors.Is(s.Reset(x.list, watcher.Position{Offset: x.end}), x.err))
				} else {
					s.Change(x.change)
				}

				i.Equal(openCentres(f), x.open)
				i.Equal(len(f.Registry().Known), 4) // Prompts are fetched from all of them.
			}
		})
	}
}

// Guards against calls to a target that registered during the evacuation of its data centre, or
// whose group entered the catalog only then.
func TestTargetsListedDuringEvacuationGetNoCalls(t *testing.T) {
	i := is.New(t)
	f := stateWithCentres(t, "a", "b")
	s, _ := newTestEvacuationHandler(f)
	s.Change(put("e/a", 1))

	f.updateTargets(func(_ time.Time, e *discoverer.Discoverer) {
		e.Set(discoverer.Target{ID: "new", Group: "g", DataCentre: "a"})
	})
	i.Equal(openCentres(f), "b")

	c, err := cataloger.New(cataloger.Document{Version: 1, Groups: []cataloger.Group{{Name: "g"}}})
	i.NoErr(err)
	f.applyCatalog(c, watcher.Record{})
	i.Equal(openCentres(f), "b")
	i.Equal(len(f.Registry().Evacuated["g"]), 2)
}

// running holds the number of calls by data centre.
type running map[string]int

func (r running) Running(centre string) int { return r[centre] }

func (r running) TargetStates() []selector.TargetState {
	return []selector.TargetState{{Target: &discoverer.Target{DataCentre: "a"}, Load: 2.6}, {Target: &discoverer.Target{DataCentre: "b"}, Load: 9}}
}

// Guards against log lines and replies that don't show when a data centre may be switched off.
func TestEvacuationLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := collector.New(t)
		f := stateWithCentres(t, "a", "b")
		s, c := newTestEvacuationHandler(f)
		r := running{"a": 2}
		e := newEvacuationReporter(f, r)

		s.Change(watcher.Record{Key: "e/a", Value: []byte("bad"), Offset: 1})
		e.reportEmptied()
		time.Sleep(700 * time.Millisecond)
		i.Equal(e.list(), []wire.Evacuation{{DataCentre: "a", AgeMs: 700, Targets: 1, OwnCalls: 2, AllCalls: 3}})

		r["a"] = 0

		e.reportEmptied()
		e.reportEmptied()
		time.Sleep(2 * time.Second)
		s.Change(watcher.Record{Key: "e/a", Offset: 2})
		e.reportEmptied()

		var l []string

		for _, x := range h.AllEntries() {
			if v, _ := x.Data["event"].(string); strings.HasPrefix(v, "evacuation") {
				l = append(l, v)
			}
		}

		i.Equal(strings.Join(l, " "), "evacuationUnclear evacuationBegun evacuationEmpty evacuationEnded")
		i.Equal(slices.Sorted(maps.Keys(c)), []string{"config unreadable"})
	})
}
