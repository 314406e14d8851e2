package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

// The parts and calls of the tests: bad is in flight at each crash, good beside it.
var (
	bad  = digester.OfPart("bad")
	good = digester.OfPart("good")
)

// event is a crash of a process, or an answer, and the subjects that it concerns.
type event struct {
	crashed  discoverer.Name
	subjects []digester.Digest
}

// crashesWith returns crashes of the given processes, one a second, with the same subjects in flight.
func crashesWith(first, last discoverer.Name, subjects ...digester.Digest) []event {
	var o []event
	for p := first; p <= last; p++ {
		o = append(o, event{p, subjects})
	}

	return o
}

// Guards against parts and calls that are quarantined, or held up as suspected, for crashes that another one explains; and
// against a part that is quarantined in place of a single call that its caller repeats.
func TestWhoExplainsCrashes(t *testing.T) {
	join := func(l ...[]event) (o []event) {
		for _, x := range l {
			o = append(o, x...)
		}

		return o
	}

	for name, x := range map[string]struct {
		events []event
		want   map[digester.Digest]quarantiner.Status
	}{
		"different calls, one part": {
			join(crashesWith(1, 1, 1, bad), crashesWith(2, 2, 2, bad), crashesWith(3, 3, 3, bad)),
			map[digester.Digest]quarantiner.Status{bad: quarantiner.Quarantined, 1: quarantiner.Free, 2: quarantiner.Free},
		},
		"a part beside it, served in between": {
			join(crashesWith(1, 2, bad, good), []event{{subjects: []digester.Digest{good}}}, crashesWith(3, 3, bad, good)),
			map[digester.Digest]quarantiner.Status{bad: quarantiner.Quarantined, good: quarantiner.Free},
		},
		"a part that was served before": {
			join([]event{{subjects: []digester.Digest{good}}}, crashesWith(1, 2, bad, good)),
			map[digester.Digest]quarantiner.Status{bad: quarantiner.Suspected, good: quarantiner.Suspected},
		},
		"one call that is repeated": {
			crashesWith(1, 3, call, good),
			map[digester.Digest]quarantiner.Status{call: quarantiner.Quarantined, good: quarantiner.Suspected},
		},
		"one call that is repeated, and another one with the part": {
			join(crashesWith(1, 3, call, bad), crashesWith(4, 4, call+1, bad)),
			map[digester.Digest]quarantiner.Status{bad: quarantiner.Quarantined, call: quarantiner.Free, call + 1: quarantiner.Free},
		},
		"a bystander, and one crash without the cause": {
			join(crashesWith(1, 2, bad, good), crashesWith(3, 4, bad), crashesWith(5, 5, good)),
			map[digester.Digest]quarantiner.Status{bad: quarantiner.Quarantined, good: quarantiner.Suspected},
		},
		"a popular part, at the crashes of a call and of a part": {
			join(crashesWith(1, 2, call, good), crashesWith(3, 3, call), crashesWith(4, 5, bad, good), crashesWith(6, 6, bad)),
			map[digester.Digest]quarantiner.Status{call: quarantiner.Quarantined, bad: quarantiner.Quarantined, good: quarantiner.Free},
		},
		"a popular part, at all crashes of a call and one of a part": {
			join(crashesWith(1, 3, call, good), crashesWith(4, 4, bad, good), crashesWith(5, 6, bad)),
			map[digester.Digest]quarantiner.Status{call: quarantiner.Quarantined, bad: quarantiner.Quarantined, good: quarantiner.Suspected},
		},
		"two calls at the same crashes": {
			crashesWith(1, 3, call, call+1),
			map[digester.Digest]quarantiner.Status{call: quarantiner.Quarantined, call + 1: quarantiner.Quarantined},
		},
		"the cause is served after all": {
			join(crashesWith(1, 4, bad), crashesWith(5, 6, bad, call), []event{{subjects: []digester.Digest{bad}}}),
			map[digester.Digest]quarantiner.Status{bad: quarantiner.Free, call: quarantiner.Suspected},
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			q := quarantiner.New(quarantiner.DefaultSettings())
			now := start()

			for _, e := range x.events {
				now = now.Add(2 * time.Second)

				for _, d := range e.subjects {
					if e.crashed == 0 {
						q.RecordServed(d)
					} else {
						q.RecordCrash(now, d, e.crashed)
					}
				}
			}

			for d, s := range x.want {
				i.Equal(q.Check(now, d).Status, s) // d
			}

			p := quarantiner.New(quarantiner.DefaultSettings())
			p.Merge(now, q.Records(len(x.want)))

			for d, s := range x.want {
				if s == quarantiner.Quarantined {
					i.Equal(p.Check(now, d).Status, s) // d, by the records of another instance.
				}
			}
		})
	}
}

