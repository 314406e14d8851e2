package binder_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/wire"
)

func newPlayOf(t *testing.T, size int) *play {
	t.Helper()
	logrus.SetLevel(logrus.FatalLevel)

	return &play{fleet: newFleet(t, size), random: rand.New(rand.NewPCG(1, 1))}
}

// listElsewhere replaces the versions of the targets as all instances but one see them.
func (p *play) listElsewhere(n int, versions ...string) {
	p.listed = versions

	for i, b := range p.instances {
		if i != n {
			b.Observe(registry(versions...))
		}
	}
}

// resumeElsewhere has callers resume all streams at other instances than one.
func (p *play) resumeElsewhere(n int) {
	for _, s := range p.streams {
		i := (n + 1 + p.random.IntN(len(p.instances)-1)) % len(p.instances)

		switch v, ok := p.instances[i].Find(p.context, "g", s.id); {
		case ok && v != s.version:
			p.wrong.Add(1)
		case ok:
			p.found.Add(1)
		}
	}
}

// Guards against streams that are refused, though targets of their version serve, as their instance stands still or is lost while one
// version serves, and a second one appears before, when or after that.
func TestStreamsOfInstanceLostWithOneVersion(t *testing.T) {
	const (
		streams = 40
		// minFound is the part of the streams that go on, where all new ones begin. The users' bound is half.
		minFound = 0.95
	)

	for name, x := range map[string]struct {
		// after is the time from the loss to the appearance of the second version.
		after time.Duration
		kill  bool
		// many also plays it with 80 and 380 instances.
		many bool
	}{
		"stands still as it appears":     {},
		"stands still 0.3 s before":      {after: 300 * time.Millisecond},
		"stands still 1.2 s before":      {after: 1200 * time.Millisecond, many: true},
		"stands still 2.4 s before":      {after: 2400 * time.Millisecond},
		"stands still 7 s before":        {after: 7 * time.Second},
		"killed as it appears":           {kill: true, many: true},
		"killed 0.3 s before":            {kill: true, after: 300 * time.Millisecond},
		"killed, noticed as it appears":  {kill: true, after: deathTime},
		"killed, noticed by many before": {kill: true, after: deathTime + time.Second},
	} {
		sizes := []int{smallFleet}
		if x.many {
			sizes = append(sizes, 80, 380)
		}

		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s of %d", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					p := newPlayOf(t, size)
					p.list("v1")
					time.Sleep(time.Minute)

					// A recorder is lost, and another instance.
					for _, n := range []int{p.firstRecorder(), (p.firstRecorder() + 1) % size} {
						p.streams = nil

						for range streams {
							p.begin(n)
							time.Sleep(30 * time.Millisecond)
						}

						time.Sleep(firstEvent)

						if x.kill {
							p.stop(n)
						} else {
							p.change(func() { p.stopped[n] = true })
						}

						time.Sleep(x.after)
						p.listElsewhere(n, "v1", "v2")
						time.Sleep(firstEvent)
						p.resumeElsewhere(n)

						if x.kill {
							p.start(n)
						} else {
							p.change(func() { p.stopped[n] = false })
						}

						p.listElsewhere(-1, "v1", "v2")
						p.resumeElsewhere(n)

						// Its streams go on at their version here too.
						for _, s := range p.streams {
							v, ok := p.instances[n].Find(p.context, "g", s.id)
							is.True(!ok || v == s.version)
						}

						p.list("v1")
						time.Sleep(150 * time.Second) // The second version counts as gone.
					}

					t.Logf("%d of %d found, %d wrong", p.found.Load(), 4*streams, p.wrong.Load())
					is.Equal(p.wrong.Load(), int64(0))
					is.True(float64(p.found.Load()) >= minFound*4*streams)
				})
			})
		}
	}
}

