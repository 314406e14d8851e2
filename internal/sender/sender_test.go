package sender_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/sender"
)

func TestNext(t *testing.T) {
	for name, tc := range map[string]struct {
		body string
		want sender.Event
		err  bool
	}{
		"token":                   {"data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\n", sender.Event{ID: "a", Content: true, Text: "hi"}, false},
		"empty delta":             {"data: {\"id\":\"a\",\"choices\":[{\"delta\":{}}]}\n\n", sender.Event{ID: "a"}, false},
		"usage":                   {"data: {\"usage\":{\"prompt_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n", sender.Event{PromptTokens: 9, CachedTokens: 4}, false},
		"end of the answer":       {"data: [DONE]\n\n", sender.Event{Done: true}, false},
		"comment":                 {": still here\n\n", sender.Event{}, false},
		"CRLF line ends":          {"data: [DONE]\r\n\r\n", sender.Event{Done: true}, false},
		"truncated in a line":     {"data: [DO", sender.Event{}, true},
		"truncated between lines": {"data: [DONE]\n", sender.Event{}, true},
		"too long":                {"data: " + strings.Repeat("x", 2<<20) + "\n\n", sender.Event{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			e, err := sender.NewEventReader(strings.NewReader(tc.body), nil).Next()

			if tc.err {
				i.True(errors.Is(err, sender.ErrBroken))

				return
			}

			i.NoErr(err)
			i.Equal(string(e.Raw), tc.body)

			e.Raw = nil
			i.Equal(e, tc.want)
		})
	}
}

// Guards against callers receiving the load and incarnation that targets report to
// the router, or header fields of the connection to the target.
func TestCopyAnswerHeader(t *testing.T) {
	i := is.New(t)
	h := http.Header{}
	sender.CopyAnswerHeader(h, http.Header{
		"Content-Type": {"a"}, "Connection": {"X-Own, close"}, "X-Own": {"1"}, "Transfer-Encoding": {"chunked"},
		"X-Load-Requests": {"3"}, "X-Incarnation": {"5"}, "Set-Cookie": {"a", "b"},
	})
	i.Equal(h, http.Header{"Content-Type": {"a"}, "Set-Cookie": {"a", "b"}})
}

func TestParseHealth(t *testing.T) {
	for name, tc := range map[string]struct {
		header      http.Header
		requests    int
		incarnation uint64
		leaving     bool
	}{
		"all fields": {http.Header{"X-Load-Requests": {"3"}, "X-Incarnation": {"5"}, "X-Leaving": {"true"}}, 3, 5, true},
		"none":       {http.Header{}, -1, 0, false},
		"malformed":  {http.Header{"X-Load-Requests": {"-3"}, "X-Incarnation": {"x"}, "X-Leaving": {"true"}}, -1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := sender.ParseHealth(tc.header)
			i.Equal(r.Requests, tc.requests)
			i.Equal(r.State.Incarnation, tc.incarnation)
			i.Equal(r.State.Leaving, tc.leaving)
		})
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := sender.NewEventReader(strings.NewReader(string(b)), nil)
		n := 0

		for {
			x, err := e.Next()
			if err != nil {
				break
			}

			n += len(x.Raw)
		}

		if n > len(b) {
			t.Fatalf("read %d of %d bytes", n, len(b))
		}
	})
}
