package tallier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/tallier"
)

const (
	target = enroller.Name(7)
	other  = enroller.Name(8)
)

// start is when the cases begin.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func request(number uint64, n enroller.Name, most int) tallier.Request {
	return tallier.Request{ID: tallier.ID{Instance: 1, Number: number}, Target: n, Most: most, Until: at(time.Minute)}
}

// Instances that see the same target below its bound must not all send there: each call is
// counted as it is granted room, until it ends, or must have ended. A target's own word makes
// good what this home does not know, for as long as it says something.
func TestReserve(t *testing.T) {
	granted := func(n int) tallier.Verdict { return tallier.Verdict{Outcome: tallier.Granted, Calls: n} }
	full := func(n int) tallier.Verdict { return tallier.Verdict{Outcome: tallier.Full, Calls: n} }

	for name, tc := range map[string]struct {
		before func(x *tallier.Tallier)
		ask    tallier.Request
		at     time.Duration
		want   tallier.Verdict
	}{
		"the first":         {func(*tallier.Tallier) {}, request(1, target, 1), 0, granted(1)},
		"none may be there": {func(*tallier.Tallier) {}, request(1, target, 0), 0, full(0)},
		"one too many": {func(x *tallier.Tallier) {
			x.Reserve(start, request(1, target, 2))
			x.Reserve(start, request(2, target, 2))
		}, request(3, target, 2), 0, full(2)},
		"another target": {func(x *tallier.Tallier) { x.Reserve(start, request(1, target, 1)) }, request(2, other, 1), 0, granted(1)},
		"asked twice under one ID": {func(x *tallier.Tallier) {
			x.Reserve(start, request(1, target, 1))
		}, request(1, target, 1), 0, granted(1)},
		"one has ended": {func(x *tallier.Tallier) {
			x.Reserve(start, request(1, target, 1))
			x.Release(start, target, tallier.ID{Instance: 1, Number: 1}, tallier.Well, 0)
		}, request(2, target, 1), 0, granted(1)},
		"another instance's number ends nothing": {func(x *tallier.Tallier) {
			x.Reserve(start, request(1, target, 1))
			x.Release(start, target, tallier.ID{Instance: 2, Number: 1}, tallier.Well, 0)
		}, request(2, target, 1), 0, full(1)},
		"an end that is not known": {func(x *tallier.Tallier) {
			x.Release(start, target, tallier.ID{Instance: 1, Number: 1}, tallier.Well, 0)
		}, request(1, target, 1), 0, granted(1)},
		// The instance that asked was killed, and no release comes.
		"one must be over": {func(x *tallier.Tallier) {
			r := request(1, target, 1)
			r.Until = at(time.Second)
			x.Reserve(start, r)
		}, request(2, target, 1), time.Second + time.Millisecond, granted(1)},
		"the target has more than are counted": {func(x *tallier.Tallier) {
			x.Report(start, target, 9)
		}, request(1, target, 9), 0, full(9)},
		"counted since its word": {func(x *tallier.Tallier) {
			x.Report(start, target, 5)
			x.Reserve(at(time.Millisecond), request(1, target, 9))
		}, request(2, target, 9), time.Millisecond, granted(7)},
		"ended since its word": {func(x *tallier.Tallier) {
			x.Reserve(start, request(1, target, 9))
			x.Report(at(time.Second), target, 5)
			x.Release(start, target, tallier.ID{Instance: 1, Number: 1}, tallier.Well, 0)
		}, request(2, target, 9), time.Second, granted(5)},
		"on its way when it gave its word": {func(x *tallier.Tallier) {
			x.Reserve(start, request(1, target, 9))
			x.Report(at(time.Millisecond), target, 5)
		}, request(2, target, 9), time.Millisecond, granted(7)},
		"its word is old": {func(x *tallier.Tallier) {
			x.Report(start, target, 9)
		}, request(1, target, 9), 2 * time.Second, granted(1)},
		"it is not on the list any more": {func(x *tallier.Tallier) {
			x.Reserve(start, request(1, target, 1))
			x.Keep(func(n enroller.Name) bool { return n == other })
		}, request(2, target, 1), 0, granted(1)},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			x := tallier.New()
			tc.before(x)
			i.Equal(x.Reserve(at(tc.at), tc.ask), tc.want)
		})
	}
}

