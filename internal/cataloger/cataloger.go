// Package cataloger provides the catalog of a gateway: routing rules by host and path prefix,
// groups of targets, customers by their API keys, and limits on calls.
package cataloger

import (
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Group is a set of targets that serve the same calls.
type Group struct {
	Name string
	// ColdFor is how long a target is cold after its start, and ColdRate how many calls per second
	// a cold target can serve; a ColdRate of zero sets no bound.
	ColdFor  time.Duration
	ColdRate float64
}

// Customer is a customer with its API keys.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the priority of the rule.
	Priority int
	// HasPriority is set when the customer has a priority.
	HasPriority bool
	// Regions are the regions whose targets may run the customer's calls; nil means all, and an empty list none.
	Regions []string
}

// Limits bounds the calls and connections of callers. A zero field sets no bound.
type Limits struct {
	// MaxBody is the largest size of a request body in bytes.
	MaxBody int64
	// MaxHeader is the largest size of a call's headers in bytes.
	MaxHeader int64
	// HeaderTimeout is how long the headers may take to arrive after their first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may remain open between two calls.
	IdleTimeout time.Duration
}

// check returns an error if a limit is negative.
func (l Limits) check() error {
	if min(l.MaxBody, l.MaxHeader) < 0 || min(l.HeaderTimeout, l.IdleTimeout) < 0 {
		return errors.New("negative limit")
	}

	return nil
}

// Document is the content that a catalog is made from.
type Document struct {
	// Version rises with each change, not necessarily by one.
	Version   uint64
	Rules     []Rule
	Groups    []Group
	Customers []Customer
	// RequiresKey is set if callers need a key even if there are no customers: then nobody is admitted but by public rules.
	RequiresKey bool
	Limits      Limits
}

// Catalog is one version of the document, indexed. It is immutable and safe for concurrent
// use.
type Catalog struct {
	Version uint64
	Limits  Limits

	requiresKey bool
	// hosts holds the rules by host in lower case, those with the longest prefix first.
	hosts  map[string][]*Rule
	groups map[string]*Group
	// customers holds the customers by API key.
	customers map[string]*Customer
}

// New returns the catalog of a document. It fails with ErrCatalog if any entry is invalid, so
// a document takes effect as a whole or not at all.
func New(d Document) (*Catalog, error) {
	c := &Catalog{
		Version: d.Version, Limits: d.Limits, requiresKey: d.RequiresKey || len(d.Customers) > 0,
		hosts: make(map[string][]*Rule), groups: make(map[string]*Group), customers: make(map[string]*Customer),
	}

	for _, add := range []func() error{
		d.Limits.check,
		func() error { return c.addGroups(d.Groups) },
		func() error { return c.addRules(d.Rules) }, // After the groups, which rules refer to.
		func() error { return c.addCustomers(d.Customers) },
	} {
		if err := add(); err != nil {
			return nil, errors.Mark(err, ErrCatalog)
		}
	}

	return c, nil
}

func (c *Catalog) addGroups(l []Group) error {
	for i := range l {
		g := &l[i]
		if _, ok := c.groups[g.Name]; ok || g.Name == "" {
			return errors.Newf("group %q: name is empty or duplicate", g.Name)
		}

		if g.ColdFor < 0 || g.ColdRate < 0 {
			return errors.Newf("group %q: negative value", g.Name)
		}

		c.groups[g.Name] = g
	}

	return nil
}

func (c *Catalog) addRules(l []Rule) error {
	names := make(map[string]bool, len(l))

	for i := range l {
		r := &l[i]
		if names[r.Name] {
			return errors.Newf("rule %q: duplicate name", r.Name)
		}

		if err := c.checkRule(r); err != nil {
			return err
		}

		names[r.Name] = r.Name != ""
		h := strings.ToLower(r.Host)
		c.hosts[h] = append(c.hosts[h], r)
	}

	// Sorted by descending prefix length, so that the first match has the longest prefix.
	for _, l := range c.hosts {
		sort.SliceStable(l, func(a, b int) bool { return len(l[a].Prefix) > len(l[b].Prefix) })
	}

	return nil
}

// checkRule validates a rule and sets the default of its attempts.
func (c *Catalog) checkRule(r *Rule) error {
	if !strings.HasPrefix(r.Prefix, "/") {
		return errors.Newf("rule %q: prefix %q does not begin with a slash", r.Name, r.Prefix)
	}

	if min(r.Timeout, r.Latency, r.MaxEventGap) < 0 || min(r.Attempts, r.Priority) < 0 {
		return errors.Newf("rule %q: negative value", r.Name)
	}

	if len(r.Shares) == 0 {
		return errors.Newf("rule %q: no groups", r.Name)
	}

	for _, s := range r.Shares {
		if _, ok := c.groups[s.Group]; !ok {
			return errors.Newf("rule %q: unknown group %q", r.Name, s.Group)
		}

		if s.Weight < 0 {
			return errors.Newf("rule %q: negative weight of group %q", r.Name, s.Group)
		}
	}

	r.Attempts = max(r.Attempts, 1)

	return nil
}

// addCustomers indexes the customers by their keys.
//
// Keys must be unique, since callers of one customer could otherwise use up the share of
// another. Empty keys are invalid, since they would admit all callers without a key. The
// error contains no key, because it is logged.
func (c *Catalog) addCustomers(l []Customer) error {
	names := make(map[string]bool, len(l))

	for i := range l {
		u := &l[i]
		if names[u.Name] || u.Name == "" {
			return errors.Newf("customer %q: name is empty or duplicate", u.Name)
		}

		if u.Priority < 0 {
			return errors.Newf("customer %q: negative priority", u.Name)
		}

		names[u.Name] = true

		for _, k := range u.Keys {
			if o, ok := c.customers[k]; k == "" || ok && o != u {
				return errors.Newf("customer %q: key is empty or belongs to another customer", u.Name)
			}

			c.customers[k] = u
		}
	}

	return nil
}

// Match returns the rule of the host with the longest matching path prefix, and false when
// there is none.
func (c *Catalog) Match(host, path string) (*Rule, bool) {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}

	return nil, false
}

// Group returns the group of a name, and false when there is none.
func (c *Catalog) Group(name string) (*Group, bool) {
	g, ok := c.groups[name]

	return g, ok
}

// Customer returns the customer of a key, and false when there is none.
func (c *Catalog) Customer(key string) (*Customer, bool) {
	x, ok := c.customers[key]

	return x, ok
}

// RequiresKey reports whether callers need a key. They do when the document says so or has customers, even if
// no customer has a key: the removal of the last key, or of the last customer, must not admit all callers.
func (c *Catalog) RequiresKey() bool {
	return c.requiresKey
}

// Keys returns the number of API keys.
func (c *Catalog) Keys() int {
	return len(c.customers)
}
