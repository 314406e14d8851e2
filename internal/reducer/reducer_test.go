package reducer_test

import (
	"encoding/json"
	"flag"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburntray/auburntray/internal/differ"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/reducer"
)

// Fixes the seed, so that property tests are reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

// change returns a record that sets a customer's weight, made against a base.
func change(id string, base uint64, weight float64) reducer.Record {
	return reducer.Record{ID: id, Base: base, Change: &differ.Change{
		SetCustomers: map[string]parser.Customer{"c": {Weight: weight}},
	}}
}

func TestApply(t *testing.T) {
	for name, tc := range map[string]struct {
		records []reducer.Record
		want    []reducer.Verdict
		weight  float64
	}{
		"consecutive changes": {
			[]reducer.Record{change("a", 0, 1), change("b", 1, 2)},
			[]reducer.Verdict{reducer.Accepted, reducer.Accepted}, 2,
		},
		"race on one base": {
			[]reducer.Record{change("a", 0, 1), change("b", 0, 2)},
			[]reducer.Verdict{reducer.Accepted, reducer.Stale}, 1,
		},
		"append repeated after lost reply": {
			[]reducer.Record{change("a", 0, 1), change("a", 0, 1)},
			[]reducer.Verdict{reducer.Accepted, reducer.Stale}, 1,
		},
		"invalid document": {
			[]reducer.Record{change("a", 0, 1), change("b", 1, -5)},
			[]reducer.Verdict{reducer.Accepted, reducer.Invalid}, 1,
		},
		"empty record": {
			[]reducer.Record{change("a", 0, 1), {}, change("b", 1, 2)},
			[]reducer.Verdict{reducer.Accepted, reducer.Ignored, reducer.Accepted}, 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := reducer.New()

			for n, r := range tc.records {
				i.Equal(f.Apply(uint64(n), r), tc.want[n])
				i.Equal(f.Apply(uint64(n), r), reducer.Ignored) // Replays have no effect.
			}

			i.Equal(f.State().Document.Customers["c"].Weight, tc.weight)
		})
	}
}

// Guards against a lost change. A reader starts after the log dropped its oldest records, and restores
// a checkpoint. The router that wrote the checkpoint may have lagged, so changes between the state of
// the checkpoint and the offset of its record must be applied, too.
func TestLateReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := reducer.New()

		var (
			log    []reducer.Record
			states []reducer.State
		)

		for n := range rapid.IntRange(1, 40).Draw(t, "records") {
			var r reducer.Record

			if len(states) > 0 && rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				k := rapid.IntRange(0, len(states)-1).Draw(t, "state")
				r = reducer.Record{ID: "checkpoint", Checkpoint: &states[k]}

				if rapid.Bool().Draw(t, "next") {
					r.Next = uint64(k) + 1
				}
			} else {
				b := full.State().Revision
				if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
					b = rapid.Uint64Range(0, uint64(n)).Draw(t, "base")
				}

				r = change(strconv.Itoa(n), b, float64(n+1))
			}

			log = append(log, r)
			full.Apply(uint64(n), r)
			states = append(states, *full.State())
		}

		late := reducer.New()
		from := rapid.IntRange(0, len(log)-1).Draw(t, "from")
		late.Skip(uint64(from))

		last := uint64(0)

		for n := from; n < len(log); n++ {
			late.Apply(uint64(n), log[n])

			if late.State().Revision < last {
				t.Fatalf("revision reverted from %d to %d", last, late.State().Revision)
			}

			last = late.State().Revision
		}

		if late.Complete() && late.State().ID != full.State().ID {
			t.Fatalf("state is %q at revision %d, want %q at %d",
				late.State().ID, late.State().Revision, full.State().ID, full.State().Revision)
		}
	})
}

