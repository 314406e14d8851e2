package gatekeeper

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/watcher"
)

// eraStep is a change, a list, or a time that passes.
type eraStep struct {
	change watcher.Record
	list   []watcher.Record
	// era and end are those of the list; a step without an end is a change, unless it is a wait.
	era  uint64
	end  int64
	wait time.Duration
	// outage is how long reads had failed before the step.
	outage time.Duration
	// want is the state after the step.
	want string
}

// entry returns the record of a target.
func entry(id, value string, offset int64) watcher.Record {
	return watcher.Record{Key: id, Value: []byte(value), Offset: offset}
}

// openTargets returns the targets that accept calls, and those that are draining with a minus.
func openTargets(f *state) string {
	var o []string

	for _, k := range keys(f) {
		if f.Registry().Known[k].Draining {
			k = "-" + k
		}

		o = append(o, k)
	}

	return strings.Join(o, " ")
}

func runEraSteps(t *testing.T, h watcher.Handler, steps []eraStep, state func() string) {
	t.Helper()

	for n, x := range steps {
		switch {
		case x.wait > 0:
			time.Sleep(x.wait)
		case x.end > 0:
			if err := h.Reset(x.list, watcher.Position{Era: x.era, Offset: x.end}); err != nil {
				t.Errorf("step %d: %v", n, err)
			}
		default:
			h.Change(x.change)
		}

		h.Read(x.outage)

		if got := state(); got != x.want {
			t.Errorf("step %d: got %q, want %q", n, got, x.want)
		}
	}
}

