package binder_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/pinner"
)

const smallFleet = 6

// newPlay returns a play of six instances.
func newPlay(t *testing.T) *play {
	t.Helper()

	return newPlayOf(t, smallFleet)
}

// recorders returns the recorders as all instances see them.
func (p *play) recorders() string {
	o := ""

	for n := range p.members {
		if pinner.NewRecorders(p.members[n], p.members).Recording() {
			o += fmt.Sprint(n, " ")
		}
	}

	return o
}

// join has a further instance start.
func (p *play) join() {
	n := len(p.members)

	p.mu.Lock()
	p.members = append(p.members, gossiper.Member{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), DataCentre: fmt.Sprint(n % centreCount),
	})
	p.instances, p.fresh, p.ends = append(p.instances, nil), append(p.fresh, true), append(p.ends, func() {})
	p.mu.Unlock()

	p.start(n)
	p.instances[n].Observe(registry(p.listed...))
}

// Guards against versions in use that a recorder deletes as another instance takes its place.
func TestReplacedRecorderLeavesVersionsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlay(t)
		p.list("v1", "v2")
		p.serve(serveTime)

		b := p.recorders()
		for p.recorders() == b {
			p.join()
		}

		p.serve(serveTime)
		p.kill("v2")
		p.resume()

		is.Equal(p.wrong.Load(), int64(0))
		is.True(p.owed.Load() > 0)
	})
}

// Guards against streams whose recorders were all killed before them, as nobody had noticed yet: nobody would write their notes.
func TestStreamsBegunAfterTheirRecordersWereKilled(t *testing.T) {
	// minFound is the part of the streams that go on, as after one kill of all.
	const minFound = 0.95

	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlay(t)
		p.change(func() { p.refusing = true })
		p.list("v1", "v2")
		p.serve(serveTime)

		var alive []int

		for n := range p.members {
			if pinner.NewRecorders(p.members[n], p.members).Recording() {
				p.stop(n)
			} else {
				alive = append(alive, n)
			}
		}

		p.streams = nil

		for range 200 {
			p.begin(alive[p.random.IntN(len(alive))])
			time.Sleep(10 * time.Millisecond)
		}

		p.kill("v1", "v2")
		p.resume()

		is.Equal(p.wrong.Load(), int64(0))
		is.True(float64(p.found.Load()) >= minFound*float64(p.owed.Load()))
	})
}

// Guards against streams that are refused, and messages, on a day with one version, for the versions of a release long ago whose
// instances were all killed in it.
func TestVersionsInUseLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlay(t)
		p.list("v1", "v2")
		p.serve(serveTime)
		p.list("v2")
		p.kill("v2")

		p.streams = nil

		time.Sleep(2 * time.Hour)
		p.serve(serveTime)
		p.kill("v2")
		p.resume()

		_, writes := p.log.counts()
		p.serve(serveTime)
		_, w := p.log.counts()

		is.Equal(w, writes)
		is.True(p.owed.Load() > 0)
		is.Equal(p.found.Load(), p.owed.Load())
	})
}

// Guards against notes without bound while the log is away for long.
func TestNotesOfEndedStreamsAreDropped(t *testing.T) {
	const (
		streams = 20000
		// maxBytes is what the notes of the last 20 s take at most, of which both recorders write all.
		maxBytes = 50000
	)

	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlay(t)
		p.list("v1", "v2")
		p.log.set(true, logDelay)

		for n := range streams {
			p.begin(n % smallFleet)
			time.Sleep(time.Second / streamsPerSecond / smallFleet)
		}

		p.log.set(false, logDelay)
		time.Sleep(10 * time.Second)

		bytes := 0
		for _, r := range p.log.copy() {
			bytes += len(r.Value)
		}

		is.True(bytes > 0)
		is.True(bytes <= maxBytes)
	})
}

// Guards against streams that go on at another version after all targets of the only version were replaced while all instances
// were gone: nobody has written that version down.
func TestVersionReplacedWhileAllAreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlay(t)
		p.list("v1")
		time.Sleep(time.Minute)
		p.serve(serveTime)
		p.kill("v2")
		p.resume()

		is.Equal(p.wrong.Load(), int64(0))
	})
}

