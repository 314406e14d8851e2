package granter_test

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/placer"
	"github.com/auburntray/auburntray/internal/tracker"
)

// Random tests draw the same each run.
func init() { _ = flag.Set("rapid.seed", "1") }

const capacity = 40

// fixture is a Granter over some targets, at a time that a test sets.
type fixture struct {
	*granter.Granter

	now time.Time
	seq uint32
}

func newFixture(targets int) *fixture {
	f := &fixture{
		Granter: granter.New(granter.DefaultSettings(), rand.New(rand.NewPCG(1, 1))),
		now:     time.Unix(1_800_000_000, 0),
	}

	var l []granter.Target
	for n := range targets {
		l = append(l, granter.Target{ID: uint32(n + 1), Capacity: capacity, Engine: true})
	}

	f.Update(l, granter.Limits{LoadFactor: 1.25, Slack: 3})

	return f
}

// ask asks for an entry and returns the grant's ID with the verdict.
func (f *fixture) ask(entry, chat uint64, customer uint32) (granter.ID, granter.Verdict) {
	f.seq++
	id := granter.ID{Entry: entry, Seq: f.seq}

	return id, f.Ask(f.now, granter.Ask{ID: id, Chat: chat, Customer: customer, Weight: 1, Prompt: 1000})
}

// Two routers both believe to be the home of a cell, as they do for seconds
// after one was suspected. Each counts only what it granted itself; together
// they would put twice the bound on a target. The targets' own late reports
// tell each home what the other sent.
func TestTwoHomesDoNotBuryATarget(t *testing.T) {
	i := is.New(t)
	a, b := newFixture(2), newFixture(2)

	// The other home has put 20 requests on target 1.
	for range 20 {
		b.Report(b.now, 2, 0, tracker.State{})
	}

	a.Report(a.now, 1, 20, tracker.State{})
	a.Report(a.now, 2, 0, tracker.State{})

	n := make(map[uint32]int)

	for k := range 20 {
		_, v := a.ask(1, uint64(k+1), 1)
		i.Equal(v.Reason, granter.Granted)

		n[v.Target]++
	}

	i.True(n[2] >= 18) // the quiet one gets nearly all until they are level
}

// A report lags, so it still counts requests that have ended. What this home
// granted within the lag explains it, and nothing is counted twice.
func TestALateReportIsNotCountedTwice(t *testing.T) {
	i := is.New(t)
	f := newFixture(2)

	var ids []granter.ID

	for k := range 20 {
		id, _ := f.ask(1, uint64(k+1), 1)
		ids = append(ids, id)
	}

	f.Report(f.now, 1, 10, tracker.State{})
	f.Report(f.now, 2, 10, tracker.State{})

	for _, id := range ids {
		f.Release(f.now, id, granter.Outcome{OK: true})
	}

	n := make(map[uint32]int)

	for k := range 10 {
		_, v := f.ask(1, uint64(k+100), 1)
		n[v.Target]++
	}

	i.Equal(n[1], 5)
	i.Equal(n[2], 5)
}

// A chat returns and finds its prompt cached. Its place holds while the load
// allows; after the home was lost the caller's token stands in for the table.
func TestAChatReturns(t *testing.T) {
	i := is.New(t)
	f := newFixture(4)
	id, v := f.ask(1, 77, 1)
	f.Release(f.now, id, granter.Outcome{OK: true})

	_, w := f.ask(2, 77, 1)
	i.Equal(w.Target, v.Target)
	i.True(w.Returned)

	g := newFixture(4)
	x := g.Ask(g.now, granter.Ask{ID: granter.ID{Entry: 1, Seq: 1}, Chat: 77, Hint: v.Target, Prompt: 1000})
	i.Equal(x.Target, v.Target)
	i.True(x.Returned)
}

