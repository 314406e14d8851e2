package repeater_test

import (
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// restore makes the platform come back from a copy that has the first n records, in a new era.
func (p *platform) restore(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.records = slices.Clone(p.records[:n])
	p.era++

	close(p.changed)
	p.changed = make(chan struct{})
}

// end returns the number of records.
func (p *platform) end() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.records)
}

func repeatCentre(n int, centres ...string) []string {
	var o []string
	for i := range n {
		o = append(o, centres[i%len(centres)])
	}

	return o
}

// Guards against changes that are skipped after the platform has come back from a copy: instances read through each
// other, and some of them know the new era before others, or not at all for a while.
func TestChangesOfNewEraReachAllInstances(t *testing.T) {
	all := repeatCentre(6, "a", "b")

	for name, x := range map[string]struct {
		centres []string
		// before is called ahead of the new era, after when it has begun and three records were written in it.
		before, after func(f *fleet)
		// old is the number of records that the copy lacks, eras the number of new eras.
		old, eras int
	}{
		"no fault":                    {all, nil, nil, 8, 1},
		"grown past the old end":      {all, nil, nil, 2, 1},
		"exactly to the old end":      {all, nil, nil, 3, 1},
		"two eras":                    {all, nil, nil, 8, 2},
		"the region's reader is late": {all, func(f *fleet) { f.set(f.platform.silent, true, 0) }, func(f *fleet) { f.set(f.platform.silent, false, 0) }, 8, 1},
		"the region's reader does not reach the platform": {all, func(f *fleet) { f.set(f.platform.silent, true, 0) }, nil, 8, 1},
		"a reader is late":          {all, func(f *fleet) { f.set(f.platform.silent, true, 1) }, func(f *fleet) { f.set(f.platform.silent, false, 1) }, 8, 1},
		"the platform refuses some": {all, func(f *fleet) { f.set(f.platform.refused, true, 0, 1, 2) }, nil, 8, 1},
		"one was partitioned": {
			all, func(f *fleet) { f.set(f.partitioned, true, 5); f.set(f.platform.silent, true, 5) },
			func(f *fleet) { f.set(f.partitioned, false, 5); f.set(f.platform.silent, false, 5) }, 8, 1,
		},
		"only one reaches the platform": {all, func(f *fleet) { f.set(f.platform.refused, true, 0, 1, 2, 3, 4) }, nil, 8, 1},
		"hundreds":                      {repeatCentre(295, "a", "b", "c", "d", "e", "f"), nil, nil, 8, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f, stop := start(t, x.centres...)

				f.platform.put("deleted", "1")
				f.platform.put("kept", "1")

				for range x.eras {
					n := f.platform.end()
					for k := range x.old {
						f.platform.put("k", "lost "+strconv.Itoa(k))
					}

					time.Sleep(2 * time.Second)

					if x.before != nil {
						x.before(f)
						time.Sleep(time.Second)
					}

					f.platform.restore(n)
				}

				f.platform.put("k", "rewritten")
				f.platform.put("deleted", "")
				f.platform.put("new", "1")
				time.Sleep(time.Second)

				if x.after != nil {
					x.after(f)
				}

				time.Sleep(2 * time.Second)

				for _, j := range f.instances {
					i.Equal(j.handler.get("k"), "rewritten")
					i.Equal(j.handler.get("deleted"), "")
					i.Equal(j.handler.get("kept"), "1")
					i.Equal(j.handler.get("new"), "1")
				}

				stop()
			})
		})
	}
}

// Guards against all instances that read the list of all keys from the platform as a new era begins, each of which is
// billed: they receive it from those through which they read.
func TestFewInstancesReadTheListOfNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f, stop := start(t, repeatCentre(295, "a", "b", "c", "d", "e", "f")...)

		for range 5 {
			f.platform.put("k", "lost")
		}

		time.Sleep(3 * time.Second)

		n := f.platform.allReads()

		time.Sleep(3 * time.Second)

		calm := f.platform.allReads() - n

		f.platform.restore(1)
		time.Sleep(3 * time.Second)

		// The readers of the six data centres may each read the list, and once more meanwhile.
		i.True(f.platform.allReads()-n-calm <= calm+12)

		stop()
	})
}