// A target fails, can't be reached or has become slow. Each of hundreds of instances sends it a
// call in half a minute and would find out for itself, one call each; a call that may run once,
// to an engine that is slow, hangs. By the calls of all it is left alone at once, and by one
// trial found to be back.
func TestTargetsThatAreLeftAlone(t *testing.T) {
	const usual = 0.2

	note := func(x *tallier.Tallier, n int, s tallier.Sign, pace float64) {
		for range n {
			x.Release(start, target, tallier.ID{}, s, pace)
		}
	}

	for name, tc := range map[string]struct {
		before func(x *tallier.Tallier)
		anyway bool
		at     time.Duration
		// want is what the first and the second who ask are told.
		want [2]tallier.Outcome
	}{
		"nothing is known": {func(*tallier.Tallier) {}, false, 0, [2]tallier.Outcome{tallier.Granted, tallier.Granted}},
		"two failures":     {func(x *tallier.Tallier) { note(x, 2, tallier.Failed, 0) }, false, 0, [2]tallier.Outcome{tallier.Granted, tallier.Granted}},
		"three failures":   {func(x *tallier.Tallier) { note(x, 3, tallier.Failed, 0) }, false, 0, [2]tallier.Outcome{tallier.Left, tallier.Left}},
		"failures and answers by turns": {func(x *tallier.Tallier) {
			note(x, 2, tallier.Failed, 0)
			note(x, 1, tallier.Well, usual)
			note(x, 2, tallier.Failed, 0)
		}, false, 0, [2]tallier.Outcome{tallier.Granted, tallier.Granted}},
		"a trial after a while": {
			func(x *tallier.Tallier) { note(x, 3, tallier.Failed, 0) }, false, time.Second, [2]tallier.Outcome{tallier.Granted, tallier.Left},
		},
		"callers that leave say nothing": {
			func(x *tallier.Tallier) { note(x, 5, tallier.Nothing, 0) }, false, 0, [2]tallier.Outcome{tallier.Granted, tallier.Granted},
		},
		"one instance does not reach it": {
			func(x *tallier.Tallier) { note(x, 1, tallier.Unreached, 0) }, false, 0, [2]tallier.Outcome{tallier.Granted, tallier.Granted},
		},
		"two do not reach it": {func(x *tallier.Tallier) { note(x, 2, tallier.Unreached, 0) }, false, 0, [2]tallier.Outcome{tallier.Left, tallier.Left}},
		"slow":                {func(x *tallier.Tallier) { note(x, 4, tallier.Well, 1) }, false, 0, [2]tallier.Outcome{tallier.Granted, tallier.Left}},
		"slow, but so are all": {
			func(x *tallier.Tallier) { note(x, 4, tallier.Well, 2.5*usual) }, false, 0, [2]tallier.Outcome{tallier.Granted, tallier.Granted},
		},
		"nowhere else to go": {func(x *tallier.Tallier) { note(x, 3, tallier.Failed, 0) }, true, 0, [2]tallier.Outcome{tallier.Granted, tallier.Granted}},
		"another target": {func(x *tallier.Tallier) {
			note(x, 3, tallier.Failed, 0)
			x.Keep(func(n enroller.Name) bool { return n == other })
		}, false, 0, [2]tallier.Outcome{tallier.Granted, tallier.Granted}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			x := tallier.New()
			tc.before(x)

			for n, want := range tc.want {
				r := request(uint64(n), target, 100)
				r.Usual, r.Anyway = usual, tc.anyway
				i.Equal(x.Reserve(at(tc.at), r).Outcome, want)
			}
		})
	}
}

// Who asks learns the target's pace, once enough answers were seen.
func TestPaceIsTold(t *testing.T) {
	i := is.New(t)
	x := tallier.New()

	x.Release(start, target, tallier.ID{}, tallier.Well, 0.5)
	x.Release(start, target, tallier.ID{}, tallier.Well, 0.5)
	i.Equal(x.Reserve(start, request(1, target, 9)).Pace, 0.0)

	x.Release(start, target, tallier.ID{}, tallier.Well, 0.5)
	i.Equal(x.Reserve(start, request(2, target, 9)).Pace, 0.5)
}