// Guards against a stream of two versions: it was begun again at another version while an instance stood still, and that one has handled only the
// note on the first attempt when the caller takes it up there.
func TestStreamBegunAgainBeforeInstanceWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var stalled atomic.Bool

		f := newFleet(t, 1)
		f.settings.Stalled = stalled.Load
		f.start(0)
		f.observe("v1")
		time.Sleep(time.Minute)
		stalled.Store(true)

		b := f.instances[0]
		handle := func(version string, attempt uint32) {
			m, err := (&wire.StreamVersions{Streams: []wire.StreamVersion{{Stream: 1, Version: uint64(discoverer.VersionOf(version)), Attempt: attempt}}}).MarshalMsg(nil)
			is.NoErr(err)
			_, err = b.HandleVersions(t.Context(), 2, m)
			is.NoErr(err)
		}

		handle("v1", 1)
		time.AfterFunc(50*time.Millisecond, func() { handle("v2", 2) })
		time.AfterFunc(300*time.Millisecond, func() { stalled.Store(false) })

		v, ok := b.Find(t.Context(), "g", 1)
		is.True(ok)
		is.Equal(v, discoverer.VersionOf("v2"))

		// Callers do not wait for long for one that does not catch up.
		stalled.Store(true)

		n := time.Now()
		_, ok = b.Find(t.Context(), "g", 1)
		is.True(ok)
		is.True(time.Since(n) < time.Second)
	})
}

// Guards against notes on streams of one version that take more than a small part of what instances may send each other, or that are
// written to the log.
func TestCostOfStreamsWithOneVersion(t *testing.T) {
	const (
		serveFor = 10 * time.Second
		// maxBytes is a quarter of what all messages of an instance may take, in bytes a second.
		maxBytes = 9000 / 4
	)

	for _, size := range []int{smallFleet, 380, 986} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPlayOf(t, size)
				p.list("v1")
				time.Sleep(40 * time.Second)

				_, writes := p.log.counts()
				p.messages.Store(0)
				p.bytes.Store(0)
				p.serve(serveFor)
				time.Sleep(time.Second)

				rate := float64(len(p.streams)) / serveFor.Seconds() / float64(size)
				bytes := float64(p.bytes.Load()) / serveFor.Seconds() / float64(size) * streamsPerSecond / rate
				notes := 0

				for _, b := range p.instances {
					notes = max(notes, b.Len())
				}

				t.Logf("%.1f messages a stream, %.0f bytes a second an instance at %d streams a second, at most %d notes at one", float64(p.messages.Load())/float64(len(p.streams)), bytes, streamsPerSecond, notes)
				is.True(p.messages.Load() <= 2*int64(len(p.streams)))
				is.True(bytes <= maxBytes)

				_, w := p.log.counts()
				is.Equal(w, writes)

				v, ok := p.instances[0].Find(t.Context(), "g", p.streams[0].id)
				is.True(ok)
				is.Equal(v, discoverer.VersionOf("v1"))
			})
		})
	}
}

// Guards against an instance that is told of streams while one version serves, and writes them only as it hears of them again: the
// instance that began them is gone when the second version appears, and all are killed then.
func TestStreamsOfLostInstanceAreWrittenForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 40

		is := is.New(t)
		p := newPlay(t)
		p.list("v1")
		time.Sleep(time.Minute)

		n := (p.firstRecorder() + 1) % smallFleet

		for range streams {
			p.begin(n)
			time.Sleep(5 * time.Millisecond)
		}

		time.Sleep(firstEvent)
		p.stop(n)
		p.listElsewhere(n, "v1", "v2")
		time.Sleep(time.Second)
		p.kill("v1", "v2")
		p.resume()

		t.Logf("%d of %d found, %d wrong", p.found.Load(), p.owed.Load(), p.wrong.Load())
		is.Equal(p.wrong.Load(), int64(0))
		is.Equal(p.owed.Load(), int64(streams))
		is.True(2*p.found.Load() >= p.owed.Load())
	})
}

// told returns the number of recorders that an instance tells of a stream.
func (f *fleet) told(n int, s pinner.Stream) int64 {
	_, told := pinner.NewRecorders(f.members[n], f.members).Of(s)

	return int64(told)
}