func (p *platform) allReads() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	n := 0
	for _, x := range p.reads {
		n += x
	}

	return n
}

// Guards against replies that mix eras: a requester of an earlier era gets all records, and one of a later era none.
func TestRepliesAreOfOneEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := start(t, "a")
		i := f.instances[0]

		f.platform.put("a", "1")
		time.Sleep(time.Second)
		f.platform.restore(1)
		time.Sleep(time.Second)
		f.platform.put("b", "1")
		f.platform.put("c", "1")
		time.Sleep(time.Second)

		for name, x := range map[string]struct {
			from     watcher.Position
			snapshot bool
			keys     int
		}{
			"first read":            {watcher.Unread(), true, 3},
			"earlier era":           {watcher.Position{Offset: 3}, true, 3},
			"earlier era, far":      {watcher.Position{Offset: 30}, true, 3},
			"same era":              {watcher.Position{Era: 1, Offset: 2}, false, 1},
			"same era, at its end":  {watcher.Position{Era: 1, Offset: 3}, false, 0},
			"later era":             {watcher.Position{Era: 2, Offset: 1}, false, 0},
			"later era, same start": {watcher.Position{Era: 2}, false, 0},
		} {
			b, err := (&wire.StreamRequest{Stream: "s", From: x.from.Offset, Era: x.from.Era}).MarshalMsg(nil)
			is.NoErr(err)

			m, err := i.repeater.Answer(t.Context(), 0, b)
			is.NoErr(err)

			p, ok := m.(*wire.StreamReply)
			is.True(ok)

			if p.Era != 1 || p.Snapshot != x.snapshot || len(p.Records) != x.keys {
				t.Errorf("%s: got era %d, snapshot %v, %d records", name, p.Era, p.Snapshot, len(p.Records))
			}
		}

		stop()
	})
}

// Guards against a compressed value or bundle of an earlier era that is sent for the record which has its offset now.
func TestCompressedRecordsAreOfTheirEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f, stop := start(t, "a", "a", "a")

		long := func(x string) string {
			var b []byte
			for n := range 4000 {
				b = append(b, x...)
				b = strconv.AppendInt(b, int64(n), 10)
			}

			return string(b)
		}

		f.platform.put("k", long("lost"))
		time.Sleep(time.Second)

		for _, x := range []string{"lost", "new"} {
			// Records of both eras have the same keys, offsets and ends, and are sent in a bundle.
			for n := range 8 {
				f.platform.put("short "+strconv.Itoa(n), long(x)[:400])
			}

			time.Sleep(2 * time.Second)

			for _, j := range f.instances {
				for n := range 8 {
					i.Equal(j.handler.get("short "+strconv.Itoa(n)), long(x)[:400])
				}

				i.Equal(j.handler.get("k"), long(x))
			}

			f.platform.restore(1)
			f.platform.put("k", long("new"))
			time.Sleep(time.Second)
		}

		stop()
	})
}

// Guards against instances that suspect those of another release of having crashed, since these refuse their reads: the
// membership would change all the time during a rolling update, and each change moves homes.
func TestInstancesOfAnotherReleaseAreNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f, stop := start(t, repeatCentre(6, "a", "b")...)

		f.set(f.otherRelease, true, 0, 3)
		time.Sleep(3 * time.Second)
		f.platform.restore(1)
		f.platform.put("k", "new")
		time.Sleep(2 * time.Second)

		for _, j := range f.instances {
			i.Equal(j.handler.get("k"), "new")
			i.Equal(len(j.suspected), 0)
		}

		stop()
	})
}
