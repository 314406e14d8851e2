package filterer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/filterer"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/sender"
)

// breakingTarget is a target whose streams are interrupted. The first resumes fail with the
// errors of errs; later ones return the rest of the stream.
type breakingTarget struct {
	errs    []error
	resumes int
}

func (*breakingTarget) Send(context.Context, *exchanger.Exchange) (*http.Response, error) {
	return nil, sender.ErrNeverSent
}

func (*breakingTarget) Cancel(*exchanger.Exchange) {}

func (*breakingTarget) MayHaveEnded(context.Context, netip.AddrPort) bool { return false }

func (b *breakingTarget) Resume(_ context.Context, _ *exchanger.Exchange, offset int) (*http.Response, error) {
	b.resumes++

	if len(b.errs) > 0 {
		err := b.errs[0]
		b.errs = b.errs[1:]

		return nil, err
	}

	return response(http.StatusOK, events(offset, 3)+"data: [DONE]\n\n", http.Header{}), nil
}

// events returns the events of the tokens with the offsets in the range [from, to).
func events(from, to int) string {
	var b strings.Builder

	for n := from; n < to; n++ {
		fmt.Fprintf(&b, "data: {\"id\":\"call-1\",\"choices\":[{\"delta\":{\"content\":\"%d \"}}]}\n\n", n)
	}

	return b.String()
}

// Guards against streams that fail permanently because of one failed dial: an engine
// interrupts a stream and is too busy to accept the connection for the resume, but accepts
// one a moment later.
func TestStreamIsResumedAfterADialThatFailed(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)

	never, gone := sender.ErrNeverSent, sender.ErrBroken

	for name, tc := range map[string]struct {
		errs     []error
		resumes  int
		counted  int64
		complete bool
	}{
		"resumed at the first attempt":                   {nil, 1, 1, true},
		"no connection, then resumed":                    {[]error{never}, 2, 1, true},
		"no connection twice, then resumed":              {[]error{never, never}, 3, 1, true},
		"no connection, maximum of resumes":              {[]error{never, never, never}, 3, 0, false},
		"stream no longer available":                     {[]error{gone}, 1, 0, false},
		"no connection, then stream no longer available": {[]error{never, gone}, 2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				b, n, w := &breakingTarget{errs: tc.errs}, counter.New(), httptest.NewRecorder()

				x := &exchanger.Exchange{
					Writer: w, Request: httptest.NewRequest(http.MethodPost, "/", nil), ID: "call", Attempt: 1, ChatCompletion: true, Target: &matcher.Target{},
					Response: &http.Response{
						StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
						Body: io.NopCloser(io.MultiReader(strings.NewReader(events(0, 1)), brokenReader{})),
					},
				}

				err := filterer.Relay{Targets: b, Counter: n}.Apply(t.Context(), x)
				i.Equal(err == nil, tc.complete)
				i.Equal(b.resumes, tc.resumes)
				i.Equal(n.Get(counter.Resumed), tc.counted)
				i.Equal(strings.HasSuffix(w.Body.String(), events(1, 3)+"data: [DONE]\n\n"), tc.complete)
			})
		})
	}
}
