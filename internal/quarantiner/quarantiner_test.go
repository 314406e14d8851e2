package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

const call = digester.Digest(7)

// start returns the time at which a test begins.
func start() time.Time { return time.Unix(1_700_000_000, 0) }

// step is an event of a call: a process crashes while running it, or it is served.
type step struct {
	at      time.Duration
	crashed discoverer.Name
	served  bool
}

// Guards against innocent calls that are quarantined with the one that crashes each target that runs
// it. Calls that were in flight there by chance are served elsewhere, or see no second crash. Calls
// with the same digest (one page, requested by one customer) are in flight at every crash, and are
// served in between.
func TestWhichCallsAreQuarantined(t *testing.T) {
	for name, x := range map[string]struct {
		steps   []step
		want    quarantiner.Status
		crashes int
	}{
		"no crash":                           {nil, quarantiner.Free, 0},
		"one crash":                          {[]step{{crashed: 1}}, quarantiner.Suspected, 1},
		"two crashes":                        {[]step{{crashed: 1}, {at: time.Second, crashed: 2}}, quarantiner.Suspected, 2},
		"three crashes":                      {[]step{{crashed: 1}, {at: time.Second, crashed: 2}, {at: 2 * time.Second, crashed: 3}}, quarantiner.Quarantined, 3},
		"three crashes in minutes":           {[]step{{crashed: 1}, {at: 5 * time.Minute, crashed: 2}, {at: 10 * time.Minute, crashed: 3}}, quarantiner.Quarantined, 3},
		"the same crash three times":         {[]step{{crashed: 1}, {at: time.Second, crashed: 1}, {at: 2 * time.Second, crashed: 1}}, quarantiner.Suspected, 1},
		"served after one crash":             {[]step{{crashed: 1}, {at: time.Second, served: true}}, quarantiner.Free, 0},
		"served between crashes":             {[]step{{crashed: 1}, {at: time.Second, crashed: 2}, {at: 2 * time.Second, served: true}, {at: 3 * time.Second, crashed: 3}}, quarantiner.Suspected, 1},
		"served while quarantined":           {[]step{{crashed: 1}, {at: time.Second, crashed: 2}, {at: 2 * time.Second, crashed: 3}, {at: 3 * time.Second, served: true}}, quarantiner.Free, 0},
		"served before the crashes":          {[]step{{served: true}, {at: 1, crashed: 1}, {at: 2 * time.Second, crashed: 2}, {at: 4 * time.Second, crashed: 3}}, quarantiner.Quarantined, 3},
		"a crash that is already cleared":    {[]step{{crashed: 1}, {at: time.Second, served: true}, {at: 2 * time.Second, crashed: 1}}, quarantiner.Free, 0},
		"three at once, never served before": {[]step{{crashed: 1}, {at: time.Millisecond, crashed: 2}, {at: 3 * time.Millisecond, crashed: 3}}, quarantiner.Quarantined, 3},
		"all targets at once, served before": {[]step{{served: true}, {at: 1, crashed: 1}, {at: time.Millisecond, crashed: 2}, {at: 3 * time.Millisecond, crashed: 3}, {at: 9 * time.Millisecond, crashed: 4}}, quarantiner.Suspected, 1},
		"all targets at once, and two more":  {[]step{{served: true}, {at: 1, crashed: 1}, {at: time.Millisecond, crashed: 2}, {at: 2 * time.Second, crashed: 3}, {at: 4 * time.Second, crashed: 4}}, quarantiner.Quarantined, 3},
		"many cleared crashes, then three":   {append(clearedCrashes(20), step{at: time.Hour, crashed: 101}, step{at: time.Hour + time.Second, crashed: 102}, step{at: time.Hour + 2*time.Second, crashed: 103}), quarantiner.Quarantined, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := quarantiner.New(quarantiner.DefaultSettings())
			now := start()

			for _, s := range x.steps {
				now = start().Add(s.at)
				if s.served {
					q.RecordServed(call)
				} else {
					q.RecordCrash(now, call, s.crashed)
				}
			}

			v := q.Check(now, call)
			is.Equal(v.Status, x.want)
			is.Equal(v.Crashes, x.crashes)
			is.Equal(q.Check(now, call+1).Status, quarantiner.Free)
		})
	}
}

// clearedCrashes returns crashes, each followed by the call being served.
func clearedCrashes(n int) []step {
	var o []step

	for i := range n {
		at := time.Duration(i) * time.Second
		o = append(o, step{at: at, crashed: discoverer.Name(i + 1)}, step{at: at + time.Millisecond, served: true})
	}

	return o
}

