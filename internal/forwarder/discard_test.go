package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against calls that were given up and reach targets seconds later, as the system still delivers what it holds of them.
func TestCallThatWasGivenUpIsDiscarded(t *testing.T) {
	for name, x := range map[string]struct {
		path string
		// patience is how long the caller waits; zero means until it has an answer.
		patience time.Duration
		other    func(n net.Conn, s received)
	}{
		"another target took it":             {path: "/idempotent/", other: answerOK},
		"another target took the stream":     {path: "/resumable/", other: answerEvents(5)},
		"the caller has left":                {path: "/idempotent/", patience: 50 * time.Millisecond, other: answerOK},
		"the caller of a once-call has left": {path: "/once/", patience: 50 * time.Millisecond, other: answerOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ends := make(chan error, 1)
			a := &target{early: func(n net.Conn, _ received) {
				_, err := io.Copy(io.Discard, n)
				ends <- err
			}}
			g := newGatewayWithDialer(t, &unboundedDialer{}, a, &target{answer: x.other})

			c, stop := context.WithCancel(t.Context())
			defer stop()

			if x.patience > 0 {
				time.AfterFunc(x.patience, stop)
			}

			o := g.callWith(t, c, http.MethodPost, x.path, "prompt")
			is.Equal(o.err == nil, x.patience == 0)
			is.True(errors.Is(<-ends, syscall.ECONNRESET))
		})
	}
}