// A release is lost with its connection, or an entry is killed with all its
// requests. Counted for ever, they would push their targets' share onto others.
func TestLostGrantsAreForgotten(t *testing.T) {
	for name, tc := range map[string]struct {
		then func(f *fixture, kept granter.ID)
		want int
	}{
		"nothing is lost without cause": {func(f *fixture, _ granter.ID) { f.Expire(f.now) }, 3},
		"the entry's list names one": {func(f *fixture, k granter.ID) {
			f.Sync(f.now, 1, 100, []granter.Grant{{ID: k, Target: 1, Work: 1}})
		}, 1},
		"younger grants than the list stay": {func(f *fixture, _ granter.ID) { f.Sync(f.now, 1, 1, nil) }, 2},
		"the entry is silent": {func(f *fixture, _ granter.ID) {
			f.Expire(f.now.Add(granter.DefaultSettings().EntryTimeout + time.Second))
		}, 0},
		"releasing twice counts once": {func(f *fixture, k granter.ID) {
			f.Release(f.now, k, granter.Outcome{OK: true})
			f.Release(f.now, k, granter.Outcome{OK: true})
		}, 2},
		"another entry's list changes nothing": {func(f *fixture, _ granter.ID) { f.Sync(f.now, 2, 100, nil) }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFixture(1)

			var k granter.ID
			for n := range 3 {
				k, _ = f.ask(1, uint64(n+1), 1)
			}

			tc.then(f, k)

			_, r := f.Load(1)
			i.Equal(r, tc.want)
			i.Equal(f.Len(), tc.want)
		})
	}
}

// A target says with an answer that it leaves. New work must go elsewhere from
// then on, also when a late answer still calls it live.
func TestALeavingTargetGetsNothing(t *testing.T) {
	i := is.New(t)
	f := newFixture(2)
	a, _ := f.ask(1, 1, 1)
	b, _ := f.ask(1, 2, 1)
	c, v := f.ask(1, 3, 1)

	f.Release(f.now, a, granter.Outcome{OK: true})
	f.Report(f.now, v.Target, -1, tracker.State{Incarnation: 9, Leaving: true})
	f.Release(f.now, b, granter.Outcome{OK: true})
	f.Release(f.now, c, granter.Outcome{OK: true})
	f.Report(f.now, v.Target, -1, tracker.State{Incarnation: 9})

	for k := range 20 {
		_, w := f.ask(1, uint64(k+3), 1)
		i.True(w.Target != v.Target)
	}
}

// The chat's place is over the bound for a moment. Another engine would compute
// its whole prefix again, so the request waits as long as that would take, and
// no longer.
func TestARequestWaitsForItsPlace(t *testing.T) {
	for name, tc := range map[string]struct {
		prompt int
		waited time.Duration
		want   granter.Reason
	}{
		"a long prefix is worth it":   {8000, 0, granter.Wait},
		"up to what it saves":         {8000, 350 * time.Millisecond, granter.Granted},
		"a short one is not worth it": {300, 0, granter.Granted},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFixture(4)
			f.Remember(f.now, 77, placer.Place{Target: 1, Tokens: tc.prompt})
			f.Sync(f.now, 2, 1000, grants(2, 1, 20))
			f.Sync(f.now, 3, 1000, grants(3, 2, 10))

			v := f.Ask(f.now, granter.Ask{
				ID: granter.ID{Entry: 1, Seq: 1}, Chat: 77, Customer: 1, Weight: 1, Prompt: tc.prompt, Waited: tc.waited,
			})
			i.Equal(v.Reason, tc.want)
			i.True(v.Target != 1)
		})
	}
}

// grants are n grants of an entry on a target.
func grants(entry uint64, target uint32, n int) []granter.Grant {
	l := make([]granter.Grant, n)
	for k := range l {
		l[k] = granter.Grant{ID: granter.ID{Entry: entry, Seq: uint32(k + 1)}, Target: target, Customer: 9, Work: 1}
	}

	return l
}

// Chats hash unevenly, so one cell of a pool is fuller than the others. New
// chats go to the emptiest; when they return without a token, the first cell
// still knows where they went.
func TestAFullCellSendsNewChatsElsewhere(t *testing.T) {
	i := is.New(t)
	f := newFixture(2)
	f.Remember(f.now, 5, placer.Place{Target: 1, Tokens: 100})
	f.Sync(f.now, 2, 1000, grants(2, 1, 10))
	f.Other(f.now, 900, 2, 80)
	f.Other(f.now, 901, 6, 80)

	_, v := f.ask(1, 77, 1)
	i.Equal(v.Reason, granter.Elsewhere)
	i.Equal(v.Cell, uint32(900))

	f.Sync(f.now, 2, 1000, nil) // this cell is empty now
	_, v = f.ask(1, 77, 1)
	i.Equal(v.Reason, granter.Elsewhere) // and the chat still finds its way
	i.Equal(v.Cell, uint32(900))

	_, v = f.ask(1, 5, 1)
	i.Equal(v.Target, uint32(1)) // a chat that is at home here stays

	w := f.Ask(f.now, granter.Ask{ID: granter.ID{Entry: 1, Seq: 99}, Chat: 78, Sent: true})
	i.Equal(w.Reason, granter.Granted) // what another cell sent is not sent on

	f.now = f.now.Add(time.Minute)
	_, v = f.ask(1, 77, 1)
	i.Equal(v.Reason, granter.Granted) // a cell that is silent is not sent to
}