// Guards against a target that gets calls again although its leaving was confirmed, or none although it is alive, after
// the list has come back from a copy in which it is still ready, listed, or missing.
func TestTargetsInNewEra(t *testing.T) {
	a := entry("a", "g", 1)

	for name, steps := range map[string][]eraStep{
		"draining again as rewritten": {
			{change: entry("b", "g", 2), want: "a b"},
			{change: entry("b", "-g", 9), want: "a -b"},
			{era: 2, list: []watcher.Record{a, entry("b", "g", 2)}, end: 3, want: "a -b"},
			{change: entry("b", "-g", 3), want: "a -b"},
			{wait: time.Minute, want: "a -b"},
		},
		"draining, and ready as written later": {
			{change: entry("b", "-g", 9), want: "a -b"},
			{era: 2, list: []watcher.Record{a, entry("b", "g", 2)}, end: 3, want: "a -b"},
			{change: entry("b", "g", 3), want: "a b"},
		},
		"draining, and never written again": {
			{change: entry("b", "-g", 9), want: "a -b"},
			{era: 2, list: []watcher.Record{a, entry("b", "g", 2)}, end: 3, want: "a -b"},
			{wait: rewriteTime - time.Second, want: "a -b"},
			{wait: 2 * time.Second, want: "a b"},
		},
		"left, and expires again": {
			{change: entry("b", "g", 2), want: "a b"},
			{change: entry("b", "", 9), want: "a"},
			{era: 2, list: []watcher.Record{a, entry("b", "g", 2)}, end: 3, want: "a"},
			{change: entry("b", "", 3), want: "a"},
			{wait: time.Minute, want: "a"},
		},
		"another process of the same target": {
			{change: entry("b", "h", 9), want: "a b"},
			{era: 2, list: []watcher.Record{a, entry("b", "", 2)}, end: 3, want: "a b"},
			{change: entry("b", "h", 3), want: "a b"},
		},
		"joined, and registers again": {
			{change: entry("c", "g", 9), want: "a c"},
			{era: 2, list: []watcher.Record{a}, end: 3, want: "a c"},
			{wait: time.Second, want: "a c"},
			{change: entry("c", "g", 3), want: "a c"},
			{wait: time.Minute, want: "a c"},
		},
		"joined, and does not come back": {
			{change: entry("c", "g", 9), want: "a c"},
			{era: 2, list: []watcher.Record{a}, end: 3, want: "a c"},
			{wait: 3 * time.Second, want: "a"},
		},
		"lapsed in an outage, and listed in the copy": {
			{change: entry("b", "g", 2), outage: 4 * time.Second, want: "a b"},
			{change: entry("b", "", 9), want: "a b"},
			{era: 2, list: []watcher.Record{a, entry("b", "g", 2)}, end: 3, want: "a b"},
			{wait: 3 * time.Second, want: "a b"},
			{wait: time.Minute, want: "a b"},
		},
		"two eras in a row": {
			{change: entry("b", "g", 2), want: "a b"},
			{change: entry("b", "-g", 9), want: "a -b"},
			{era: 2, list: []watcher.Record{a, entry("b", "g", 2)}, end: 3, want: "a -b"},
			{era: 3, list: []watcher.Record{a, entry("b", "g", 2)}, end: 3, want: "a -b"},
			{change: entry("b", "-g", 3), want: "a -b"},
			{wait: time.Minute, want: "a -b"},
		},
		"the same offset as before, another record": {
			{change: entry("b", "g", 9), want: "a b"},
			{era: 2, list: []watcher.Record{a, entry("b", "-g", 9)}, end: 10, want: "a -b"},
		},
		"written again before it is read": {
			{change: entry("b", "g", 2), want: "a b"},
			{era: 2, list: []watcher.Record{a, entry("b", "-g", 4)}, end: 5, want: "a -b"},
		},
		"the list of the same era again": {
			{change: entry("b", "g", 2), want: "a b"},
			{change: entry("b", "", 9), want: "a"},
			{era: 2, list: []watcher.Record{a, entry("b", "g", 2)}, end: 3, want: "a"},
			{era: 2, list: []watcher.Record{a, entry("b", "g", 2)}, end: 3, want: "a"},
			{era: 2, list: []watcher.Record{a}, end: 9, want: "a"},
			{wait: time.Minute, want: "a"},
		},
		"a record of the era before": {
			{change: entry("b", "-g", 9), want: "a -b"},
			{era: 2, list: []watcher.Record{a, entry("b", "-g", 4)}, end: 5, want: "a -b"},
			{change: entry("b", "g", 4), want: "a -b"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logrus.SetLevel(logrus.FatalLevel)

				f := newState()
				f.onRegistryChange = func(*discoverer.Registry) {}
				h, _ := newTestTargetHandler(f)

				first := []eraStep{{era: 1, list: []watcher.Record{a}, end: 2, want: "a"}}
				runEraSteps(t, h, slices.Concat(first, steps), func() string {
					f.expireHeldTargets()

					return openTargets(f)
				})
			})
		})
	}
}