// Guards against streams that go on at another version, or nowhere, after a loss of all instances while one version alone served: each
// play lists and serves versions, and loses all instances.
func TestOneVersionAroundLossOfAll(t *testing.T) {
	const (
		// minFound is the part of the streams that go on if a target of their version serves. The users' bound is half.
		minFound = 0.95
		// youngTime is how long a fleet has served at its first loss that has nothing recorded yet, and knownTime one that has.
		youngTime = 5 * time.Second
		knownTime = 40 * time.Second
	)

	for name, x := range map[string]struct {
		run func(p *play)
		// owed reports that there are streams that must go on.
		owed bool
		// unknown permits that streams do not go on: the log does not have their notes.
		unknown bool
	}{
		"nothing is replaced":          {owed: true, run: func(p *play) { p.kill("v1") }},
		"replaced while all are away":  {run: func(p *play) { p.kill("v2") }},
		"replaced by two":              {run: func(p *play) { p.kill("v2", "v3") }},
		"replaced, killed again":       {owed: true, run: func(p *play) { p.kill("v2"); p.again(time.Second); p.kill("v2") }},
		"replaced, killed twice again": {owed: true, run: func(p *play) { p.kill("v2"); p.kill("v2"); p.again(time.Second); p.kill("v2") }},
		"replaced, later all are killed": {owed: true, run: func(p *play) {
			p.kill("v2")
			time.Sleep(5 * time.Minute)
			p.again(serveTime)
			p.kill("v2")
		}},
		"replaced and back again": {run: func(p *play) { p.kill("v2"); p.again(serveTime); p.kill("v1") }},
		"replaced, one of them is killed at once": {owed: true, run: func(p *play) {
			p.kill("v2")
			p.again(time.Second)
			p.killSome(1, "v2")
		}},
		"replaced during a rest of a day": {owed: true, run: func(p *play) {
			for n := range p.instances {
				p.stop(n)
			}

			time.Sleep(24 * time.Hour)
			p.kill("v2")
			p.again(time.Second)
			p.kill("v2")
		}},
		"the log refuses all since before the second version": {unknown: true, run: func(p *play) {
			p.log.set(true, logDelay)
			p.list("v1", "v2")
			p.again(serveTime)
			p.log.set(false, logDelay)
			p.kill("v2")
		}},
		"the log is back from before the second version": {unknown: true, run: func(p *play) {
			c := p.log.copy()
			p.list("v1", "v2")
			p.again(serveTime)
			p.log.restore(c)
			p.kill("v2")
		}},
		"replaced, the log is away at the start": {run: func(p *play) {
			p.log.set(true, logDelay)
			p.kill("v2")
		}},
	} {
		for _, d := range []time.Duration{youngTime, knownTime} {
			t.Run(fmt.Sprintf("%s, after %s", name, d), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					p := newPlay(t)
					p.list("v1")
					time.Sleep(d)
					p.serve(serveTime)
					x.run(p)
					p.resume()

					t.Logf("%d of %d found, %d wrong", p.found.Load(), p.owed.Load(), p.wrong.Load())
					is.Equal(p.wrong.Load(), int64(0))
					is.Equal(p.owed.Load() > 0, x.owed || x.unknown)
					is.True(x.unknown || float64(p.found.Load()) >= minFound*float64(p.owed.Load()))
				})
			})
		}
	}
}

// again forgets the streams so far and has new ones begin.
func (p *play) again(d time.Duration) {
	p.streams = nil
	p.serve(d)
}

// Guards against a start of many instances at once that all read and write the versions in use, and against messages in a fleet that
// knows them.
func TestStartOfAllWithOneVersion(t *testing.T) {
	const (
		// firstTime is long enough for the first start, at which nothing is recorded, and startTime for a later one.
		firstTime = 35 * time.Second
		startTime = 10 * time.Second
	)

	logrus.SetLevel(logrus.FatalLevel)

	for _, size := range []int{smallFleet, 380, 986} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, size)
				recorders := pinner.NewRecorders(f.members[0], f.members).Count()

				f.observe("v1")
				time.Sleep(firstTime)

				reads, writes := f.log.counts()
				t.Logf("first start: %d reads, %d writes, %.1f messages an instance", reads, writes, float64(f.messages.Load())/float64(size))
				is.Equal(writes, 1)
				is.True(reads <= recorders+2) // The first writer looks before it writes, and the second whether the first has.

				for n := range size {
					f.start(n)
				}

				f.observe("v1")
				time.Sleep(startTime)

				r, w := f.log.counts()
				t.Logf("second start: %d reads, %d writes", r-reads, w-writes)
				is.Equal(w, writes)
				is.True(r-reads <= recorders+2)

				f.messages.Store(0)
				f.instances[0].Bind("g", pinner.Note{Stream: 1, Version: discoverer.VersionOf("v1"), Attempt: 1})
				time.Sleep(startTime)
				is.Equal(f.messages.Load(), f.told(0, 1))

				_, n := f.log.counts()
				is.Equal(n, w) // The stream is not written.
			})
		})
	}
}

// Guards against a stream whose second attempt, at another version, was not written yet when all instances were killed.
func TestRetryIsWrittenSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlay(t)
		p.list("v1", "v2")
		p.serve(serveTime)

		p.streams = nil

		for n := range 20 {
			s := begun{pinner.Stream(p.random.Uint64()), discoverer.VersionOf("v2"), time.Now()}
			p.streams = append(p.streams, s)
			b := p.instance(n % smallFleet)

			b.Bind("g", pinner.Note{Stream: s.id, Version: discoverer.VersionOf("v1"), Attempt: 1})
			time.Sleep(300 * time.Millisecond) // The first attempt is written.
			b.Bind("g", pinner.Note{Stream: s.id, Version: s.version, Attempt: 2})
			time.Sleep(firstEvent)
		}

		p.kill("v1", "v2")
		p.resume()

		is.Equal(p.wrong.Load(), int64(0))
	})
}

// Guards against streams that are refused, though targets of their version serve: they began at an instance that was lost while one version
// served, and a second one has appeared since.
func TestStreamsBegunAndLostBeforeSecondVersion(t *testing.T) {
	// minFound is the part of the streams that go on if a target of their version serves. The users' bound is half.
	const minFound = 0.95

	for name, run := range map[string]func(p *play){
		"one instance is killed before it appears": func(p *play) {
			p.stop(1)
			time.Sleep(awayTime)
			p.start(1)
			p.list("v1", "v2")
		},
		"it appears while all are away": func(p *play) { p.kill("v1", "v2") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPlay(t)
				p.list("v1")
				time.Sleep(time.Minute)

				for range 40 {
					p.begin(1)
					time.Sleep(30 * time.Millisecond)
				}

				time.Sleep(firstEvent)
				run(p)
				p.resume()

				t.Logf("%d of %d found, %d wrong", p.found.Load(), p.owed.Load(), p.wrong.Load())
				is.Equal(p.wrong.Load(), int64(0))
				is.True(float64(p.found.Load()) >= minFound*float64(p.owed.Load()))
			})
		})
	}
}
