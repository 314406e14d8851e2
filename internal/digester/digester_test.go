package digester_test

import (
	"bytes"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
)

func TestDigestsOfEqualCalls(t *testing.T) {
	type call struct {
		customer, method, uri, body string
	}

	b := call{customer: "c", method: "POST", uri: "/notes/1?x=2", body: "text"}

	for name, x := range map[string]struct {
		other call
		same  bool
	}{
		"repeated":             {b, true},
		"another customer":     {call{"d", b.method, b.uri, b.body}, false},
		"no customer":          {call{"", b.method, b.uri, b.body}, false},
		"another method":       {call{b.customer, "GET", b.uri, b.body}, false},
		"another path":         {call{b.customer, b.method, "/notes/2?x=2", b.body}, false},
		"another query":        {call{b.customer, b.method, "/notes/1?x=3", b.body}, false},
		"another body":         {call{b.customer, b.method, b.uri, "text "}, false},
		"no body":              {call{b.customer, b.method, b.uri, ""}, false},
		"shifted field bounds": {call{b.customer, "POS", "T/notes/1?x=2", b.body}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := digester.Of(b.customer, b.method, b.uri, []byte(b.body))
			is.New(t).Equal(d == digester.Of(x.other.customer, x.other.method, x.other.uri, []byte(x.other.body)), x.same)
		})
	}
}

// Guards against calls that are taken for parts of prompts, and parts for calls.
func TestDigestsOfParts(t *testing.T) {
	i := is.New(t)

	i.Equal(digester.OfPart("5c1e07a2"), digester.OfPart("5c1e07a2"))
	i.True(digester.OfPart("5c1e07a2") != digester.OfPart("91bd3f06"))
	i.True(digester.OfPart("").IsPart())
	i.True(digester.OfPart("5c1e07a2").IsPart())

	for n := range 1 << 18 { // One in 65,536 hashes has the mark of parts.
		if digester.Of("customer", "POST", strconv.Itoa(n), nil).IsPart() {
			t.Fatalf("the call %d has the digest of a part", n)
		}
	}
}

func TestParse(t *testing.T) {
	is.New(t).Equal(digester.Digest(0xab).String(), "00000000000000ab")

	for name, x := range map[string]struct {
		text string
		want digester.Digest
		ok   bool
	}{
		"valid":      {"00000000000000ab", 0xab, true},
		"too short":  {"ab", 0, false},
		"too long":   {"000000000000000ab", 0, false},
		"not hex":    {"00000000000000xy", 0, false},
		"empty":      {"", 0, false},
		"with signs": {"+0000000000000ab", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := digester.Parse(x.text)
			is.Equal(d, x.want)
			is.Equal(err == nil, x.ok)
			is.Equal(errors.Is(err, digester.ErrDigest), !x.ok)
		})
	}
}

func BenchmarkOf(b *testing.B) {
	for name, n := range map[string]int{"1KB": 1 << 10, "64KB": 64 << 10} {
		b.Run(name, func(b *testing.B) {
			x := bytes.Repeat([]byte{'x'}, n)
			b.SetBytes(int64(n))
			b.ReportAllocs()

			for b.Loop() {
				digester.Of("customer", "POST", "/path/1", x)
			}
		})
	}
}