// Guards against calls to an evacuated data centre, or none to one whose evacuation has ended, after the stream has come
// back from a copy that is older than the operator's request.
func TestEvacuationsInNewEra(t *testing.T) {
	config := put("config", 0)

	for name, steps := range map[string][]eraStep{
		"lost and requested again": {
			{change: put("e/a", 9), want: "b"},
			{era: 2, list: []watcher.Record{config}, end: 3, want: "b"},
			{wait: 5 * time.Second, want: "b"},
			{change: put("e/a", 3), want: "b"},
			{wait: time.Hour, want: "b"},
		},
		"lost, and not requested again": {
			{change: put("e/a", 9), want: "b"},
			{era: 2, list: []watcher.Record{config}, end: 3, want: "b"},
			{era: 2, list: []watcher.Record{config}, end: 4, want: "b"},
			{wait: rewriteTime + time.Second, want: "a b"},
		},
		"ended in the new era before that is read": {
			{change: put("e/a", 9), want: "b"},
			{era: 2, list: []watcher.Record{config, put("e/b", 3)}, end: 4, want: ""},
			{wait: 7 * time.Second, want: "a"},
		},
		"its end is lost and requested again": {
			{change: put("e/a", 2), want: "b"},
			{change: watcher.Record{Key: "e/a", Offset: 9}, want: "a b"},
			{era: 2, list: []watcher.Record{config, put("e/a", 2)}, end: 3, want: "a b"},
			{change: watcher.Record{Key: "e/a", Offset: 3}, want: "a b"},
			{wait: time.Hour, want: "a b"},
		},
		"its end is lost, and another is requested": {
			{change: put("e/a", 2), want: "b"},
			{change: watcher.Record{Key: "e/a", Offset: 9}, want: "a b"},
			{era: 2, list: []watcher.Record{config, put("e/a", 2)}, end: 3, want: "a b"},
			{change: put("e/a", 3), want: "b"},
		},
		"in force in the copy too": {
			{change: put("e/a", 2), want: "b"},
			{era: 2, list: []watcher.Record{config, put("e/a", 2)}, end: 3, want: "b"},
			{change: watcher.Record{Key: "e/a", Offset: 3}, want: "a b"},
		},
		"two eras in a row": {
			{change: put("e/a", 9), want: "b"},
			{era: 2, list: []watcher.Record{config}, end: 3, want: "b"},
			{era: 3, list: []watcher.Record{config}, end: 2, want: "b"},
			{change: put("e/a", 2), want: "b"},
			{wait: time.Hour, want: "b"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := stateWithCentres(t, "a", "b")
				h, _ := newTestEvacuationHandler(f)

				first := []eraStep{{era: 1, list: []watcher.Record{config}, end: 2, want: "a b"}}
				runEraSteps(t, h, slices.Concat(first, steps), func() string { return openCentres(f) })
			})
		})
	}
}

// Guards against a new route that is denied with 404, or a new key with 401: the change that added it was lost before
// this instance had read it, and is not written again yet.
func TestCatalogIsNotFreshAtBeginningOfEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f := newState()
		f.lastConfirmed = time.Now

		n := 0
		h := newEraHandler(func() {
			n++

			f.beginEra()
		})

		for _, p := range []watcher.Position{{Era: 1, Offset: 4}, {Era: 1, Offset: 6}} {
			i.NoErr(h.Reset(nil, p))
			i.True(f.Fresh())
		}

		i.NoErr(h.Reset(nil, watcher.Position{Era: 2, Offset: 3}))
		i.True(!f.Fresh())
		time.Sleep(rewriteTime)
		i.True(f.Fresh())
		i.NoErr(h.Reset(nil, watcher.Position{Era: 3, Offset: 3}))
		i.True(!f.Fresh())
		i.Equal(n, 2)
	})
}

// Guards against a version that is taken back, and against an invalid configuration that is not reported since one with
// a higher offset was, in the era before.
func TestConfigurationInNewEra(t *testing.T) {
	i := is.New(t)
	logrus.SetLevel(logrus.PanicLevel)

	f := newState()
	f.onRegistryChange = func(*discoverer.Registry) {}

	c := counts{}
	h := &configHandler{
		state: f, key: "config", reporter: &invalidRecordReporter{stream: "config", counter: c},
		decode: func(b []byte) (cataloger.Document, error) {
			if b[0] == 'x' {
				return cataloger.Document{}, &watcher.RecordError{Fault: watcher.Unreadable}
			}

			return cataloger.Document{Version: uint64(b[0] - '0')}, nil
		},
	}
	list := func(value string, era uint64, offset int64) {
		i.NoErr(h.Reset([]watcher.Record{entry("config", value, offset)}, watcher.Position{Era: era, Offset: offset + 1}))
	}

	list("5", 1, 7)
	h.Change(entry("config", "x", 8))
	list("3", 2, 2)
	i.Equal(f.catalogVersion(), uint64(5))
	h.Change(entry("config", "x", 3))
	i.Equal(c["config unreadable"], 2)
	h.Change(entry("config", "6", 4))
	i.Equal(f.catalogVersion(), uint64(6))
}