// Guards against instances that reach different verdicts after they exchanged the crashes that each
// observed, late, twice and in any order.
func TestInstancesAgreeAfterMerge(t *testing.T) {
	for name, x := range map[string]struct {
		here, there []step
		want        quarantiner.Status
	}{
		"two crashes here, one there":      {[]step{{crashed: 1}, {at: time.Second, crashed: 2}}, []step{{at: 2 * time.Second, crashed: 3}}, quarantiner.Quarantined},
		"the same crashes":                 {[]step{{crashed: 1}, {at: time.Second, crashed: 2}}, []step{{crashed: 1}, {at: time.Second, crashed: 2}}, quarantiner.Suspected},
		"cleared there":                    {[]step{{crashed: 1}, {at: time.Second, crashed: 2}}, []step{{crashed: 1}, {at: time.Second, crashed: 2}, {served: true}}, quarantiner.Free},
		"served there, crashes unknown":    {[]step{{crashed: 1}, {at: time.Second, crashed: 2}, {at: 2 * time.Second, crashed: 3}}, []step{{served: true}}, quarantiner.Quarantined},
		"no record there":                  {[]step{{crashed: 1}, {at: time.Second, crashed: 2}, {at: 2 * time.Second, crashed: 3}}, nil, quarantiner.Quarantined},
		"more crashes than are remembered": {crashesBetween(0, 7), crashesBetween(7, 14), quarantiner.Quarantined},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := start().Add(time.Minute)
			a, b := quarantinerAfter(x.here), quarantinerAfter(x.there)

			for range 2 {
				b.Merge(now, a.RecordsOf([]digester.Digest{call}))
				a.Merge(now, b.RecordsOf([]digester.Digest{call}))
			}

			is.Equal(a.Check(now, call).Status, x.want)
			is.Equal(b.Check(now, call).Status, x.want)
			is.Equal(a.Fingerprint(), b.Fingerprint())
		})
	}
}

// crashesBetween returns the crashes of a range of processes, one per second.
func crashesBetween(from, to int) []step {
	var o []step
	for i := from; i < to; i++ {
		o = append(o, step{at: time.Duration(i) * time.Second, crashed: discoverer.Name(i + 1)})
	}

	return o
}

func quarantinerAfter(l []step) *quarantiner.Quarantiner {
	q := quarantiner.New(quarantiner.DefaultSettings())

	for _, s := range l {
		if s.served {
			q.RecordServed(call)
		} else {
			q.RecordCrash(start().Add(s.at), call, s.crashed)
		}
	}

	return q
}

// Guards against a quarantined call that is reported as new each time its record is merged.
func TestMergeReportsQuarantinedCallOnce(t *testing.T) {
	is := is.New(t)
	a, b := quarantinerAfter(crashesBetween(0, 3)), quarantiner.New(quarantiner.DefaultSettings())
	now := start().Add(time.Minute)

	l, changed := b.Merge(now, a.Records(10))
	is.Equal(l, []digester.Digest{call})
	is.True(changed)

	l, changed = b.Merge(now, a.Records(10))
	is.Equal(len(l), 0)
	is.True(!changed)
}

// Guards against records that never expire because instances send them to each other just before they
// drop them.
func TestRecordsExpire(t *testing.T) {
	is := is.New(t)
	s := quarantiner.DefaultSettings()
	q := quarantinerAfter(crashesBetween(0, 3))
	late := start().Add(2*time.Second + s.Retention)

	l := q.Records(10)
	q.Expire(late)
	is.Equal(q.Check(late, call).Status, quarantiner.Free)

	h, _ := q.Merge(late, l)
	is.Equal(len(h), 0)
	is.Equal(len(q.Records(10)), 0)

	// A call that is still seen remains.
	q = quarantinerAfter(crashesBetween(0, 3))
	q.Check(late.Add(-time.Second), call)
	q.Expire(late)
	is.Equal(q.Check(late, call).Status, quarantiner.Quarantined)
}

