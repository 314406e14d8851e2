package compactor_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/compactor"
)

func record(n int) []byte {
	return fmt.Appendf(nil, `{"service":"huvo11a","address":"10.%d.%d.%d:8080","zone":"ikeja","version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"models":[{"name":"m","version":1}],"sequence":%d}`,
		n>>16, n>>8&255, n&255, n)
}

func TestValuesAreRestored(t *testing.T) {
	c := compactor.New()

	for name, v := range map[string]string{
		"empty":             "",
		"text":              "abc",
		"number":            "18446744073709551615",
		"longer number":     "184467440737095516150000123",
		"largest 19 digits": "9999999999999999999",
		"leading zeros":     "a007b0c00",
		"numbers at ends":   "1a2",
		"zero byte":         "a\x00b1",
		"invalid UTF-8":     "\xff1\xfe",
		"negative, float":   "-1.50e3",
		"record":            string(record(70000)),
		"too long":          strings.Repeat("a1", 5000),
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(string(c.Unpack(c.Pack([]byte(v)))), v)
		})
	}
}

// Guards against ten thousand records that take a hundred bytes each.
func TestSimilarValuesAreShort(t *testing.T) {
	i := is.New(t)
	c := compactor.New()
	n := 0

	for k := range 10_000 {
		p := c.Pack(record(k))
		n += len(p)
		i.Equal(c.Unpack(p), record(k))
	}

	i.True(n <= 10_000*24)
}

// Guards against templates without bound: values of which no two are similar are stored as they are.
func TestTemplatesAreBounded(t *testing.T) {
	i := is.New(t)
	c := compactor.New()
	l := make([]compactor.Value, 1000)

	for k := range l {
		l[k] = c.Pack([]byte(strings.Repeat("x", k)))
	}

	for k, p := range l {
		i.Equal(len(c.Unpack(p)), k)
	}

	i.Equal(len(l[999]), 1000) // As it is, and its index.
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte("a1b"))
	f.Fuzz(func(t *testing.T, v []byte) {
		c := compactor.New()
		if p := c.Unpack(c.Pack(v)); string(p) != string(v) {
			t.Fatalf("%q became %q", v, p)
		}
	})
}

func BenchmarkPack(b *testing.B) {
	c := compactor.New()
	r := record(70000)

	for b.Loop() {
		c.Pack(r)
	}
}
