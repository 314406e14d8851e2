// Package matcher finds the rule that applies to a request, and the cells of targets that the
// rule selects.
package matcher

import (
	"maps"
	"net/netip"
	"sort"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/parser"
)

// Labels of a request that the traffic selector of a rule may use, in addition to the labels
// of the customer.
const (
	LabelModel    = "model"
	LabelMethod   = "method"
	LabelCustomer = "customer"
)

// Traffic holds the properties of a request that rules match.
type Traffic struct {
	Path     string
	Method   string
	Model    string
	Customer string
}

// Target is a target of the document with its name, identifier and parsed address.
type Target struct {
	parser.Target

	Name    string
	ID      uint32
	Address netip.AddrPort
}

// Rule is a rule of the document with its selectors parsed.
type Rule struct {
	parser.Rule

	Name string
	ID   uint32
	// Targets are the selected targets, sorted by name.
	Targets []*Target
	traffic labels.Selector
	pool    string
	// cells are the cells with targets of the rule, by region.
	cells map[string][]*Cell
}

// Matcher is an index of one revision of the document. It is immutable, and therefore safe
// for concurrent use.
type Matcher struct {
	document *parser.Document
	rules    []*Rule
	byID     map[uint32]*Rule
	targets  map[uint32]*Target
	cells    map[uint32]*Cell
	// sortedCells are all cells, sorted by name.
	sortedCells []*Cell
	// weights are the weights of the customers by the hash of their names.
	weights map[uint32]float64
}

// New returns a Matcher for a validated document. Targets and rules that cannot be parsed
// are ignored.
func New(d *parser.Document) *Matcher {
	m := &Matcher{
		document: d,
		byID:     make(map[uint32]*Rule, len(d.Rules)),
		targets:  make(map[uint32]*Target, len(d.Targets)),
		cells:    make(map[uint32]*Cell),
		weights:  make(map[uint32]float64, len(d.Customers)),
	}

	for n, c := range d.Customers {
		m.weights[hasher.Name(n)] = c.EffectiveWeight()
	}

	t := parseTargets(d)
	for _, x := range t {
		m.targets[x.ID] = x
	}

	m.rules = parseRules(d, t)
	for _, r := range m.rules {
		m.byID[r.ID] = r
	}

	mergePools(m.rules)
	m.partition()

	return m
}

// Match returns the first rule that selects the traffic, or nil if there is none.
func (m *Matcher) Match(t Traffic) *Rule {
	s := labels.Set{LabelModel: t.Model, LabelMethod: t.Method, LabelCustomer: t.Customer}
	maps.Copy(s, m.document.Customers[t.Customer].Labels)

	for _, r := range m.rules {
		if strings.HasPrefix(t.Path, r.PathPrefix) && r.traffic.Matches(s) {
			return r
		}
	}

	return nil
}

// HasCustomer reports whether the document contains a customer.
func (m *Matcher) HasCustomer(customer string) bool {
	_, ok := m.document.Customers[customer]

	return ok
}

// Rule returns the rule with an identifier, or nil if there is none.
func (m *Matcher) Rule(id uint32) *Rule {
	return m.byID[id]
}

// Target returns the target with an identifier, or nil if there is none.
func (m *Matcher) Target(id uint32) *Target {
	return m.targets[id]
}

// Cell returns the cell with an identifier, or nil if there is none.
func (m *Matcher) Cell(id uint32) *Cell {
	return m.cells[id]
}

// Weight returns the weight of a customer, given by the hash of its name, or
// parser.DefaultWeight if the customer is unknown.
func (m *Matcher) Weight(customer uint32) float64 {
	if w, ok := m.weights[customer]; ok {
		return w
	}

	return parser.DefaultWeight
}

// Limits returns the document's limits.
func (m *Matcher) Limits() parser.Limits {
	return m.document.Limits
}

func parseTargets(d *parser.Document) []*Target {
	t := make([]*Target, 0, len(d.Targets))

	for n, x := range d.Targets {
		a, err := netip.ParseAddrPort(x.Address)
		if err != nil {
			continue
		}

		t = append(t, &Target{Target: x, Name: n, ID: hasher.Name(n), Address: a})
	}

	sort.Slice(t, func(a, b int) bool { return t[a].Name < t[b].Name })

	return t
}

// parseRules returns the rules in the order in which they are matched.
func parseRules(d *parser.Document, t []*Target) []*Rule {
	r := make([]*Rule, 0, len(d.Rules))

	for n, x := range d.Rules {
		s, err := labels.Parse(x.Targets)
		if err != nil {
			continue
		}

		f, err := labels.Parse(x.Traffic)
		if err != nil {
			continue
		}

		r = append(r, &Rule{Rule: x, Name: n, ID: hasher.Name(n), traffic: f, Targets: selectTargets(t, s)})
	}

	sort.Slice(r, func(a, b int) bool {
		if r[a].Order != r[b].Order {
			return r[a].Order < r[b].Order
		}

		return r[a].Name < r[b].Name
	})

	return r
}

func selectTargets(t []*Target, s labels.Selector) []*Target {
	var o []*Target

	for _, x := range t {
		if s.Matches(labels.Set(x.Labels)) {
			o = append(o, x)
		}
	}

	return o
}
