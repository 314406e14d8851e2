package gatekeeper

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/watcher"
)

// Guards against calls refused for lack of a target in the milliseconds between the reads of the
// catalog and of the targets after a start, which costs callers one of their few attempts. Calls
// wait until both are known.
func TestCallsWaitForTheTargetsToo(t *testing.T) {
	c := cataloger.Document{Version: 2, Groups: []cataloger.Group{{Name: "g"}}}

	tests := map[string]struct {
		catalog, targets bool
		want             bool
	}{
		"nothing":          {},
		"only the catalog": {catalog: true},
		"only the targets": {targets: true},
		"both":             {catalog: true, targets: true, want: true},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newState()
			f.onRegistryChange = func(*discoverer.Registry) {}

			if x.catalog {
				k, err := cataloger.New(c)
				i.NoErr(err)
				f.applyCatalog(k, watcher.Record{})
			}

			if x.targets {
				s, _ := newTestTargetHandler(f)
				i.NoErr(s.Reset([]watcher.Record{{Key: "t", Value: []byte("g")}}, watcher.Position{Offset: 1}))
			}

			i.Equal(isClosed(f.Synced()), x.want)
		})
	}
}

// Guards against publishing a registry for each change: when 3,000 targets registered within seconds, an instance
// with 0.2 cores could not keep up, its reads were late, and it requested full lists repeatedly.
// The changes of one read are published as one registry.
func TestOneReadPublishesOneRegistry(t *testing.T) {
	i := is.New(t)
	f := newState()
	f.onRegistryChange = func(*discoverer.Registry) {}
	s, _ := newTestTargetHandler(f)
	i.NoErr(s.Reset(nil, watcher.Position{}))

	b := f.Registry()

	for n := range 100 {
		s.Change(watcher.Record{Key: strconv.Itoa(n), Value: []byte("g"), Offset: int64(n)})
	}

	s.Change(watcher.Record{Key: "7", Offset: 100})
	i.Equal(f.Registry(), b)

	s.Read(0)
	i.Equal(len(f.Registry().Known), 99)
}

// Guards against targets of groups outside the catalog, which another program registers in a data
// centre of its own: the instance reported ready but refused every call, or did not detect a
// network partition. The targets are used once a catalog contains their group.
func TestTargetsOfGroupsOutsideTheCatalog(t *testing.T) {
	i := is.New(t)
	f := newState()

	var last *discoverer.Registry

	f.onRegistryChange = func(r *discoverer.Registry) { last = r }
	s, _ := newTestTargetHandler(f)
	i.NoErr(s.Reset([]watcher.Record{{Key: "t", Value: []byte("g")}, {Key: "u", Value: []byte("other")}}, watcher.Position{Offset: 2}))

	enforce := func(version uint64, groups ...string) {
		d := cataloger.Document{Version: version}
		for _, g := range groups {
			d.Groups = append(d.Groups, cataloger.Group{Name: g})
		}

		c, err := cataloger.New(d)
		i.NoErr(err)
		f.applyCatalog(c, watcher.Record{})
	}

	enforce(1, "g")
	i.Equal(len(f.Registry().Known), 1)
	i.Equal(len(f.Registry().Groups), 1)
	i.Equal(len(f.Registry().Groups["g"]), 1)
	i.Equal(f.Registry(), last)
	i.Equal(len(last.Names), 1)
	i.Equal(len(last.Processes), 1)

	s.Change(watcher.Record{Key: "v", Value: []byte("other"), Offset: 2})
	s.Read(0)
	i.Equal(len(f.Registry().Known), 1)

	enforce(2, "g", "other")
	i.Equal(len(f.Registry().Known), 3)
	i.Equal(len(f.Registry().Groups["other"]), 2)

	enforce(3, "other")
	i.Equal(len(f.Registry().Groups["g"]), 0)
	i.Equal(len(f.Registry().Known), 2)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a list of targets that counts as up to date since what the platform confirmed long ago is read only after a stall.
func TestTargetsAreNotFreshAfterStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newState()
		f.applyWithin, f.targetsConfirmed = 2*time.Second, time.Now

		run := func(d time.Duration) {
			for e := time.Now().Add(d); time.Now().Before(e); time.Sleep(detector.TickInterval) {
				f.recordTick()
			}
		}

		run(time.Second)
		is.True(f.targetsFresh())

		time.Sleep(time.Second) // No tick.
		is.True(!f.targetsFresh())

		run(2 * detector.TickInterval)
		is.True(!f.targetsFresh())

		run(time.Second)
		is.True(f.targetsFresh())
	})
}
