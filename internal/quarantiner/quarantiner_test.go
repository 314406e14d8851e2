package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

const call = digester.Digest(7)

// start is when a test begins.
func start() time.Time { return time.Unix(1_700_000_000, 0) }

// step is one thing that happens to a call: a process ends under it, or it is served.
type step struct {
	at     time.Duration
	ended  enroller.Name
	served bool
}

// A call that ends each target that runs it must be told from the calls that were in flight
// there by chance: they are served elsewhere, or meet no second end. Calls that look alike
// (the same page, asked for by the same customer) are in flight at every end, and served in
// between.
func TestWhichCallsAreHeldBack(t *testing.T) {
	for name, x := range map[string]struct {
		steps []step
		want  quarantiner.Standing
		ends  int
	}{
		"nothing has ended":                     {nil, quarantiner.Free, 0},
		"one end":                               {[]step{{ended: 1}}, quarantiner.Suspected, 1},
		"two ends":                              {[]step{{ended: 1}, {at: time.Second, ended: 2}}, quarantiner.Suspected, 2},
		"three ends":                            {[]step{{ended: 1}, {at: time.Second, ended: 2}, {at: 2 * time.Second, ended: 3}}, quarantiner.Held, 3},
		"three ends in minutes":                 {[]step{{ended: 1}, {at: 5 * time.Minute, ended: 2}, {at: 10 * time.Minute, ended: 3}}, quarantiner.Held, 3},
		"the same end from three calls":         {[]step{{ended: 1}, {at: time.Second, ended: 1}, {at: 2 * time.Second, ended: 1}}, quarantiner.Suspected, 1},
		"served after one":                      {[]step{{ended: 1}, {at: time.Second, served: true}}, quarantiner.Free, 0},
		"served between the ends":               {[]step{{ended: 1}, {at: time.Second, ended: 2}, {at: 2 * time.Second, served: true}, {at: 3 * time.Second, ended: 3}}, quarantiner.Suspected, 1},
		"served when it is held back":           {[]step{{ended: 1}, {at: time.Second, ended: 2}, {at: 2 * time.Second, ended: 3}, {at: 3 * time.Second, served: true}}, quarantiner.Free, 0},
		"served before the ends":                {[]step{{served: true}, {at: 1, ended: 1}, {at: 2 * time.Second, ended: 2}, {at: 4 * time.Second, ended: 3}}, quarantiner.Held, 3},
		"an end that is known to be excused":    {[]step{{ended: 1}, {at: time.Second, served: true}, {at: 2 * time.Second, ended: 1}}, quarantiner.Free, 0},
		"three at once, never served before":    {[]step{{ended: 1}, {at: time.Millisecond, ended: 2}, {at: 3 * time.Millisecond, ended: 3}}, quarantiner.Held, 3},
		"all targets at once, served before":    {[]step{{served: true}, {at: 1, ended: 1}, {at: time.Millisecond, ended: 2}, {at: 3 * time.Millisecond, ended: 3}, {at: 9 * time.Millisecond, ended: 4}}, quarantiner.Suspected, 1},
		"all at once, and two more":             {[]step{{served: true}, {at: 1, ended: 1}, {at: time.Millisecond, ended: 2}, {at: 2 * time.Second, ended: 3}, {at: 4 * time.Second, ended: 4}}, quarantiner.Held, 3},
		"many excused ends, then three of them": {append(excused(20), step{at: time.Hour, ended: 101}, step{at: time.Hour + time.Second, ended: 102}, step{at: time.Hour + 2*time.Second, ended: 103}), quarantiner.Held, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := quarantiner.New(quarantiner.DefaultSettings())
			now := start()

			for _, s := range x.steps {
				now = start().Add(s.at)
				if s.served {
					q.Served(call)
				} else {
					q.Ended(now, call, s.ended)
				}
			}

			v := q.Come(now, call)
			is.Equal(v.Standing, x.want)
			is.Equal(v.Ends, x.ends)
			is.Equal(q.Come(now, call+1).Standing, quarantiner.Free)
		})
	}
}

