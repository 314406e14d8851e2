package splitter_test

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/splitter"
)

func TestNext(t *testing.T) {
	for name, x := range map[string]struct {
		stream string
		ids    []string
		err    error
	}{
		"two events":              {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		"empty stream":            {"", nil, io.EOF},
		"line before the ID":      {"x-version: 3\nid: 1\n\n", []string{"1"}, io.EOF},
		"no ID":                   {"data: a\n\n", []string{""}, io.EOF},
		"crlf":                    {"id:1\r\n\r\n", []string{"1"}, io.EOF},
		"truncated in a line":     {"id: 1\n\nid: 2\nda", []string{"1"}, splitter.ErrBroken},
		"truncated between lines": {"id: 1\n\nid: 2\n", []string{"1"}, splitter.ErrBroken},
		"too long":                {"data: " + strings.Repeat("x", 2<<20) + "\n\n", nil, splitter.ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := splitter.New(strings.NewReader(x.stream), func(int64) bool { return true })

			var all string

			for _, id := range x.ids {
				raw, got, err := s.Next()
				is.NoErr(err)
				is.Equal(got, id)

				all += string(raw)
			}

			_, _, err := s.Next()
			is.True(errors.Is(err, x.err))
			is.True(strings.HasPrefix(x.stream, all)) // Events are returned unchanged.
		})
	}
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Fuzz(func(t *testing.T, v string) {
		s := splitter.New(strings.NewReader(v), func(int64) bool { return true })

		var all strings.Builder

		for {
			raw, _, err := s.Next()
			if err != nil {
				break
			}

			all.Write(raw)
		}

		if !strings.HasPrefix(v, all.String()) {
			t.Errorf("%q became %q", v, all.String())
		}
	})
}

// endless is a stream of one line without end.
type endless struct{ read int }

func (e *endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}

	e.read += len(b)

	return len(b), nil
}

// Guards against a target that sends a line without end: the instance would hold all of it.
func TestLineWithoutEnd(t *testing.T) {
	for name, x := range map[string]struct {
		memory int64
		most   int
	}{
		"memory for it":    {1 << 40, 1<<20 + 8<<10},
		"no memory for it": {100 << 10, 128 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var (
				e    endless
				held int64
			)

			s := splitter.New(&e, func(n int64) bool {
				held += n

				return held <= x.memory
			})

			_, _, err := s.Next()
			is.True(errors.Is(err, splitter.ErrBroken))
			is.True(e.read <= x.most)
		})
	}
}
