package cataloger_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/cataloger"
)

func rule(name, host, prefix string, groups ...string) cataloger.Rule {
	r := cataloger.Rule{Name: name, Host: host, Prefix: prefix}
	for _, g := range groups {
		r.Shares = append(r.Shares, cataloger.Share{Group: g, Weight: 1})
	}

	return r
}

func TestMatch(t *testing.T) {
	c, err := cataloger.New(cataloger.Document{
		Groups: []cataloger.Group{{Name: "g"}},
		Rules: []cataloger.Rule{
			rule("short", "a.example", "/x/", "g"),
			rule("long", "a.example", "/x/y/", "g"),
			rule("root", "b.example", "/", "g"),
		},
	})
	if err != nil {
		t.Fatal(err)
	}

	for name, x := range map[string]struct{ host, path, want string }{
		"longest prefix":      {"a.example", "/x/y/z", "long"},
		"shorter prefix":      {"a.example", "/x/yy", "short"},
		"no trailing slash":   {"a.example", "/x", ""},
		"unknown host":        {"c.example", "/x/y/z", ""},
		"host in upper case":  {"A.Example", "/x/", "short"},
		"root prefix":         {"b.example", "/anything", "root"},
		"other host's prefix": {"a.example", "/anything", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			r, ok := c.Match(x.host, x.path)
			is.Equal(ok, x.want != "")

			if ok {
				is.Equal(r.Name, x.want)
			}
		})
	}
}

func TestInvalidRules(t *testing.T) {
	for name, r := range map[string]cataloger.Rule{
		"prefix without a slash": rule("r", "h", "x/", "g"),
		"no group":               rule("r", "h", "/"),
		"unknown group":          rule("r", "h", "/", "other"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			_, err := cataloger.New(cataloger.Document{Groups: []cataloger.Group{{Name: "g"}}, Rules: []cataloger.Rule{r}})
			is.True(errors.Is(err, cataloger.ErrCatalog))
		})
	}
}

// Guards against documents with correct types and invalid values, which would admit callers
// as another customer or without a key, or time out calls at once. Such a document is
// rejected as a whole.
func TestInvalidValues(t *testing.T) {
	type document = cataloger.Document

	first := func(f func(r *cataloger.Rule)) func(d *document) {
		return func(d *document) { f(&d.Rules[0]) }
	}

	for name, x := range map[string]struct {
		change  func(d *document)
		invalid bool
	}{
		"valid":                      {func(*document) {}, false},
		"zero attempts":              {first(func(r *cataloger.Rule) { r.Attempts = 0 }), false},
		"rules without names":        {func(d *document) { d.Rules[0].Name, d.Rules[1].Name = "", "" }, false},
		"key twice in customer":      {func(d *document) { d.Customers[0].Keys = []string{"k1", "k1"} }, false},
		"duplicate group":            {func(d *document) { d.Groups = append(d.Groups, d.Groups[0]) }, true},
		"group without a name":       {func(d *document) { d.Groups = append(d.Groups, cataloger.Group{}) }, true},
		"duplicate rule":             {func(d *document) { d.Rules[1].Name = d.Rules[0].Name }, true},
		"negative weight":            {first(func(r *cataloger.Rule) { r.Shares[0].Weight = -1 }), true},
		"negative attempts":          {first(func(r *cataloger.Rule) { r.Attempts = -1 }), true},
		"negative rule priority":     {first(func(r *cataloger.Rule) { r.Priority = -1 }), true},
		"negative timeout":           {first(func(r *cataloger.Rule) { r.Timeout = -1 }), true},
		"negative latency":           {first(func(r *cataloger.Rule) { r.Latency = -1 }), true},
		"negative event gap":         {first(func(r *cataloger.Rule) { r.MaxEventGap = -1 }), true},
		"negative body size":         {func(d *document) { d.Limits.MaxBody = -1 }, true},
		"negative header size":       {func(d *document) { d.Limits.MaxHeader = -1 }, true},
		"negative header time":       {func(d *document) { d.Limits.HeaderTimeout = -1 }, true},
		"negative idle time":         {func(d *document) { d.Limits.IdleTimeout = -1 }, true},
		"duplicate customer":         {func(d *document) { d.Customers[1].Name = "a" }, true},
		"customer without name":      {func(d *document) { d.Customers[1].Name = "" }, true},
		"key of two customers":       {func(d *document) { d.Customers[1].Keys = []string{"k2", "k1"} }, true},
		"empty key":                  {func(d *document) { d.Customers[1].Keys = []string{""} }, true},
		"negative customer priority": {func(d *document) { d.Customers[1].Priority = -1 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := document{
				Groups:    []cataloger.Group{{Name: "g"}},
				Rules:     []cataloger.Rule{rule("r1", "h", "/x/", "g"), rule("r2", "h", "/y/", "g")},
				Customers: []cataloger.Customer{{Name: "a", Keys: []string{"k1"}}, {Name: "b", Keys: []string{"k2"}}},
			}
			x.change(&d)

			c, err := cataloger.New(d)
			is.Equal(errors.Is(err, cataloger.ErrCatalog), x.invalid)
			is.Equal(c == nil, x.invalid)
		})
	}
}

// Guards against callers that are admitted without a key once the last key of the last customer
// is removed: a catalog without keys must not count as one without customers.
func TestCustomersWithoutKeysAdmitNobody(t *testing.T) {
	is := is.New(t)

	c, err := cataloger.New(cataloger.Document{Customers: []cataloger.Customer{{Name: "a"}}})
	is.NoErr(err)
	is.True(c.RequiresKey())
}

// Guards against callers that are admitted without a key once the last customer is removed.
func TestKeyRequiredWithoutCustomers(t *testing.T) {
	is := is.New(t)

	c, err := cataloger.New(cataloger.Document{RequiresKey: true})
	is.NoErr(err)
	is.True(c.RequiresKey())
	is.Equal(c.Keys(), 0)

	c, err = cataloger.New(cataloger.Document{})
	is.NoErr(err)
	is.True(!c.RequiresKey())
}

func TestCustomers(t *testing.T) {
	is := is.New(t)

	c, err := cataloger.New(cataloger.Document{Customers: []cataloger.Customer{{Name: "a", Keys: []string{"k1", "k2"}}}})
	is.NoErr(err)
	is.True(c.RequiresKey())

	u, ok := c.Customer("k2")
	is.True(ok)
	is.Equal(u.Name, "a")

	_, ok = c.Customer("")
	is.True(!ok)
}

func TestSharesSplitByWeightAndKey(t *testing.T) {
	is := is.New(t)
	r := cataloger.Rule{Shares: []cataloger.Share{{Group: "a", Weight: 90}, {Group: "b", Weight: 10}}}
	n := map[string]int{}

	for k := range uint64(1000) {
		g := r.Group(k)
		n[g]++

		is.Equal(r.Group(k), g)
	}

	is.Equal(n["a"], 900)
	is.Equal(n["b"], 100)

	none := cataloger.Rule{Shares: []cataloger.Share{{Group: "a"}}}
	is.Equal(none.Group(7), "a")
}

func TestRepeatable(t *testing.T) {
	for name, x := range map[string]struct {
		rule cataloger.Rule
		want bool
	}{
		"once":             {cataloger.Rule{Kind: cataloger.Once, Resumable: true}, false},
		"idempotent":       {cataloger.Rule{Kind: cataloger.Idempotent}, true},
		"stream":           {cataloger.Rule{Kind: cataloger.Stream}, false},
		"resumable stream": {cataloger.Rule{Kind: cataloger.Stream, Resumable: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(x.rule.Repeatable(), x.want)
		})
	}
}
