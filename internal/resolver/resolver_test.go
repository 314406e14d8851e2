package resolver_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"github.com/auburntray/auburntray/internal/resolver"
)

func TestRead(t *testing.T) {
	for name, tc := range map[string]struct {
		args  []string
		env   map[string]string
		check func(r resolver.Router) bool
		err   []string
	}{
		"defaults":                    {nil, nil, func(r resolver.Router) bool { return r.Deadline == 120*time.Second }, nil},
		"flag":                        {[]string{"--deadline", "5s"}, nil, func(r resolver.Router) bool { return r.Deadline == 5*time.Second }, nil},
		"environment":                 {nil, map[string]string{"AUBURNTRAY_DATA_CENTRE": "yaba"}, func(r resolver.Router) bool { return r.DataCentre == "yaba" }, nil},
		"flag overrides environment":  {[]string{"--name", "a"}, map[string]string{"AUBURNTRAY_NAME": "b"}, func(r resolver.Router) bool { return r.Name == "a" }, nil},
		"host name as address":        {[]string{"--listen", "localhost:80"}, nil, nil, []string{"--listen", `"localhost:80"`, "an IP number and a port"}},
		"out of bounds":               {[]string{"--max-body", "1"}, nil, nil, []string{"--max-body", "1024 to"}},
		"not a number":                {[]string{"--trace-sample", "NaN"}, nil, nil, []string{"--trace-sample", "0 to 1"}},
		"missing file":                {[]string{"--caller-cert", "/nowhere"}, nil, nil, []string{"--caller-cert", "PEM"}},
		"claim window below deadline": {[]string{"--claim-window", "5m"}, nil, nil, []string{"--claim-window", "--max-deadline"}},
		"certificate without key":     {[]string{"--caller-cert", "resolver_test.go"}, nil, nil, []string{"--caller-key"}},
		"several faults":              {[]string{"--name", "", "--deadline", "x", "--seeds", "y"}, nil, nil, []string{"--name", "--deadline", "--seeds"}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			for k, v := range tc.env {
				t.Setenv(k, v)
			}

			var r resolver.Router

			f := pflag.NewFlagSet("test", pflag.ContinueOnError)
			r.Table().AddFlags(f)
			i.NoErr(f.Parse(tc.args))

			err := r.Read(f)
			if tc.err == nil {
				i.NoErr(err)
				i.True(tc.check(r))

				return
			}

			i.True(errors.Is(err, resolver.ErrSetting))

			for _, w := range tc.err {
				i.True(strings.Contains(err.Error(), w))
			}
		})
	}
}

func TestPageIsCurrent(t *testing.T) {
	i := is.New(t)

	b, err := os.ReadFile("../../docs/SETTINGS.md")
	i.NoErr(err)

	var r resolver.Router

	i.Equal(string(b), r.Table().Page()) // Regenerate with: bin/auburntray settings > docs/SETTINGS.md
}
