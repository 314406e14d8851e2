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
		"longest prefix":     {"a.example", "/x/y/z", "long"},
		"shorter prefix":     {"a.example", "/x/yy", "short"},
		"slash is needed":    {"a.example", "/x", ""},
		"other host":         {"c.example", "/x/y/z", ""},
		"host in any case":   {"A.Example", "/x/", "short"},
		"root takes any":     {"b.example", "/anything", "root"},
		"not of other hosts": {"a.example", "/anything", ""},
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

func TestRefused(t *testing.T) {
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

func TestCustomers(t *testing.T) {
	is := is.New(t)

	c, err := cataloger.New(cataloger.Document{Customers: []cataloger.Customer{{Name: "a", Keys: []string{"k1", "k2"}}}})
	is.NoErr(err)
	is.True(c.Keyed())

	u, ok := c.Customer("k2")
	is.True(ok)
	is.Equal(u.Name, "a")

	_, ok = c.Customer("")
	is.True(!ok)
}

func TestSharesSplitByWeightAndStayWithAKey(t *testing.T) {
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
