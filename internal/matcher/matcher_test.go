package matcher_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
)

// document returns a document with n targets in each of the given data centres of a region.
func document(n int, centres ...string) *parser.Document {
	d := &parser.Document{
		Targets:   make(map[string]parser.Target),
		Customers: map[string]parser.Customer{"gold": {Weight: 3, Labels: map[string]string{"tier": "gold"}}, "tin": {}},
		Rules:     map[string]parser.Rule{"all": {Order: 9, Targets: "app=a", Traffic: "model=m"}},
	}

	for c, x := range centres {
		for k := range n {
			d.Targets[x+"-"+strconv.Itoa(k)] = parser.Target{
				Address: fmt.Sprintf("10.%d.0.%d:80", c, k), Kind: parser.KindEngine, Region: "r", DataCentre: x, Capacity: 8,
				Labels: map[string]string{"app": "a", "half": strconv.Itoa(k % 2)},
			}
		}
	}

	return d
}

func TestMatch(t *testing.T) {
	d := document(2, "x")
	d.Rules["gold"] = parser.Rule{Order: 1, Targets: "half=0", Traffic: "tier=gold,model=m"}
	d.Rules["orders"] = parser.Rule{Order: 1, Targets: "half=1", PathPrefix: "/orders/", Traffic: "method=POST"}
	m := matcher.New(d)

	for name, tc := range map[string]struct {
		traffic matcher.Traffic
		want    string
	}{
		"by model":           {matcher.Traffic{Path: "/v1", Model: "m", Customer: "tin"}, "all"},
		"by customer labels": {matcher.Traffic{Path: "/v1", Model: "m", Customer: "gold"}, "gold"},
		"by path and method": {matcher.Traffic{Path: "/orders/1", Method: "POST", Customer: "tin"}, "orders"},
		"other method":       {matcher.Traffic{Path: "/orders/1", Method: "GET", Customer: "tin"}, ""},
		"no rule matches":    {matcher.Traffic{Path: "/v1", Model: "other"}, ""},
		"unknown customer":   {matcher.Traffic{Path: "/v1", Model: "m", Customer: "who"}, "all"},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			n := ""
			if r := m.Match(tc.traffic); r != nil {
				n = r.Name
			}

			i.Equal(n, tc.want)
		})
	}
}

func TestCells(t *testing.T) {
	for name, tc := range map[string]struct {
		document func() *parser.Document
		cells    int
	}{
		"small data centres share a cell of the region": {func() *parser.Document { return document(5, "w", "x", "y", "z") }, 1},
		"large data centres have their own cells":       {func() *parser.Document { return document(9, "x", "y") }, 2},
		"more targets than the limit are split":         {func() *parser.Document { return document(30, "x") }, 2},
		"a configured limit applies":                    {func() *parser.Document { d := document(30, "x"); d.Limits.CellTargets = 8; return d }, 4},
		"rules with a common target share a pool": {func() *parser.Document {
			d := document(4, "x")
			d.Rules["b"] = parser.Rule{Targets: "half=0"}
			return d
		}, 1},
		"rules without common targets have separate pools": {func() *parser.Document {
			d := document(4, "x")
			d.Rules = map[string]parser.Rule{"a": {Targets: "half=0"}, "b": {Targets: "half=1"}}

			return d
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			m := matcher.New(tc.document())
			l := m.Cells()
			i.Equal(len(l), tc.cells)

			// Every target belongs to exactly one cell; otherwise two homes would grant its slots.
			n := make(map[uint32]int)

			for _, c := range l {
				for _, x := range c.Targets {
					n[x.ID]++
				}
			}

			for _, k := range n {
				i.Equal(k, 1)
			}

			i.Equal(len(n), len(tc.document().Targets))
		})
	}
}

func TestRankedPrefersRegion(t *testing.T) {
	i := is.New(t)
	d := document(9, "x", "y")

	for n, x := range d.Targets {
		if x.DataCentre == "y" {
			x.Region = "other"
			d.Targets[n] = x
		}
	}

	m := matcher.New(d)
	r := m.Match(matcher.Traffic{Model: "m"})

	for k := range uint64(100) {
		l := m.Ranked(r, "r", k)
		i.Equal(len(l), 2)
		i.Equal(l[0].Region, "r") // The given region precedes the others.
	}

	i.Equal(len(m.Siblings(m.Cells()[0])), 0) // Cells of different regions are not siblings.
}

// BenchmarkNew indexes a document of the design size: 600 targets, 7,600 customers and 32
// rules.
func BenchmarkNew(b *testing.B) {
	d := designSize()

	for b.Loop() {
		matcher.New(d)
	}
}

// BenchmarkMatch finds a rule and ranks its cells in a document of the design size.
func BenchmarkMatch(b *testing.B) {
	m := matcher.New(designSize())

	for b.Loop() {
		r := m.Match(matcher.Traffic{Path: "/v1/chat/completions", Model: "m31", Customer: "c7"})
		m.Ranked(r, "r", 7)
	}
}

func designSize() *parser.Document {
	d := document(75, "a", "b", "c", "d", "e", "f", "g", "h")
	d.Limits.CellTargets = 8

	for k := range 7600 {
		d.Customers["c"+strconv.Itoa(k)] = parser.Customer{Weight: 1, Labels: map[string]string{"tier": "gold"}}
	}

	delete(d.Rules, "all")

	n := 0

	for k, x := range d.Targets {
		x.Labels = map[string]string{"model": "m" + strconv.Itoa(n%32)}
		d.Targets[k] = x
		n++
	}

	for k := range 32 {
		m := "model=m" + strconv.Itoa(k)
		d.Rules["r"+strconv.Itoa(k)] = parser.Rule{Order: k, Traffic: m, Targets: m}
	}

	return d
}