// Guards against memory use without bound when a client keeps sending new calls that crash targets.
// The number of records is limited, and the records of quarantined calls are not evicted.
func TestNumberOfRecordsIsLimited(t *testing.T) {
	is := is.New(t)
	s := quarantiner.DefaultSettings()
	s.MaxSubjects = 100
	q := quarantiner.New(s)

	for i := range 3 {
		q.RecordCrash(start().Add(time.Duration(i)*time.Second), call, discoverer.Name(i))
	}

	for i := range 10_000 {
		q.RecordCrash(start().Add(time.Minute+time.Duration(i)*time.Millisecond), digester.Digest(1000+i), 1)
	}

	n, quarantined := q.Count()
	is.True(n+quarantined <= s.MaxSubjects)
	is.Equal(quarantined, 1)
	is.Equal(q.Check(start().Add(time.Hour), call).Status, quarantiner.Quarantined)
	is.Equal(q.Records(1)[0].Subject, call) // Its record is sent first.
}

// Guards against calls that are refused forever after a model was repaired or a target's memory
// enlarged. A call that still crashes targets may crash three more of them at most.
func TestTrialSchedule(t *testing.T) {
	for name, x := range map[string]struct {
		crashes  int
		after    time.Duration
		trialDue bool
		trialIn  time.Duration
		// retryAfter is the time after which the caller should retry.
		retryAfter time.Duration
	}{
		"not yet quarantined":      {crashes: 2, after: time.Hour, retryAfter: 500 * time.Millisecond},
		"just quarantined":         {crashes: 3, trialIn: time.Minute, retryAfter: time.Minute},
		"within the minute":        {crashes: 3, after: 40 * time.Second, trialIn: 20 * time.Second, retryAfter: 20 * time.Second},
		"almost due":               {crashes: 3, after: time.Minute - time.Millisecond, trialIn: time.Millisecond, retryAfter: time.Second},
		"after a minute":           {crashes: 3, after: time.Minute, trialDue: true, retryAfter: time.Second},
		"one trial failed":         {crashes: 4, after: time.Minute, trialIn: 9 * time.Minute, retryAfter: 9 * time.Minute},
		"after ten minutes":        {crashes: 4, after: 10 * time.Minute, trialDue: true, retryAfter: time.Second},
		"two trials failed":        {crashes: 5, after: 99 * time.Minute, trialIn: time.Minute, retryAfter: time.Minute},
		"after a hundred minutes":  {crashes: 5, after: 100 * time.Minute, trialDue: true, retryAfter: time.Second},
		"three trials have failed": {crashes: 6, after: 200 * time.Minute, retryAfter: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := quarantinerAfter(crashesBetween(0, x.crashes))
			v := q.Check(start().Add(time.Duration(x.crashes-1)*time.Second+x.after), call)
			is.Equal(v.TrialDue, x.trialDue)
			is.Equal(v.TrialIn, x.trialIn)
			is.Equal(v.RetryAfter(), x.retryAfter)
		})
	}
}

// Guards against one crash per instance when a call arrives at many instances at once after its
// first crash. All request the trial from the call's home, the one instance responsible for it, which
// permits one at a time.
func TestOneTrialAtATime(t *testing.T) {
	suspected := quarantiner.Verdict{Status: quarantiner.Suspected, Crashes: 1}
	quarantined := quarantiner.Verdict{Status: quarantiner.Quarantined, Crashes: 3}
	due := quarantiner.Verdict{Status: quarantiner.Quarantined, Crashes: 3, TrialDue: true}

	for name, x := range map[string]struct {
		// first and then are the verdicts on a call at two requests for a trial, over is set if
		// the end of the first trial was reported, and after is the time between the requests.
		first quarantiner.Verdict
		over  bool
		after time.Duration
		then  quarantiner.Verdict
		want  []bool
	}{
		"while one is running":       {first: suspected, then: suspected, want: []bool{true, false}},
		"after its end":              {first: suspected, over: true, then: suspected, want: []bool{true, true}},
		"its end was not reported":   {first: suspected, after: 5 * time.Second, then: suspected, want: []bool{true, true}},
		"quarantined meanwhile":      {first: suspected, over: true, then: quarantined, want: []bool{true, false}},
		"served meanwhile":           {first: suspected, then: quarantiner.Verdict{}, want: []bool{true, true}},
		"quarantined, and due":       {first: due, then: due, want: []bool{true, false}},
		"quarantined, and not due":   {first: quarantined, then: quarantined, want: []bool{false, false}},
		"quarantined, then released": {first: quarantined, then: quarantiner.Verdict{}, want: []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var l quarantiner.Trials

			is.Equal(l.Begin(start(), x.first, call), x.want[0])

			if x.over {
				l.End(call)
			}

			is.Equal(l.Begin(start().Add(x.after), x.then, call), x.want[1])
			is.True(l.Begin(start(), suspected, call+1)) // Another call has its own trials.
		})
	}
}