// excused are ends under a call that was served after each.
func excused(n int) []step {
	var o []step

	for i := range n {
		at := time.Duration(i) * time.Second
		o = append(o, step{at: at, ended: enroller.Name(i + 1)}, step{at: at + time.Millisecond, served: true})
	}

	return o
}

// Two instances see ends of their own and tell each other, late, twice, and in any order. Both
// come to the same.
func TestInstancesComeToTheSame(t *testing.T) {
	for name, x := range map[string]struct {
		here, there []step
		want        quarantiner.Standing
	}{
		"two ends here, one there":      {[]step{{ended: 1}, {at: time.Second, ended: 2}}, []step{{at: 2 * time.Second, ended: 3}}, quarantiner.Held},
		"the same ends":                 {[]step{{ended: 1}, {at: time.Second, ended: 2}}, []step{{ended: 1}, {at: time.Second, ended: 2}}, quarantiner.Suspected},
		"excused there":                 {[]step{{ended: 1}, {at: time.Second, ended: 2}}, []step{{ended: 1}, {at: time.Second, ended: 2}, {served: true}}, quarantiner.Free},
		"served there, not knowing":     {[]step{{ended: 1}, {at: time.Second, ended: 2}, {at: 2 * time.Second, ended: 3}}, []step{{served: true}}, quarantiner.Held},
		"nothing is known there":        {[]step{{ended: 1}, {at: time.Second, ended: 2}, {at: 2 * time.Second, ended: 3}}, nil, quarantiner.Held},
		"more ends than are remembered": {ends(0, 7), ends(7, 14), quarantiner.Held},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := start().Add(time.Minute)
			a, b := played(x.here), played(x.there)

			for range 2 {
				b.Learn(now, a.Of([]digester.Digest{call}))
				a.Learn(now, b.Of([]digester.Digest{call}))
			}

			is.Equal(a.Come(now, call).Standing, x.want)
			is.Equal(b.Come(now, call).Standing, x.want)
			is.Equal(a.State(), b.State())
		})
	}
}

// ends are those of the processes from one number to another.
func ends(from, to int) []step {
	var o []step
	for i := from; i < to; i++ {
		o = append(o, step{at: time.Duration(i) * time.Second, ended: enroller.Name(i + 1)})
	}

	return o
}

func played(l []step) *quarantiner.Quarantiner {
	q := quarantiner.New(quarantiner.DefaultSettings())

	for _, s := range l {
		if s.served {
			q.Served(call)
		} else {
			q.Ended(start().Add(s.at), call, s.ended)
		}
	}

	return q
}

// Whoever is told that a call is held back learns it once.
func TestHeldBackIsToldOnce(t *testing.T) {
	is := is.New(t)
	a, b := played(ends(0, 3)), quarantiner.New(quarantiner.DefaultSettings())
	now := start().Add(time.Minute)

	l, changed := b.Learn(now, a.Records(10))
	is.Equal(l, []digester.Digest{call})
	is.True(changed)

	l, changed = b.Learn(now, a.Records(10))
	is.Equal(len(l), 0)
	is.True(!changed)
}

// A call that has not come for long is forgotten, and no instance learns it again from
// another that is about to forget it.
func TestCallsAreForgotten(t *testing.T) {
	is := is.New(t)
	s := quarantiner.DefaultSettings()
	q := played(ends(0, 3))
	late := start().Add(2*time.Second + s.Keep)

	l := q.Records(10)
	q.Forget(late)
	is.Equal(q.Come(late, call).Standing, quarantiner.Free)

	h, _ := q.Learn(late, l)
	is.Equal(len(h), 0)
	is.Equal(len(q.Records(10)), 0)

	// While it comes it stays.
	q = played(ends(0, 3))
	q.Come(late.Add(-time.Second), call)
	q.Forget(late)
	is.Equal(q.Come(late, call).Standing, quarantiner.Held)
}

