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

// The seed of property-based tests is fixed, so that each run draws the same values.
func init() { _ = flag.Set("rapid.seed", "1") }

const capacity = 40

// fixture is a Granter with a clock that the test sets.
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

// reserve requests a slot on behalf of an entry and returns the request's ID and the verdict.
func (f *fixture) reserve(entry, chat uint64, customer uint32) (granter.ID, granter.Verdict) {
	f.seq++
	id := granter.ID{Entry: entry, Seq: f.seq}

	return id, f.Reserve(f.now, granter.Request{ID: id, Chat: chat, Customer: customer, Weight: 1, Prompt: 1000})
}

// Guards against a target loaded to twice its bound while two routers both consider themselves the
// cell's home, as happens for seconds after one of them was suspected to have failed. Each counts only
// its own grants and learns of the other's from the targets' load reports.
func TestTwoHomesDoNotOverloadATarget(t *testing.T) {
	i := is.New(t)
	a, b := newFixture(2), newFixture(2)

	// The other home has granted 20 requests at target 1.
	for range 20 {
		b.Report(b.now, 2, 0, tracker.State{})
	}

	a.Report(a.now, 1, 20, tracker.State{})
	a.Report(a.now, 2, 0, tracker.State{})

	n := make(map[uint32]int)

	for k := range 20 {
		_, v := a.reserve(1, uint64(k+1), 1)
		i.Equal(v.Reason, granter.Granted)

		n[v.Target]++
	}

	i.True(n[2] >= 18) // The idle target gets nearly all until the loads are equal.
}

// Guards against requests that are counted twice: load reports lag and include requests that have ended
// since, which this home granted itself.
func TestLateReportIsNotCountedTwice(t *testing.T) {
	i := is.New(t)
	f := newFixture(2)

	var ids []granter.ID

	for k := range 20 {
		id, _ := f.reserve(1, uint64(k+1), 1)
		ids = append(ids, id)
	}

	f.Report(f.now, 1, 10, tracker.State{})
	f.Report(f.now, 2, 10, tracker.State{})

	for _, id := range ids {
		f.Release(f.now, id, granter.Outcome{OK: true})
	}

	n := make(map[uint32]int)

	for k := range 10 {
		_, v := f.reserve(1, uint64(k+100), 1)
		n[v.Target]++
	}

	i.Equal(n[1], 5)
	i.Equal(n[2], 5)
}

// Guards against chats that lose their cached prefix: a chat returns to the target of its placement
// while the load permits, and after the loss of the home to the target named in the caller's token.
func TestChatReturnsToItsPlacement(t *testing.T) {
	i := is.New(t)
	f := newFixture(4)
	id, v := f.reserve(1, 77, 1)
	f.Release(f.now, id, granter.Outcome{OK: true})

	_, w := f.reserve(2, 77, 1)
	i.Equal(w.Target, v.Target)
	i.True(w.AtPlacement)

	g := newFixture(4)
	x := g.Reserve(g.now, granter.Request{ID: granter.ID{Entry: 1, Seq: 1}, Chat: 77, Hint: v.Target, Prompt: 1000})
	i.Equal(x.Target, v.Target)
	i.True(x.AtPlacement)
}

// Guards against grants that count for ever and shift load to other targets: a release is lost with its
// connection, or an entry is killed with all its requests.
func TestLostGrantsAreRemoved(t *testing.T) {
	for name, tc := range map[string]struct {
		loss func(f *fixture, last granter.ID)
		want int
	}{
		"no loss": {func(f *fixture, _ granter.ID) { f.Expire(f.now) }, 3},
		"entry lists one grant": {func(f *fixture, k granter.ID) {
			f.Sync(f.now, 1, 100, []granter.Grant{{ID: k, Target: 1, Work: 1}})
		}, 1},
		"grants newer than the list remain": {func(f *fixture, _ granter.ID) { f.Sync(f.now, 1, 1, nil) }, 2},
		"entry timed out": {func(f *fixture, _ granter.ID) {
			f.Expire(f.now.Add(granter.DefaultSettings().EntryTimeout + time.Second))
		}, 0},
		"second release is ignored": {func(f *fixture, k granter.ID) {
			f.Release(f.now, k, granter.Outcome{OK: true})
			f.Release(f.now, k, granter.Outcome{OK: true})
		}, 2},
		"list of another entry": {func(f *fixture, _ granter.ID) { f.Sync(f.now, 2, 100, nil) }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFixture(1)

			var k granter.ID
			for n := range 3 {
				k, _ = f.reserve(1, uint64(n+1), 1)
			}

			tc.loss(f, k)

			_, r := f.Load(1)
			i.Equal(r, tc.want)
			i.Equal(f.Len(), tc.want)
		})
	}
}