// Guards against a popular part that is held up at instances which have not served it, as one call at a time in the fleet,
// because the instance that saw its target crash had not served it either.
func TestPartsServedElsewhere(t *testing.T) {
	i := is.New(t)
	a, b := quarantiner.New(quarantiner.DefaultSettings()), quarantiner.New(quarantiner.DefaultSettings())
	now := start()

	b.RecordServed(good)
	a.RecordCrash(now, good, 1)
	i.True(a.Check(now, good).NeedsTrial())

	b.Merge(now, a.RecordsOf([]digester.Digest{good}))
	i.True(b.Vouch(good))
	i.True(!b.Vouch(good)) // Said once.

	a.Merge(now, b.RecordsOf([]digester.Digest{good}))
	i.True(!a.Check(now, good).NeedsTrial())
	i.True(!a.Vouch(good)) // This instance has not served it.
}

// Guards against sound calls that are refused for long because a part of theirs was at the crashes of one or several causes: the first
// trial of a part comes soon, also if one more target crashed before all instances knew. Each failed trial delays the next.
func TestPartsAreTriedSoon(t *testing.T) {
	const second = time.Second

	for name, x := range map[string]struct {
		// at are the times of the crashes of the part, one process each.
		at   []time.Duration
		want time.Duration
	}{
		"three crashes":              {[]time.Duration{0, 0, 0}, 2 * second},
		"one more at once":           {[]time.Duration{0, 0, 0, second / 2}, 2 * second},
		"two more at once":           {[]time.Duration{0, 0, 0, second / 2, second / 2}, time.Minute},
		"a failed trial":             {[]time.Duration{0, 0, 0, 2 * second}, time.Minute},
		"one more, and a failed one": {[]time.Duration{0, 0, 0, second / 2, 3 * second}, time.Minute},
		"two failed trials":          {[]time.Duration{0, 0, 0, 2 * second, 62 * second}, 10 * time.Minute},
		"three failed trials":        {[]time.Duration{0, 0, 0, 2 * second, 62 * second, 662 * second}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			q := quarantiner.New(quarantiner.DefaultSettings())

			for n, d := range x.at {
				q.RecordCrash(start().Add(d), bad, discoverer.Name(n))
				q.RecordCrash(start().Add(d), good, discoverer.Name(n))
			}

			v := q.Peek(start().Add(x.at[len(x.at)-1]), good)
			i.Equal(v.Status, quarantiner.Quarantined)
			i.Equal(v.TrialIn, x.want)
			i.True(!v.TrialDue)
		})
	}
}

// Guards against a part that few calls hold and that is quarantined since targets crash for other reasons: it is in flight at
// three of many crashes by chance.
func TestPartBesideOtherCrashes(t *testing.T) {
	for name, x := range map[string]struct {
		// others are the crashes without the part between any two of its own.
		others int
		// want are the verdicts after each of its crashes.
		want []quarantiner.Status
	}{
		"none":          {0, []quarantiner.Status{quarantiner.Suspected, quarantiner.Suspected, quarantiner.Quarantined}},
		"some":          {3, []quarantiner.Status{quarantiner.Suspected, quarantiner.Suspected, quarantiner.Quarantined}},
		"more than six": {4, []quarantiner.Status{quarantiner.Suspected, quarantiner.Suspected, quarantiner.Suspected, quarantiner.Quarantined}},
		"many":          {600, []quarantiner.Status{quarantiner.Suspected, quarantiner.Suspected, quarantiner.Suspected, quarantiner.Quarantined}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			q := quarantiner.New(quarantiner.DefaultSettings())
			now, process := start(), discoverer.Name(1)

			for _, s := range x.want {
				q.RecordCrash(now, bad, process)
				i.Equal(q.Peek(now, bad).Status, s)

				if s == quarantiner.Quarantined {
					i.Equal(q.Peek(now, bad).TrialIn, 2*time.Second)
				}

				for range x.others {
					process++
					now = now.Add(time.Millisecond)
					q.RecordCrash(now, digester.Digest(process), process)
				}

				process++
				now = now.Add(time.Millisecond)
			}
		})
	}
}

// Guards against customers confined to their shards for crashes that a quarantined part explains.
func TestCauseOf(t *testing.T) {
	i := is.New(t)
	q := quarantiner.New(quarantiner.DefaultSettings())

	for p := range discoverer.Name(3) {
		i.Equal(q.CauseOf(p), digester.Digest(0))
		q.RecordCrash(start(), bad, p)
		q.RecordCrash(start(), call, 10+p)
	}

	for p := range discoverer.Name(3) {
		i.Equal(q.CauseOf(p), bad)
		i.Equal(q.CauseOf(10+p), digester.Digest(0)) // A call says nothing of others.
	}
}