// A caller makes up a new call that ends targets each time. Those that are remembered are
// bounded, and the calls that are held back stay among them.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := quarantiner.DefaultSettings()
	s.Most = 100
	q := quarantiner.New(s)

	for i := range 3 {
		q.Ended(start().Add(time.Duration(i)*time.Second), call, enroller.Name(i))
	}

	for i := range 10_000 {
		q.Ended(start().Add(time.Minute+time.Duration(i)*time.Millisecond), digester.Digest(1000+i), 1)
	}

	n, held := q.Count()
	is.True(n+held <= s.Most)
	is.Equal(held, 1)
	is.Equal(q.Come(start().Add(time.Hour), call).Standing, quarantiner.Held)
	is.Equal(q.Records(1)[0].Call, call) // It is told first.
}

// A model was repaired, or a target's memory enlarged. A call that was held back is good again,
// and must not be refused for ever; one that still ends targets may cost three more at most.
func TestTheWayBack(t *testing.T) {
	for name, x := range map[string]struct {
		ends  int
		after time.Duration
		due   bool
		back  time.Duration
		// wait is what its caller is told.
		wait time.Duration
	}{
		"not yet held back":        {ends: 2, after: time.Hour, wait: 500 * time.Millisecond},
		"just held back":           {ends: 3, back: time.Minute, wait: time.Minute},
		"within the minute":        {ends: 3, after: 40 * time.Second, back: 20 * time.Second, wait: 20 * time.Second},
		"soon due":                 {ends: 3, after: time.Minute - time.Millisecond, back: time.Millisecond, wait: time.Second},
		"after a minute":           {ends: 3, after: time.Minute, due: true, wait: time.Second},
		"one trial failed":         {ends: 4, after: time.Minute, back: 9 * time.Minute, wait: 9 * time.Minute},
		"after ten minutes":        {ends: 4, after: 10 * time.Minute, due: true, wait: time.Second},
		"two trials failed":        {ends: 5, after: 99 * time.Minute, back: time.Minute, wait: time.Minute},
		"after a hundred minutes":  {ends: 5, after: 100 * time.Minute, due: true, wait: time.Second},
		"three trials have failed": {ends: 6, after: 200 * time.Minute, wait: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := played(ends(0, x.ends))
			v := q.Come(start().Add(time.Duration(x.ends-1)*time.Second+x.after), call)
			is.Equal(v.Due, x.due)
			is.Equal(v.Back, x.back)
			is.Equal(v.Wait(), x.wait)
		})
	}
}

// The same call comes at many instances at once, after a first target has ended under it. All
// ask its home, which lets one go and then the next.
func TestOneTrialAtATime(t *testing.T) {
	suspected := quarantiner.Verdict{Standing: quarantiner.Suspected, Ends: 1}
	held := quarantiner.Verdict{Standing: quarantiner.Held, Ends: 3}
	due := quarantiner.Verdict{Standing: quarantiner.Held, Ends: 3, Due: true}

	for name, x := range map[string]struct {
		first quarantiner.Verdict
		over  bool
		after time.Duration
		then  quarantiner.Verdict
		want  []bool
	}{
		"while one is out":         {first: suspected, then: suspected, want: []bool{true, false}},
		"after it is over":         {first: suspected, over: true, then: suspected, want: []bool{true, true}},
		"its end was never told":   {first: suspected, after: 5 * time.Second, then: suspected, want: []bool{true, true}},
		"held back meanwhile":      {first: suspected, over: true, then: held, want: []bool{true, false}},
		"served meanwhile":         {first: suspected, then: quarantiner.Verdict{}, want: []bool{true, true}},
		"held back, and due":       {first: due, then: due, want: []bool{true, false}},
		"held back, and not due":   {first: held, then: held, want: []bool{false, false}},
		"held back, then released": {first: held, then: quarantiner.Verdict{}, want: []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var l quarantiner.Trials

			is.Equal(l.Begin(start(), x.first, call), x.want[0])

			if x.over {
				l.End(call)
			}

			is.Equal(l.Begin(start().Add(x.after), x.then, call), x.want[1])
			is.True(l.Begin(start(), suspected, call+1)) // Another call has trials of its own.
		})
	}
}
