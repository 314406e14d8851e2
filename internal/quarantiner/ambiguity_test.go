package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

// Guards against innocent calls that are quarantined because several calls crash targets at once: the innocent ones are sent
// again to targets where the next of the others runs.
func TestCallsAmongSeveralCauses(t *testing.T) {
	// Calls a, b and c crash targets. Each of the processes 1 to 3 runs the call under test and one of them.
	const a, b, c = digester.Digest(11), digester.Digest(12), digester.Digest(13)

	for name, x := range map[string]struct {
		// crashed are the processes that crash while running each other call, and served those of the calls that are served
		// at the end.
		crashed map[digester.Digest][]discoverer.Name
		served  []digester.Digest
		// crashes is the number of crashes of the call under test, and want its status.
		crashes int
		want    quarantiner.Status
	}{
		"three crashes, each with another cause": {
			crashed: map[digester.Digest][]discoverer.Name{a: {1, 21}, b: {2, 22}, c: {3, 23}}, crashes: 3, want: quarantiner.Suspected,
		},
		"and a fourth": {
			crashed: map[digester.Digest][]discoverer.Name{a: {1, 21}, b: {2, 22}, c: {3, 23, 4}}, crashes: 4, want: quarantiner.Quarantined,
		},
		"one crash without another cause": {
			crashed: map[digester.Digest][]discoverer.Name{a: {1, 21}, b: {2, 22}}, crashes: 3, want: quarantiner.Quarantined,
		},
		"one crash with a call that saw no other": {
			crashed: map[digester.Digest][]discoverer.Name{a: {1, 21}, b: {2, 22}, c: {3}}, crashes: 3, want: quarantiner.Quarantined,
		},
		"another cause was served since": {
			crashed: map[digester.Digest][]discoverer.Name{a: {1, 21}, b: {2, 22}, c: {3, 23}}, served: []digester.Digest{c}, crashes: 3, want: quarantiner.Quarantined,
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s := quarantiner.DefaultSettings()
			// The instances q and r see the crashes of different calls, and exchange their records in both directions.
			q, r := quarantiner.New(s), quarantiner.New(s)

			for d, l := range x.crashed {
				for n, p := range l {
					q.RecordCrash(start().Add(time.Duration(n)*time.Millisecond), d, p)
				}
			}

			for n := range x.crashes {
				r.RecordCrash(start().Add(time.Duration(n)*time.Millisecond), call, discoverer.Name(n+1))
			}

			for _, d := range x.served {
				q.RecordServed(d)
			}

			known := q.RecordsOf([]digester.Digest{a, b, c})
			q.Merge(start(), r.RecordsOf([]digester.Digest{call}))
			r.Merge(start(), known)

			for _, o := range []*quarantiner.Quarantiner{q, r} {
				v := o.Peek(start().Add(time.Second), call)
				i.Equal(v.Status, x.want)
				i.Equal(v.Crashes, x.crashes)
			}
		})
	}
}

// Guards against a long wait for the first trial of a call that was quarantined one crash later, and against decisions that
// depend on records that were dropped.
func TestAmbiguousCallIsTriedSoon(t *testing.T) {
	i := is.New(t)
	s := quarantiner.DefaultSettings()
	q := quarantiner.New(s)

	for n := range 4 {
		p := discoverer.Name(n + 1)
		q.RecordCrash(start(), digester.Digest(100+n), p)
		q.RecordCrash(start(), digester.Digest(100+n), p+50)
		q.RecordCrash(start(), call, p)
	}

	v := q.Peek(start(), call)
	i.Equal(v.Status, quarantiner.Quarantined)
	i.Equal(v.TrialIn, s.TrialDelays[0])

	// The other calls are forgotten; the one that still arrives is not.
	now := start().Add(s.Retention)
	q.Check(now.Add(-time.Minute), call)
	q.Expire(now)
	i.Equal(q.Peek(now, call).Status, quarantiner.Quarantined)
}
