// Package differ finds and applies the differences between two documents.
//
// A change is transmitted as the entries that it sets and removes, not as the
// complete document: with 7,600 customers a document is about a megabyte. At 540
// changes a day, complete documents would be most of an instance's control traffic.
package differ

import (
	"fmt"
	"maps"
	"reflect"
	"sort"

	"github.com/auburntray/auburntray/internal/parser"
)

// Change is the difference between two documents. The zero Change changes
// nothing.
type Change struct {
	SetTargets      map[string]parser.Target   `json:"setTargets,omitempty"`
	SetCustomers    map[string]parser.Customer `json:"setCustomers,omitempty"`
	SetRules        map[string]parser.Rule     `json:"setRules,omitempty"`
	RemoveTargets   []string                   `json:"removeTargets,omitempty"`
	RemoveCustomers []string                   `json:"removeCustomers,omitempty"`
	RemoveRules     []string                   `json:"removeRules,omitempty"`
	Limits          *parser.Limits             `json:"limits,omitempty"`
}

// Diff returns the change that turns one document into another. It is safe for
// concurrent use.
func Diff(a, b *parser.Document) Change {
	var c Change

	c.SetTargets, c.RemoveTargets = diff(a.Targets, b.Targets)
	c.SetCustomers, c.RemoveCustomers = diff(a.Customers, b.Customers)
	c.SetRules, c.RemoveRules = diff(a.Rules, b.Rules)

	if a.Limits != b.Limits {
		l := b.Limits
		c.Limits = &l
	}

	return c
}

// Apply returns the document that results from a change and leaves the given
// document unmodified. It is safe for concurrent use.
func Apply(d *parser.Document, c Change) *parser.Document {
	n := &parser.Document{
		Targets:   apply(d.Targets, c.SetTargets, c.RemoveTargets),
		Customers: apply(d.Customers, c.SetCustomers, c.RemoveCustomers),
		Rules:     apply(d.Rules, c.SetRules, c.RemoveRules),
		Limits:    d.Limits,
	}

	if c.Limits != nil {
		n.Limits = *c.Limits
	}

	return n
}

// Empty reports whether a change sets and removes nothing.
func (c Change) Empty() bool {
	return reflect.DeepEqual(c, Change{})
}

// Lines returns the change in readable form, one line per entry. The order is
// deterministic.
func (c Change) Lines() []string {
	var l []string

	l = append(l, lines("target", c.SetTargets, c.RemoveTargets)...)
	l = append(l, lines("customer", c.SetCustomers, c.RemoveCustomers)...)
	l = append(l, lines("rule", c.SetRules, c.RemoveRules)...)

	if c.Limits != nil {
		l = append(l, fmt.Sprintf("set limits %+v", *c.Limits))
	}

	return l
}

func diff[V any](a, b map[string]V) (map[string]V, []string) {
	var (
		s map[string]V
		r []string
	)

	for n, v := range b {
		if o, ok := a[n]; ok && reflect.DeepEqual(o, v) {
			continue
		}

		if s == nil {
			s = make(map[string]V)
		}

		s[n] = v
	}

	for n := range a {
		if _, ok := b[n]; !ok {
			r = append(r, n)
		}
	}

	sort.Strings(r)

	return s, r
}

func apply[V any](m, s map[string]V, r []string) map[string]V {
	o := make(map[string]V, len(m)+len(s))

	maps.Copy(o, m)
	maps.Copy(o, s)

	for _, n := range r {
		delete(o, n)
	}

	return o
}

func lines[V any](kind string, s map[string]V, r []string) []string {
	l := make([]string, 0, len(s)+len(r))

	for n, v := range s {
		l = append(l, fmt.Sprintf("set %s %s %+v", kind, n, v))
	}

	for _, n := range r {
		l = append(l, fmt.Sprintf("remove %s %s", kind, n))
	}

	sort.Strings(l)

	return l
}