// Guards against reverted and lost changes. A data centre that is partitioned from the platform
// restores the state of a peer: it must not revert to an older revision when that peer lags, and must
// miss no records once the log is reachable again.
func TestRestoreNeverReverts(t *testing.T) {
	log := []reducer.Record{change("a", 0, 1), change("b", 1, 2), change("c", 2, 3)}
	at := func(n int) *reducer.Reducer {
		f := reducer.New()
		for k := range n {
			f.Apply(uint64(k), log[k])
		}

		return f
	}

	for name, tc := range map[string]struct {
		own, peer int
		want      reducer.Verdict
		revision  uint64
	}{
		"from empty":    {0, 2, reducer.Restored, 2},
		"forward":       {1, 3, reducer.Restored, 3},
		"older":         {3, 1, reducer.Ignored, 3},
		"same revision": {2, 2, reducer.Ignored, 2},
		"empty peer":    {2, 0, reducer.Ignored, 2},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f, p := at(tc.own), at(tc.peer)
			i.Equal(f.Restore(*p.State(), p.Next()), tc.want)
			i.Equal(f.State().Revision, tc.revision)

			for k, r := range log {
				f.Apply(uint64(k), r)
			}

			i.Equal(f.State().ID, "c")
		})
	}
}

// Guards against a reader that falls behind the log's retention and accepts changes on a state that lacks
// the dropped ones. The state must remain until a checkpoint covers the gap.
func TestGapBlocksChanges(t *testing.T) {
	i := is.New(t)
	f := reducer.New()
	f.Apply(0, change("a", 0, 1))

	f.Skip(5)
	i.Equal(f.Apply(5, change("x", 1, 9)), reducer.Ignored)
	i.Equal(f.State().ID, "a")
	i.True(!f.Complete())

	// A reader without a gap wrote a checkpoint of revision 4, in which "x" was not accepted.
	s := reducer.State{Revision: 4, ID: "d"}
	i.Equal(f.Apply(6, reducer.Record{Checkpoint: &s}), reducer.Ignored) // Record 4 was missed, and the checkpoint does not cover it.

	g := reducer.New()
	g.Skip(3)
	g.Apply(3, change("y", 1, 9))
	g.Apply(4, change("z", 3, 7))
	s = reducer.State{Revision: 3, ID: "c"}
	i.Equal(g.Apply(5, reducer.Record{Checkpoint: &s}), reducer.Restored)
	i.Equal(g.State().ID, "z") // The change after the checkpoint's state is applied.
}

// BenchmarkApply applies a change to a document of the design size: 600 targets, 7,600 customers, 32 rules.
func BenchmarkApply(b *testing.B) {
	c := &differ.Change{
		SetTargets: make(map[string]parser.Target), SetCustomers: make(map[string]parser.Customer), SetRules: make(map[string]parser.Rule),
	}

	for k := range 600 {
		c.SetTargets["target-"+strconv.Itoa(k)] = parser.Target{
			Address: "10.0." + strconv.Itoa(k/250) + "." + strconv.Itoa(k%250) + ":80", Kind: parser.KindEngine,
			Region: "region-1", DataCentre: "dc-" + strconv.Itoa(k%8), Capacity: 80, Labels: map[string]string{"model": strconv.Itoa(k % 32)},
		}
	}

	for k := range 7600 {
		c.SetCustomers["customer-"+strconv.Itoa(k)] = parser.Customer{Weight: 2}
	}

	for k := range 32 {
		c.SetRules["rule-"+strconv.Itoa(k)] = parser.Rule{Targets: "model=" + strconv.Itoa(k), Traffic: "model=" + strconv.Itoa(k)}
	}

	f := reducer.New()
	if f.Apply(0, reducer.Record{Change: c}) != reducer.Accepted {
		b.Fatal("initial change not accepted")
	}

	n := uint64(1)

	for b.Loop() {
		f.Apply(n, change("x", f.State().Revision, float64(n)))
		n++
	}

	j, _ := json.Marshal(f.State())
	b.ReportMetric(float64(len(j)), "documentBytes")
}

// Guards against a log without recent changes whose last change was dropped: late readers never got a
// configuration, because every checkpoint had a revision before the oldest record.
func TestCheckpointLongAfterLastChange(t *testing.T) {
	s := reducer.State{Revision: 2, ID: "b"}

	for name, tc := range map[string]struct {
		next uint64
		want reducer.Verdict
	}{
		"covers all dropped records":   {9, reducer.Restored},
		"lacks a dropped record":       {4, reducer.Ignored},
		"next is unset":                {0, reducer.Ignored},
		"next is after the checkpoint": {12, reducer.Ignored},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := reducer.New()
			f.Skip(8)

			f.Apply(9, reducer.Record{})
			i.Equal(f.Apply(10, reducer.Record{ID: "checkpoint", Checkpoint: &s, Next: tc.next}), tc.want)
			i.Equal(f.Complete(), tc.want == reducer.Restored)
		})
	}
}
