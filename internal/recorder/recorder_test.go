package recorder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/recorder"
)

// Whether an append took effect decides whether a call may be sent or a change
// be called lost. Each way to fail must be told apart truly: only what surely
// had no effect is ErrDown.
func TestAppendTellsWhatIsKnown(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}

	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"appended":          {answer(200, `{"offset": 7}`), nil},
		"down":              {answer(503, ""), recorder.ErrDown},
		"too many":          {answer(429, ""), recorder.ErrDown},
		"failed inside":     {answer(500, ""), recorder.ErrUncertain},
		"cut":               {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, recorder.ErrUncertain},
		"slow":              {func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body); <-r.Context().Done() }, recorder.ErrUncertain},
		"half an answer":    {answer(200, `{"offs`), recorder.ErrUncertain},
		"not what we speak": {answer(400, "what?"), recorder.ErrAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s := httptest.NewServer(tc.handler)

			defer s.Close()

			r, stop := recorder.New(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), "dc")
			defer stop()

			c, end := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer end()

			o, err := r.Append(c, "s", [][]byte{[]byte("x")})
			if tc.want == nil {
				i.NoErr(err)
				i.Equal(o, uint64(7))

				return
			}

			i.True(errors.Is(err, tc.want))
		})
	}

	i := is.New(t)
	s := httptest.NewServer(nil)
	s.Close()

	r, stop := recorder.New(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), "dc")
	defer stop()

	_, err := r.Append(t.Context(), "s", [][]byte{[]byte("x")})
	i.True(errors.Is(err, recorder.ErrDown)) // nobody was there to act
}
