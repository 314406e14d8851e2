package gatekeeper

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/watcher"
)

// All instances lose power and start again. Callers that knock in the milliseconds
// between an instance's read of the catalog and its read of the targets were told
// that no target takes calls, which cost each of them one of its few tries. A call
// waits until both are known.
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
			f := newFacts()
			f.dropped = func(*enroller.Roster) {}

			if x.catalog {
				k, err := cataloger.New(c)
				i.NoErr(err)
				f.enforce(k, watcher.Record{})
			}

			if x.targets {
				s, _ := sinkOf(f)
				i.NoErr(s.Reset([]watcher.Record{{Key: "t", Value: []byte("g")}}, 1))
			}

			i.Equal(isClosed(f.Synced()), x.want)
		})
	}
}

// Three thousand targets enter the list within some seconds. Each made the roster anew,
// and an instance with a fifth of a core spent more time on that than there is: its reads
// came late, and it fell back to asking for the whole list again and again. What one read
// brings makes one roster.
func TestChangesOfAReadMakeOneRoster(t *testing.T) {
	i := is.New(t)
	f := newFacts()
	f.dropped = func(*enroller.Roster) {}
	s, _ := sinkOf(f)
	i.NoErr(s.Reset(nil, 0))

	b := f.Registry()

	for n := range 100 {
		s.Change(watcher.Record{Key: strconv.Itoa(n), Value: []byte("g"), Offset: int64(n)})
	}

	s.Change(watcher.Record{Key: "7", Offset: 100})
	i.Equal(f.Registry(), b)

	s.Read(0)
	i.Equal(len(f.Registry().Known), 99)
}

// An instance shows ready and refuses each call, or does not notice that it is cut off:
// another program enters targets of a group that no catalog names, in a data centre of its
// own. They are used once a catalog names their group.
func TestTargetsOfGroupsThatNoCatalogNames(t *testing.T) {
	i := is.New(t)
	f := newFacts()

	var last *enroller.Roster

	f.dropped = func(r *enroller.Roster) { last = r }
	s, _ := sinkOf(f)
	i.NoErr(s.Reset([]watcher.Record{{Key: "t", Value: []byte("g")}, {Key: "u", Value: []byte("other")}}, 2))

	enforce := func(version uint64, groups ...string) {
		d := cataloger.Document{Version: version}
		for _, g := range groups {
			d.Groups = append(d.Groups, cataloger.Group{Name: g})
		}

		c, err := cataloger.New(d)
		i.NoErr(err)
		f.enforce(c, watcher.Record{})
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
