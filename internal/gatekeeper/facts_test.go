package gatekeeper

import (
	"encoding/json"
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
				f.enforce(k, "test")
			}

			if x.targets {
				s := &targetSink{facts: f, offsets: make(map[string]int64), decode: func(key string, b []byte) (enroller.Target, error) {
					r := enroller.Target{ID: key}

					return r, json.Unmarshal(b, &r)
				}}
				s.Reset([]watcher.Record{{Key: "t", Value: []byte(`{"Group":"g"}`)}})
			}

			i.Equal(isClosed(f.Known()), x.want)
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
	s := &targetSink{facts: f, offsets: make(map[string]int64), decode: func(key string, _ []byte) (enroller.Target, error) {
		return enroller.Target{ID: key, Group: "g"}, nil
	}}
	s.Reset(nil)

	b := f.Roster()

	for n := range 100 {
		s.Change(watcher.Record{Key: strconv.Itoa(n), Value: []byte("{}"), Offset: int64(n)})
	}

	s.Change(watcher.Record{Key: "7", Offset: 100})
	i.Equal(f.Roster(), b)

	s.Read(0)
	i.Equal(len(f.Roster().Known), 99)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
