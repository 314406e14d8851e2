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

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/standin/collector"
	"github.com/auburntray/auburntray/internal/watcher"
)

// counts is a counter for the tests.
type counts map[string]int

func (c counts) InvalidRecord(stream, reason string) { c[stream+" "+reason]++ }

// newTestTargetHandler returns a targetHandler whose records contain the name of a group, prefixed
// with a minus when the target is draining; values that begin with "bad" are invalid.
func newTestTargetHandler(f *state) (*targetHandler, counts) {
	c := counts{}

	return &targetHandler{
		state: f, records: newSeenRecords(), reporter: &invalidRecordReporter{stream: "targets", counter: c},
		decode: func(key string, b []byte) (discoverer.Target, error) {
			if strings.HasPrefix(string(b), "bad") {
				return discoverer.Target{}, &watcher.RecordError{Fault: watcher.InvalidValue, Field: "state"}
			}

			g, d := strings.CutPrefix(string(b), "-")

			return discoverer.Target{ID: key, Group: g, Draining: d}, nil
		},
	}, c
}

// newTestState returns a state that has read targets of the group g, at offsets from 1.
func newTestState(t *testing.T, ids ...string) (*state, *targetHandler, counts) {
	t.Helper()

	f := newState()
	f.onRegistryChange = func(*discoverer.Registry) {}
	s, c := newTestTargetHandler(f)

	var l []watcher.Record
	for n, id := range ids {
		l = append(l, watcher.Record{Key: id, Value: []byte("g"), Offset: int64(n + 1)})
	}

	if err := s.Reset(l, watcher.Position{Offset: int64(len(l) + 1)}); err != nil {
		t.Fatal(err)
	}

	return f, s, c
}

func keys(f *state) []string { return slices.Sorted(maps.Keys(f.Registry().Known)) }

