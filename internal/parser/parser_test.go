package parser_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/parser"
)

const valid = `{
  "targets": {"e1": {"address": "127.0.0.1:7000", "kind": "engine", "region": "r", "dataCentre": "d", "capacity": 4, "labels": {"app": "a"}}},
  "customers": {"c": {"weight": 2}},
  "rules": {"r": {"targets": "app=a", "traffic": "model in (x,y)", "pathPrefix": "/v1"}},
  "limits": {"maxLoadFactor": 1.3}
}`

func TestParse(t *testing.T) {
	for name, tc := range map[string]struct {
		replace, by string
		want        []string
	}{
		"valid":                    {"", "", nil},
		"invalid JSON":             {"{", "", []string{"reading the document"}},
		"unknown field":            {`"weight"`, `"wieght"`, []string{"wieght"}},
		"trailing text":            {"1.3}\n}", "1.3}\n} x", []string{"follows"}},
		"host name as address":     {"127.0.0.1:7000", "localhost:7000", []string{"targets[e1].address", "IP number"}},
		"unknown kind":             {`"engine"`, `"engin"`, []string{"targets[e1].kind", "oneof=engine service"}},
		"capacity of zero":         {`"capacity": 4`, `"capacity": 0`, []string{"targets[e1].capacity", "min=1"}},
		"invalid label":            {`"app": "a"`, `"app": "a b"`, []string{"targets[e1].labels"}},
		"invalid target selector":  {"app=a", "app in", []string{"rules[r].targets"}},
		"invalid traffic selector": {"model in (x,y)", "=", []string{"rules[r].traffic"}},
		"path without a slash":     {`"/v1"`, `"v1"`, []string{"rules[r].pathPrefix"}},
		"load factor below 1":      {"1.3", "0.9", []string{"limits.maxLoadFactor", "min=1.01"}},
		"negative weight":          {`"weight": 2`, `"weight": -2`, []string{"customers[c].weight"}},
		"several faults":           {`"region": "r", "dataCentre": "d", "capacity": 4`, `"capacity": 0`, []string{"targets[e1].region", "targets[e1].dataCentre", "targets[e1].capacity"}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			_, err := parser.Parse([]byte(strings.Replace(valid, tc.replace, tc.by, 1)))

			if tc.want == nil {
				i.NoErr(err)

				return
			}

			i.True(errors.Is(err, parser.ErrDocument))

			for _, w := range tc.want {
				i.True(strings.Contains(err.Error(), w)) // The message names the path and the allowed values.
			}
		})
	}
}

func TestParseSharedAddress(t *testing.T) {
	i := is.New(t)
	x := strings.Replace(valid, `"e1": {`, `"e2": {"address": "127.0.0.1:7000", "kind": "engine", "region": "r", "dataCentre": "d", "capacity": 4}, "e1": {`, 1)
	_, err := parser.Parse([]byte(x))
	i.True(err != nil && strings.Contains(err.Error(), "is also the address of"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"targets":null}`))
	f.Add([]byte(`{"rules":{"":{"targets":"!a"}}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := parser.Parse(b)
		if err == nil && parser.Check(d) != nil {
			t.Fatal("Parse accepted a document that Check refuses")
		}
	})
}
