package aggregator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
)

const (
	target = discoverer.Name(7)
	other  = discoverer.Name(8)
)

// start is the time at which the cases begin.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func request(number uint64, n discoverer.Name, maxCalls int) aggregator.Request {
	return aggregator.Request{ID: aggregator.ID{Instance: 1, Number: number}, Target: n, MaxCalls: maxCalls, Deadline: at(time.Minute)}
}

// Guards against instances that all send to the same target since each sees it below its bound. A call
// counts from its grant until its release or deadline, and a recent load report adds the calls that this
// home does not know.
func TestReserve(t *testing.T) {
	granted := func(n int) aggregator.Verdict { return aggregator.Verdict{Outcome: aggregator.Granted, Calls: n} }
	full := func(n int) aggregator.Verdict { return aggregator.Verdict{Outcome: aggregator.Full, Calls: n} }

	for name, tc := range map[string]struct {
		prepare func(x *aggregator.Aggregator)
		request aggregator.Request
		at      time.Duration
		want    aggregator.Verdict
	}{
		"first call":    {func(*aggregator.Aggregator) {}, request(1, target, 1), 0, granted(1)},
		"bound of zero": {func(*aggregator.Aggregator) {}, request(1, target, 0), 0, full(0)},
		"above the bound": {func(x *aggregator.Aggregator) {
			x.Reserve(start, request(1, target, 2))
			x.Reserve(start, request(2, target, 2))
		}, request(3, target, 2), 0, full(2)},
		"another target": {func(x *aggregator.Aggregator) { x.Reserve(start, request(1, target, 1)) }, request(2, other, 1), 0, granted(1)},
		"repeated ID": {func(x *aggregator.Aggregator) {
			x.Reserve(start, request(1, target, 1))
		}, request(1, target, 1), 0, granted(1)},
		"released": {func(x *aggregator.Aggregator) {
			x.Reserve(start, request(1, target, 1))
			x.Release(start, target, aggregator.ID{Instance: 1, Number: 1}, aggregator.Answered, 0)
		}, request(2, target, 1), 0, granted(1)},
		"released with the number of another instance": {func(x *aggregator.Aggregator) {
			x.Reserve(start, request(1, target, 1))
			x.Release(start, target, aggregator.ID{Instance: 2, Number: 1}, aggregator.Answered, 0)
		}, request(2, target, 1), 0, full(1)},
		"unknown reservation released": {func(x *aggregator.Aggregator) {
			x.Release(start, target, aggregator.ID{Instance: 1, Number: 1}, aggregator.Answered, 0)
		}, request(1, target, 1), 0, granted(1)},
		// The requesting instance was killed and sends no release.
		"past its deadline": {func(x *aggregator.Aggregator) {
			r := request(1, target, 1)
			r.Deadline = at(time.Second)
			x.Reserve(start, r)
		}, request(2, target, 1), time.Second + time.Millisecond, granted(1)},
		"more calls reported than counted": {func(x *aggregator.Aggregator) {
			x.Report(start, target, 9)
		}, request(1, target, 9), 0, full(9)},
		"granted since the report": {func(x *aggregator.Aggregator) {
			x.Report(start, target, 5)
			x.Reserve(at(time.Millisecond), request(1, target, 9))
		}, request(2, target, 9), time.Millisecond, granted(7)},
		"released since the report": {func(x *aggregator.Aggregator) {
			x.Reserve(start, request(1, target, 9))
			x.Report(at(time.Second), target, 5)
			x.Release(start, target, aggregator.ID{Instance: 1, Number: 1}, aggregator.Answered, 0)
		}, request(2, target, 9), time.Second, granted(5)},
		"in transit at the time of the report": {func(x *aggregator.Aggregator) {
			x.Reserve(start, request(1, target, 9))
			x.Report(at(time.Millisecond), target, 5)
		}, request(2, target, 9), time.Millisecond, granted(7)},
		"report expired": {func(x *aggregator.Aggregator) {
			x.Report(start, target, 9)
		}, request(1, target, 9), 2 * time.Second, granted(1)},
		"target removed": {func(x *aggregator.Aggregator) {
			x.Reserve(start, request(1, target, 1))
			x.Retain(func(n discoverer.Name) bool { return n == other })
		}, request(2, target, 1), 0, granted(1)},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			x := aggregator.New()
			tc.prepare(x)
			i.Equal(x.Reserve(at(tc.at), tc.request), tc.want)
		})
	}
}

