package gatekeeper

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/standin/hearer"
	"github.com/auburntray/auburntray/internal/watcher"
)

// counts is a counter for the tests.
type counts map[string]int

func (c counts) Unusable(stream, reason string) { c[stream+" "+reason]++ }

// sinkOf returns a targetSink whose records are the name of a group, a minus before it when
// the target is about to leave; other values can't be used.
func sinkOf(f *facts) (*targetSink, counts) {
	c := counts{}

	return &targetSink{
		facts: f, marks: newMarks(), refusals: &refusals{stream: "targets", counter: c},
		decode: func(key string, b []byte) (enroller.Target, error) {
			if strings.HasPrefix(string(b), "bad") {
				return enroller.Target{}, &watcher.Unusable{Fault: watcher.BadValue, Field: "state"}
			}

			g, d := strings.CutPrefix(string(b), "-")

			return enroller.Target{ID: key, Group: g, Draining: d}, nil
		},
	}, c
}

// lists returns facts that have read a list of targets in the group g, at the offsets from 1.
func lists(t *testing.T, ids ...string) (*facts, *targetSink, counts) {
	t.Helper()

	f := newFacts()
	f.dropped = func(*enroller.Roster) {}
	s, c := sinkOf(f)

	var l []watcher.Record
	for n, id := range ids {
		l = append(l, watcher.Record{Key: id, Value: []byte("g"), Offset: int64(n + 1)})
	}

	if err := s.Reset(l, int64(len(l)+1)); err != nil {
		t.Fatal(err)
	}

	return f, s, c
}

func keys(f *facts) []string { return slices.Sorted(maps.Keys(f.Registry().Known)) }

// A user would see calls fail at a target that is none: another writer has written over its
// entry, and the entry before it stayed in force, or was held as if the list had been away.
// It is dropped at once; the others hold; and it is back with the next good entry.
func TestEntryThatIsWrittenOver(t *testing.T) {
	for name, write := range map[string]func(s *targetSink) error{
		"by a change": func(s *targetSink) error {
			s.Change(watcher.Record{Key: "a", Value: []byte("bad"), Offset: 5})

			return nil
		},
		"in a whole list": func(s *targetSink) error {
			return s.Reset([]watcher.Record{{Key: "a", Value: []byte("bad"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}}, 6)
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			h := hearer.New(t)
			f, s, c := lists(t, "a", "b")
			s.Read(time.Minute) // Entries that vanish now are held.

			i.NoErr(write(s))
			s.Read(0)
			i.Equal(keys(f), []string{"b"})
			i.Equal(c, counts{"targets badValue": 1})
			i.Equal(h.LastEntry().Data, logrus.Fields{
				"event": "targetRefused", "target": "a", "offset": int64(5), "reason": "badValue", "field": "state",
				"error": "the record can't be used: state: badValue",
			})

			s.Change(watcher.Record{Key: "a", Value: []byte("g"), Offset: 6})
			s.Read(0)
			i.Equal(keys(f), []string{"a", "b"})
		})
	}
}

// An entry of another writer stands for days, and each whole list has it: a line and a count
// of each reading would hide what changes.
func TestRefusedEntryIsToldOnceForEachChange(t *testing.T) {
	i := is.New(t)
	h := hearer.New(t)
	_, s, c := lists(t)

	for n := range 3 {
		i.NoErr(s.Reset([]watcher.Record{{Key: "a", Value: []byte("bad"), Offset: 5}}, int64(6+n)))
		s.Change(watcher.Record{Key: "a", Value: []byte("bad"), Offset: 5})
	}

	i.Equal(c["targets badValue"], 1)
	s.Change(watcher.Record{Key: "a", Value: []byte("bad"), Offset: 9})
	i.Equal(c["targets badValue"], 2)
	i.Equal(len(h.AllEntries()), 2)
}

