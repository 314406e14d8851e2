package differ_test

import (
	"flag"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburntray/auburntray/internal/differ"
	"github.com/auburntray/auburntray/internal/parser"
)

// Fixes the seed, so that property tests are reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

func document(t *rapid.T, name string) *parser.Document {
	names := rapid.MapOf(rapid.StringMatching("[a-e]"), rapid.Float64Range(0, 3))
	d := &parser.Document{
		Targets: map[string]parser.Target{}, Customers: map[string]parser.Customer{}, Rules: map[string]parser.Rule{},
	}

	for k, w := range names.Draw(t, name+"Customers") {
		d.Customers[k] = parser.Customer{Weight: w}
	}

	for k, w := range names.Draw(t, name+"Targets") {
		d.Targets[k] = parser.Target{Capacity: int(w), Drain: w > 1}
	}

	d.Limits.MaxLoadFactor = rapid.Float64Range(1, 2).Draw(t, name+"Limit")

	return d
}

// Guards against differences that lose a part of the published document: a difference applied to its base must
// result in that document.
func TestApplyRestoresDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := document(t, "a"), document(t, "b")
		c := differ.Diff(a, b)

		if o := differ.Apply(a, c); !reflect.DeepEqual(o, b) {
			t.Fatalf("got document %+v, want %+v", o, b)
		}

		if c.Empty() != reflect.DeepEqual(a, b) {
			t.Fatalf("Empty is %v", c.Empty())
		}

		if c.Empty() != (len(c.Lines()) == 0) {
			t.Fatalf("Lines is %q", c.Lines())
		}
	})
}

func TestLines(t *testing.T) {
	i := is.New(t)
	a := &parser.Document{Customers: map[string]parser.Customer{"old": {}, "same": {}}}
	b := &parser.Document{Customers: map[string]parser.Customer{"new": {Weight: 2}, "same": {}}}
	i.Equal(differ.Diff(a, b).Lines(), []string{"remove customer old", "set customer new {Weight:2 Labels:map[]}"})
}