// Guards against hundreds of instances that each detect a failing, unreachable or slow target with a
// call of their own. Calls that may run only once can't be sent elsewhere, and hang at a slow engine.
// From the results of all instances' calls, the target must be excluded for all instances at once, and
// one probe call must readmit it.
func TestExcludedTargets(t *testing.T) {
	const median = 0.2

	record := func(x *aggregator.Aggregator, n int, s aggregator.Result, latency float64) {
		for range n {
			x.Release(start, target, aggregator.ID{}, s, latency)
		}
	}

	for name, tc := range map[string]struct {
		prepare       func(x *aggregator.Aggregator)
		allowExcluded bool
		at            time.Duration
		// want are the outcomes of the first and the second request.
		want [2]aggregator.Outcome
	}{
		"no results":     {func(*aggregator.Aggregator) {}, false, 0, [2]aggregator.Outcome{aggregator.Granted, aggregator.Granted}},
		"two failures":   {func(x *aggregator.Aggregator) { record(x, 2, aggregator.Failed, 0) }, false, 0, [2]aggregator.Outcome{aggregator.Granted, aggregator.Granted}},
		"three failures": {func(x *aggregator.Aggregator) { record(x, 3, aggregator.Failed, 0) }, false, 0, [2]aggregator.Outcome{aggregator.Excluded, aggregator.Excluded}},
		"answer between failures": {func(x *aggregator.Aggregator) {
			record(x, 2, aggregator.Failed, 0)
			record(x, 1, aggregator.Answered, median)
			record(x, 2, aggregator.Failed, 0)
		}, false, 0, [2]aggregator.Outcome{aggregator.Granted, aggregator.Granted}},
		"probe call after the exclusion": {
			func(x *aggregator.Aggregator) { record(x, 3, aggregator.Failed, 0) }, false, time.Second, [2]aggregator.Outcome{aggregator.Granted, aggregator.Excluded},
		},
		"callers disconnected": {
			func(x *aggregator.Aggregator) { record(x, 5, aggregator.NoResult, 0) }, false, 0, [2]aggregator.Outcome{aggregator.Granted, aggregator.Granted},
		},
		"one failed connection": {
			func(x *aggregator.Aggregator) { record(x, 1, aggregator.Unreachable, 0) }, false, 0, [2]aggregator.Outcome{aggregator.Granted, aggregator.Granted},
		},
		"two failed connections": {func(x *aggregator.Aggregator) { record(x, 2, aggregator.Unreachable, 0) }, false, 0, [2]aggregator.Outcome{aggregator.Excluded, aggregator.Excluded}},
		"slow":                   {func(x *aggregator.Aggregator) { record(x, 4, aggregator.Answered, 1) }, false, 0, [2]aggregator.Outcome{aggregator.Granted, aggregator.Excluded}},
		"as slow as its group": {
			func(x *aggregator.Aggregator) { record(x, 4, aggregator.Answered, 2.5*median) }, false, 0, [2]aggregator.Outcome{aggregator.Granted, aggregator.Granted},
		},
		"no other target": {func(x *aggregator.Aggregator) { record(x, 3, aggregator.Failed, 0) }, true, 0, [2]aggregator.Outcome{aggregator.Granted, aggregator.Granted}},
		"target removed": {func(x *aggregator.Aggregator) {
			record(x, 3, aggregator.Failed, 0)
			x.Retain(func(n discoverer.Name) bool { return n == other })
		}, false, 0, [2]aggregator.Outcome{aggregator.Granted, aggregator.Granted}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			x := aggregator.New()
			tc.prepare(x)

			for n, want := range tc.want {
				r := request(uint64(n), target, 100)
				r.MedianLatency, r.AllowExcluded = median, tc.allowExcluded
				i.Equal(x.Reserve(at(tc.at), r).Outcome, want)
			}
		})
	}
}

// Guards against verdicts without the target's latency, and against a latency from too few answers.
func TestVerdictHasLatency(t *testing.T) {
	i := is.New(t)
	x := aggregator.New()

	x.Release(start, target, aggregator.ID{}, aggregator.Answered, 0.5)
	x.Release(start, target, aggregator.ID{}, aggregator.Answered, 0.5)
	i.Equal(x.Reserve(start, request(1, target, 9)).Latency, 0.0)

	x.Release(start, target, aggregator.ID{}, aggregator.Answered, 0.5)
	i.Equal(x.Reserve(start, request(2, target, 9)).Latency, 0.5)
}