// The disk is full and the lines that matter are late: another program writes a thousand
// entries a second that can't be used, and each got a line and a place in memory for good.
func TestWriterThatNeverStops(t *testing.T) {
	const (
		seconds = 60
		rate    = 1000
	)

	for name, x := range map[string]struct {
		key   func(n int) string
		value func(n int) string
	}{
		"one key":   {func(int) string { return "a" }, func(int) string { return "bad" }},
		"many keys": {strconv.Itoa, func(int) string { return "bad" }},
		"good between": {func(int) string { return "a" }, func(n int) string {
			return []string{"bad", "g"}[n%2]
		}},
		"dropped between": {func(n int) string { return strconv.Itoa(n / 2) }, func(n int) string {
			return []string{"bad", ""}[n%2]
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				h := hearer.New(t)
				_, s, c := lists(t, "b")
				bad := 0

				for n := range seconds * rate {
					v := x.value(n)
					s.Change(watcher.Record{Key: x.key(n), Value: []byte(v), Offset: int64(n + 10)})

					if v == "bad" {
						bad++
					}

					if n%rate == 0 {
						s.Read(0)
						time.Sleep(time.Second)
					}
				}

				time.Sleep(time.Minute)
				s.Read(0)

				told, unsaid := 0, 0

				for _, e := range h.AllEntries() {
					switch e.Data["event"] {
					case "targetRefused":
						told++
					case "refusalsUnsaid":
						unsaid += e.Data["records"].(int)
					}
				}

				i.True(len(h.AllEntries()) <= lineBurst+2*seconds)
				i.Equal(told+unsaid, bad)
				i.Equal(c["targets badValue"], bad)
				i.True(len(s.marks.keys) <= maxUnused+1)
			})
		})
	}
}

// An instance grows until it is ended: targets come and go, it learns of it by whole lists
// alone, and remembers each that ever was.
func TestTargetsThatLeftAreForgotten(t *testing.T) {
	i := is.New(t)
	_, s, _ := lists(t)

	const each = 1000

	for n := range int64(20) {
		var l []watcher.Record
		for k := n * each; k < (n+1)*each; k++ {
			l = append(l, watcher.Record{Key: strconv.FormatInt(k, 10), Value: []byte("g"), Offset: k + 1})
		}

		i.NoErr(s.Reset(l, (n+1)*each+1))
	}

	i.True(len(s.marks.keys) <= maxUnused+each)
}

// A user would see calls go to a target that left, or none to one that came: the platform
// answers a whole list from an older state, and names an end that is not older. It is not
// taken; what was known stands.
func TestListFromAnOlderState(t *testing.T) {
	for name, x := range map[string]struct {
		list []watcher.Record
		end  int64
		old  bool
		want []string
	}{
		"older entry of a target":     {[]watcher.Record{{Key: "a", Value: []byte("-g"), Offset: 1}, {Key: "b", Value: []byte("g"), Offset: 2}}, 9, true, []string{"a", "b", "c"}},
		"target that left":            {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}, {Key: "d", Value: []byte("g"), Offset: 4}}, 9, true, []string{"a", "b", "c"}},
		"refused one was well":        {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}, {Key: "e", Value: []byte("g"), Offset: 3}}, 9, true, []string{"a", "b", "c"}},
		"ends before one that came":   {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}}, 8, true, []string{"a", "b", "c"}},
		"same state":                  {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}, {Key: "c", Value: []byte("g"), Offset: 8}}, 9, false, []string{"a", "b", "c"}},
		"newer state":                 {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "d", Value: []byte("g"), Offset: 11}}, 12, false, []string{"a", "d"}},
		"one key twice, newest first": {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "a", Value: []byte("-g"), Offset: 1}}, 12, false, []string{"a"}},
		"one key twice, newest last":  {[]watcher.Record{{Key: "a", Value: []byte("-g"), Offset: 1}, {Key: "a", Value: []byte("g"), Offset: 5}}, 12, false, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f, s, _ := lists(t, "a", "b")

			for n, r := range []watcher.Record{
				{Key: "e", Value: []byte("g")}, {Key: "d", Value: []byte("g")}, {Key: "a", Value: []byte("g")},
				{Key: "d"}, {Key: "e", Value: []byte("bad")}, {Key: "c", Value: []byte("g")},
			} {
				r.Offset = int64(n + 3)
				s.Change(r)
			}

			s.Read(0)
			i.Equal(keys(f), []string{"a", "b", "c"})

			i.Equal(s.Reset(x.list, x.end) != nil, x.old)
			s.Read(0)
			i.Equal(keys(f), x.want)
			i.Equal(len(f.Registry().Groups["g"]), len(x.want))
		})
	}
}
