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

// Guards against an append that is reported as failed although it may be in the log: a
// call would be sent although its key may be claimed, or a change would be reported as not
// made although it may be in force. ErrDown is permitted only where the append certainly
// had no effect.
func TestAppendErrors(t *testing.T) {
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
		"too many requests": {answer(429, ""), recorder.ErrDown},
		"internal error":    {answer(500, ""), recorder.ErrUncertain},
		"connection closed": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, recorder.ErrUncertain},
		"time-out":          {func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body); <-r.Context().Done() }, recorder.ErrUncertain},
		"truncated answer":  {answer(200, `{"offs`), recorder.ErrUncertain},
		"bad request":       {answer(400, "what?"), recorder.ErrAnswer},
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
	i.True(errors.Is(err, recorder.ErrDown)) // The connection was refused.
}