func TestNewPlacesGoToTheSuccessor(t *testing.T) {
	i := is.New(t)
	f := newFixture(2)
	_, v := f.ask(1, 77, 1)

	l := f.Changed(10, 0)
	i.Equal(len(l), 1)
	i.Equal(l[0].Chat, uint64(77))
	i.Equal(len(f.Changed(10, 0)), 0) // once
	i.Equal(len(f.Changed(10, 4)), 1) // and again in turn

	g := newFixture(2)
	g.Remember(g.now, l[0].Chat, l[0].Place)
	_, w := g.ask(1, 77, 1)
	i.Equal(w.Target, v.Target)
	i.True(w.Returned)
}

// A few customers surge at once. Those below their share are refused nothing,
// and the surge gets what is left.
func TestASurgeRefusesNobodyElse(t *testing.T) {
	i := is.New(t)
	f := newFixture(4)
	refused := make(map[uint32]int)
	granted := make(map[uint32]int)

	// running are the grants in the order in which they end, two seconds on.
	type running struct {
		id   granter.ID
		ends time.Time
	}

	var open []running

	for k := range 4000 {
		f.now = f.now.Add(10 * time.Millisecond)

		for len(open) > 0 && !open[0].ends.After(f.now) {
			f.Release(f.now, open[0].id, granter.Outcome{OK: true})
			open = open[1:]
		}

		c := uint32(1)
		if k%10 == 0 {
			c = uint32(2 + k/10%8)
		}

		id, v := f.ask(1, uint64(k+1), c)

		switch v.Reason {
		case granter.Granted:
			granted[c]++
			open = append(open, running{id, f.now.Add(2 * time.Second)})
		default:
			refused[c]++
			i.True(v.RetryAfter > 0) // with when to come back
		}
	}

	i.True(refused[1] > 0)

	for c := uint32(2); c < 10; c++ {
		i.Equal(refused[c], 0)
	}
}

// Whatever comes in whatever order, the counts of a home are those of its open
// grants, and no target holds more than it can run.
func TestCountsFollowTheGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(3)
		open := make(map[granter.ID]uint32)

		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)

			if rapid.Bool().Draw(t, "ask") || len(open) == 0 {
				id, v := f.ask(rapid.Uint64Range(1, 3).Draw(t, "entry"), rapid.Uint64Range(0, 20).Draw(t, "chat"), 1)
				if v.Reason == granter.Granted {
					open[id] = v.Target
				}
			} else {
				for id := range open {
					f.Release(f.now, id, granter.Outcome{OK: true})
					delete(open, id)

					break
				}
			}
		}

		n := make(map[uint32]int)
		for _, x := range open {
			n[x]++
		}

		for x := uint32(1); x <= 3; x++ {
			if _, r := f.Load(x); r != n[x] || r > capacity {
				t.Fatalf("target %d counts %d requests, not %d", x, r, n[x])
			}
		}
	})
}

// Reports keep a home's view honest, but one with each request would add a fifth
// to the control traffic.
func TestReportsAreAskedForOnceASecond(t *testing.T) {
	i := is.New(t)
	f := newFixture(1)
	n := 0

	for k := range 100 {
		_, v := f.ask(1, uint64(k+1), uint32(k))
		f.Release(f.now, granter.ID{Entry: 1, Seq: f.seq}, granter.Outcome{OK: true})
		f.now = f.now.Add(100 * time.Millisecond)

		if v.Tell {
			n++
		}
	}

	i.Equal(n, 10)
}

// BenchmarkAskAndRelease gives the slope of a decision over the targets of a
// cell.
func BenchmarkAskAndRelease(b *testing.B) {
	for _, n := range []int{4, 8, 16, 24} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newFixture(n)
			k := uint64(0)

			for b.Loop() {
				k++
				id, _ := f.ask(1, k%10000+1, uint32(k%50))
				f.Release(f.now, id, granter.Outcome{OK: true})
			}
		})
	}
}
