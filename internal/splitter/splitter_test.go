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
			s := splitter.New(strings.NewReader(x.stream))

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
		s := splitter.New(strings.NewReader(v))

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