// Guards against new work for a target that announced its shutdown with an answer, also if a late answer
// still reports it as live.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	i := is.New(t)
	f := newFixture(2)
	a, _ := f.reserve(1, 1, 1)
	b, _ := f.reserve(1, 2, 1)
	c, v := f.reserve(1, 3, 1)

	f.Release(f.now, a, granter.Outcome{OK: true})
	f.Report(f.now, v.Target, -1, tracker.State{Incarnation: 9, Leaving: true})
	f.Release(f.now, b, granter.Outcome{OK: true})
	f.Release(f.now, c, granter.Outcome{OK: true})
	f.Report(f.now, v.Target, -1, tracker.State{Incarnation: 9})

	for k := range 20 {
		_, w := f.reserve(1, uint64(k+3), 1)
		i.True(w.Target != v.Target)
	}
}

// Guards against recomputed prefixes and against long waits: while the target of a chat's placement is
// above its bound, the request waits for it no longer than another engine needs to compute the prefix.
func TestRequestWaitsForItsPlacement(t *testing.T) {
	for name, tc := range map[string]struct {
		prompt int
		waited time.Duration
		want   granter.Reason
	}{
		"long prefix":                        {8000, 0, granter.Wait},
		"waited as long as the prefix saves": {8000, 350 * time.Millisecond, granter.Granted},
		"short prefix":                       {300, 0, granter.Granted},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFixture(4)
			f.RecordPlacement(f.now, 77, placer.Placement{Target: 1, Tokens: tc.prompt})
			f.Sync(f.now, 2, 1000, grants(2, 1, 20))
			f.Sync(f.now, 3, 1000, grants(3, 2, 10))

			v := f.Reserve(f.now, granter.Request{
				ID: granter.ID{Entry: 1, Seq: 1}, Chat: 77, Customer: 1, Weight: 1, Prompt: tc.prompt, Waited: tc.waited,
			})
			i.Equal(v.Reason, tc.want)
			i.True(v.Target != 1)
		})
	}
}

// grants returns n grants of an entry at a target.
func grants(entry uint64, target uint32, n int) []granter.Grant {
	l := make([]granter.Grant, n)
	for k := range l {
		l[k] = granter.Grant{ID: granter.ID{Entry: entry, Seq: uint32(k + 1)}, Target: target, Customer: 9, Work: 1}
	}

	return l
}

// Guards against uneven load of the cells of a pool, since chats hash to cells unevenly. A loaded cell
// forwards new chats to the least loaded one, and forwards them there again when they return without a
// token.
func TestLoadedCellForwardsNewChats(t *testing.T) {
	i := is.New(t)
	f := newFixture(2)
	f.RecordPlacement(f.now, 5, placer.Placement{Target: 1, Tokens: 100})
	f.Sync(f.now, 2, 1000, grants(2, 1, 10))
	f.ReportCell(f.now, 900, 2, 80)
	f.ReportCell(f.now, 901, 6, 80)

	_, v := f.reserve(1, 77, 1)
	i.Equal(v.Reason, granter.OtherCell)
	i.Equal(v.Cell, uint32(900))

	f.Sync(f.now, 2, 1000, nil) // This cell is empty now.
	_, v = f.reserve(1, 77, 1)
	i.Equal(v.Reason, granter.OtherCell) // The chat is still assigned to the cell that holds it.
	i.Equal(v.Cell, uint32(900))

	_, v = f.reserve(1, 5, 1)
	i.Equal(v.Target, uint32(1)) // A chat with a placement in this cell remains.

	w := f.Reserve(f.now, granter.Request{ID: granter.ID{Entry: 1, Seq: 99}, Chat: 78, Forwarded: true})
	i.Equal(w.Reason, granter.Granted) // A forwarded request is not forwarded again.

	f.now = f.now.Add(time.Minute)
	_, v = f.reserve(1, 77, 1)
	i.Equal(v.Reason, granter.Granted) // Nothing is forwarded to a cell without a recent report.
}

