package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/standin/garbler"
)

// Guards against an answer that is not valid HTTP and that a caller gets as an answer, with another status or none, or is lost with its
// connection.
func TestInvalidStatuses(t *testing.T) {
	checkGarbled(t, garbler.Statuses)
}

// Guards against an answer with a name in its head that is not valid, and that a caller gets without that line, or with a body that is not the target's.
func TestInvalidNames(t *testing.T) {
	checkGarbled(t, garbler.Names)
}

// Guards against an answer of HTTP/1.0 with a transfer coding, which that does not know: a caller gets its chunks as its body.
func TestInvalidFramings(t *testing.T) {
	checkGarbled(t, garbler.Framings)
}

// checkGarbled checks that no caller gets any of the answers: calls that may be sent again are answered by another target, others get
// a refusal that does not claim that they were not run.
func checkGarbled(t *testing.T, answers func(fields string) map[string]string) {
	t.Helper()

	for name := range answers("") {
		for path, want := range map[string]struct {
			status int
			body   string
		}{
			"/once/x":       {http.StatusBadGateway, ""},
			"/idempotent/x": {http.StatusOK, "from t1"},
			"/resumable/x":  {http.StatusOK, events(1, 2)},
		} {
			t.Run(name+path, func(t *testing.T) {
				i := is.New(t)
				a := &target{answer: func(n net.Conn, s received) {
					_, _ = io.WriteString(n, answers("Id: " + s.header.Get("Id") + "\r\nSeal: " + s.target + "\r\n")[name])
					_ = n.Close()
				}}
				b := &target{answer: func(n net.Conn, s received) {
					if !strings.HasPrefix(s.path, "/resumable/") {
						answerOK(n, s)

						return
					}

					beginStream(n, s)
					chunk(n, events(1, 2))
					finishStream(n)
				}}

				o := newGateway(t, a, b).call(t, http.MethodPost, path, "x")
				i.NoErr(o.err)
				i.Equal(o.status, want.status)
				i.Equal(a.count(), 1)

				if want.body != "" {
					i.Equal(o.body, want.body)
				}
			})
		}
	}
}