// Guards against calls to a target whose entry another writer has overwritten: the former entry
// remained in force, or was retained as after an outage of the list. The target is dropped at once,
// the others remain, and the next valid entry restores it.
func TestOverwrittenEntryIsDropped(t *testing.T) {
	for name, write := range map[string]func(s *targetHandler) error{
		"in a change": func(s *targetHandler) error {
			s.Change(watcher.Record{Key: "a", Value: []byte("bad"), Offset: 5})

			return nil
		},
		"in a full list": func(s *targetHandler) error {
			return s.Reset([]watcher.Record{{Key: "a", Value: []byte("bad"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}}, watcher.Position{Offset: 6})
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			h := collector.New(t)
			f, s, c := newTestState(t, "a", "b")
			s.Read(time.Minute) // Entries that vanish now are retained for the grace period.

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

// Guards against a log line and a count for each read of an invalid entry that remains for days and
// is repeated in every full list: they would hide changes.
func TestInvalidEntryIsReportedOncePerChange(t *testing.T) {
	i := is.New(t)
	h := collector.New(t)
	_, s, c := newTestState(t)

	for n := range 3 {
		i.NoErr(s.Reset([]watcher.Record{{Key: "a", Value: []byte("bad"), Offset: 5}}, watcher.Position{Offset: int64(6 + n)}))
		s.Change(watcher.Record{Key: "a", Value: []byte("bad"), Offset: 5})
	}

	i.Equal(c["targets badValue"], 1)
	s.Change(watcher.Record{Key: "a", Value: []byte("bad"), Offset: 9})
	i.Equal(c["targets badValue"], 2)
	i.Equal(len(h.AllEntries()), 2)
}

// Guards against a full disk, late log lines and unbounded memory: another program wrote a thousand
// invalid entries a second, and each was logged and remembered for ever.
func TestContinuousInvalidWrites(t *testing.T) {
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
		"valid records between": {func(int) string { return "a" }, func(n int) string {
			return []string{"bad", "g"}[n%2]
		}},
		"deletions between": {func(n int) string { return strconv.Itoa(n / 2) }, func(n int) string {
			return []string{"bad", ""}[n%2]
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				h := collector.New(t)
				_, s, c := newTestState(t, "b")
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

				logged, suppressed := 0, 0

				for _, e := range h.AllEntries() {
					switch e.Data["event"] {
					case "targetRefused":
						logged++
					case "refusalsUnsaid":
						suppressed += e.Data["records"].(int)
					}
				}

				i.True(len(h.AllEntries()) <= lineBurst+2*seconds)
				i.Equal(logged+suppressed, bad)
				i.Equal(c["targets badValue"], bad)
				i.True(len(s.records.keys) <= maxUnapplied+1)
			})
		})
	}
}

// Guards against memory that grows until the process is killed: targets come and go in full lists
// only, and each was remembered for ever.
func TestDepartedTargetsAreForgotten(t *testing.T) {
	i := is.New(t)
	_, s, _ := newTestState(t)

	const each = 1000

	for n := range int64(20) {
		var l []watcher.Record
		for k := n * each; k < (n+1)*each; k++ {
			l = append(l, watcher.Record{Key: strconv.FormatInt(k, 10), Value: []byte("g"), Offset: k + 1})
		}

		i.NoErr(s.Reset(l, watcher.Position{Offset: (n+1)*each + 1}))
	}

	i.True(len(s.records.keys) <= maxUnapplied+each)
}

// Guards against calls to a target that left, or none to one that joined: the platform returns a
// full list from an older state with an end that is not older. The list is rejected, and the
// known targets remain.
func TestStaleListIsRejected(t *testing.T) {
	for name, x := range map[string]struct {
		list []watcher.Record
		end  int64
		old  bool
		want []string
	}{
		"older entry of a target":     {[]watcher.Record{{Key: "a", Value: []byte("-g"), Offset: 1}, {Key: "b", Value: []byte("g"), Offset: 2}}, 9, true, []string{"a", "b", "c"}},
		"target that left":            {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}, {Key: "d", Value: []byte("g"), Offset: 4}}, 9, true, []string{"a", "b", "c"}},
		"invalid entry as valid":      {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}, {Key: "e", Value: []byte("g"), Offset: 3}}, 9, true, []string{"a", "b", "c"}},
		"end before a joined target":  {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}}, 8, true, []string{"a", "b", "c"}},
		"same state":                  {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "b", Value: []byte("g"), Offset: 2}, {Key: "c", Value: []byte("g"), Offset: 8}}, 9, false, []string{"a", "b", "c"}},
		"newer state":                 {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "d", Value: []byte("g"), Offset: 11}}, 12, false, []string{"a", "d"}},
		"duplicate key, newest first": {[]watcher.Record{{Key: "a", Value: []byte("g"), Offset: 5}, {Key: "a", Value: []byte("-g"), Offset: 1}}, 12, false, []string{"a"}},
		"duplicate key, newest last":  {[]watcher.Record{{Key: "a", Value: []byte("-g"), Offset: 1}, {Key: "a", Value: []byte("g"), Offset: 5}}, 12, false, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f, s, _ := newTestState(t, "a", "b")

			for n, r := range []watcher.Record{
				{Key: "e", Value: []byte("g")}, {Key: "d", Value: []byte("g")}, {Key: "a", Value: []byte("g")},
				{Key: "d"}, {Key: "e", Value: []byte("bad")}, {Key: "c", Value: []byte("g")},
			} {
				r.Offset = int64(n + 3)
				s.Change(r)
			}

			s.Read(0)
			i.Equal(keys(f), []string{"a", "b", "c"})

			i.Equal(s.Reset(x.list, watcher.Position{Offset: x.end}) != nil, x.old)
			s.Read(0)
			i.Equal(keys(f), x.want)
			i.Equal(len(f.Registry().Groups["g"]), len(x.want))
		})
	}
}

// Guards against a line for each of ten thousand targets when their list is read, when many are removed and when many
// lapse: the lines occupied the processor of instances that start, and others were dropped for them.
func TestChangesOfManyTargetsAreFewLines(t *testing.T) {
	const targets = 10_000

	i := is.New(t)
	f, s, _ := newTestState(t)
	h := collector.New(t)

	for n := range targets {
		s.Change(watcher.Record{Key: "t" + strconv.Itoa(n), Value: []byte("g"), Offset: int64(n + 1)})
	}

	s.Read(0)
	i.Equal(len(f.Registry().Known), targets)
	i.Equal(len(h.AllEntries()), maxTargetLines+1)
	i.Equal(h.LastEntry().Data, logrus.Fields{"event": "targetsUnsaid", "targetListed": targets - maxTargetLines})

	// The next read is logged by name again.
	h.Reset()
	s.Change(watcher.Record{Key: "late", Value: []byte("g"), Offset: targets + 1})
	s.Read(0)
	i.Equal(len(h.AllEntries()), 1)

	h.Reset()

	for n := range targets {
		s.Change(watcher.Record{Key: "t" + strconv.Itoa(n), Offset: int64(targets + 2 + n)})
	}

	s.Read(0)
	i.Equal(len(h.AllEntries()), maxTargetLines+1)
	i.Equal(h.LastEntry().Data, logrus.Fields{"event": "targetsUnsaid", "targetRemoved": targets - maxTargetLines})
}