func TestNewPlacementsGoToTheSuccessor(t *testing.T) {
	i := is.New(t)
	f := newFixture(2)
	_, v := f.reserve(1, 77, 1)

	l := f.ChangedPlacements(10, 0)
	i.Equal(len(l), 1)
	i.Equal(l[0].Chat, uint64(77))
	i.Equal(len(f.ChangedPlacements(10, 0)), 0) // Each is returned as new only once.
	i.Equal(len(f.ChangedPlacements(10, 4)), 1) // The cyclic scan returns it again.

	g := newFixture(2)
	g.RecordPlacement(g.now, l[0].Chat, l[0].Placement)
	_, w := g.reserve(1, 77, 1)
	i.Equal(w.Target, v.Target)
	i.True(w.AtPlacement)
}

// Guards against refusals for customers below their share while another customer surges. The surge gets
// the remaining capacity.
func TestSurgeDoesNotAffectOtherCustomers(t *testing.T) {
	i := is.New(t)
	f := newFixture(4)
	refused := make(map[uint32]int)
	granted := make(map[uint32]int)

	// running is a grant that ends two seconds after its start.
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

		id, v := f.reserve(1, uint64(k+1), c)

		switch v.Reason {
		case granter.Granted:
			granted[c]++
			open = append(open, running{id, f.now.Add(2 * time.Second)})
		default:
			refused[c]++
			i.True(v.RetryAfter > 0)
		}
	}

	i.True(refused[1] > 0)

	for c := uint32(2); c < 10; c++ {
		i.Equal(refused[c], 0)
	}
}

// Guards against counts that deviate from the grants in progress, and against more grants at a target
// than its capacity, for any order of requests and releases.
func TestCountsMatchTheGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(3)
		open := make(map[granter.ID]uint32)

		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)

			if rapid.Bool().Draw(t, "request") || len(open) == 0 {
				id, v := f.reserve(rapid.Uint64Range(1, 3).Draw(t, "entry"), rapid.Uint64Range(0, 20).Draw(t, "chat"), 1)
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
				t.Fatalf("target %d: got %d requests, want %d", x, r, n[x])
			}
		}
	})
}

// Guards against a load report with each request, which would add a fifth to the control traffic.
func TestReportsAreRequestedOncePerSecond(t *testing.T) {
	i := is.New(t)
	f := newFixture(1)
	n := 0

	for k := range 100 {
		_, v := f.reserve(1, uint64(k+1), uint32(k))
		f.Release(f.now, granter.ID{Entry: 1, Seq: f.seq}, granter.Outcome{OK: true})
		f.now = f.now.Add(100 * time.Millisecond)

		if v.ReportDue {
			n++
		}
	}

	i.Equal(n, 10)
}

// BenchmarkReserveAndRelease measures the cost of a decision by the number of targets in the cell.
func BenchmarkReserveAndRelease(b *testing.B) {
	for _, n := range []int{4, 8, 16, 24} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newFixture(n)
			k := uint64(0)

			for b.Loop() {
				k++
				id, _ := f.reserve(1, k%10000+1, uint32(k%50))
				f.Release(f.now, id, granter.Outcome{OK: true})
			}
		})
	}
}

// Guards against counts below the true load: a target is removed and listed again, or is listed after an entry router with a
// newer configuration has sent its grants there. The releases would then be subtracted from zero.
func TestGrantsAtTargetsListedLater(t *testing.T) {
	i := is.New(t)
	f := newFixture(1)
	l := []granter.Target{{ID: 1, Capacity: capacity, Engine: true}}
	kept, _ := f.reserve(1, 1, 1)

	f.Update(nil, granter.Limits{})
	f.Sync(f.now, 2, 100, []granter.Grant{{ID: granter.ID{Entry: 2, Seq: 5}, Target: 1, Work: 1}})
	f.Update(l, granter.Limits{})

	_, n := f.Load(1)
	i.Equal(n, 2)

	// An update that does not add the target changes no count.
	f.Update(l, granter.Limits{})
	f.Release(f.now, kept, granter.Outcome{OK: true})

	_, n = f.Load(1)
	i.Equal(n, 1)
}
