package router_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/standin/garbler"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

// Guards against an answer that is not valid HTTP and that a caller gets as an answer, with another status or none.
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

// checkGarbled checks that a router passes on none of the answers, and that they do not count as not run.
func checkGarbled(t *testing.T, answers func(fields string) map[string]string) {
	t.Helper()

	for name, b := range answers("") {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				i := is.New(t)
				f := newFleet(t, 0, 0)
				f.addTarget("s0", "service", f.serve(garbler.Serve(func(*http.Request) string { return b })))

				r := f.addPublished(f.publish(1)).do(t.Context(), method, "/x", "k", "")
				i.NoErr(r.err)
				i.True(r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable)
				i.True(!strings.Contains(r.body, garbler.Body))
				i.Equal(r.outcome(), string(exchanger.Unknown))
			})
		}
	}
}

// addPublished starts a router and waits until it has a revision of the configuration.
func (f *fleet) addPublished(revision uint64) *instance {
	f.t.Helper()

	n := f.add("dc-1")
	waiter.Until(f.t, "the published revision", func() bool { return n.metric(counter.Revision) >= int64(revision) })

	return n
}

// Guards against a part of an answer that looks whole since its target ended the connection while the call was still being sent.
func TestUnframedAnswerDuringUpload(t *testing.T) {
	const length = 7 << 20

	for name, end := range map[string]func(n *net.TCPConn) error{
		"reset": func(n *net.TCPConn) error { return errors.Join(n.SetLinger(0), n.Close()) },
		"own direction closed": func(n *net.TCPConn) error {
			time.Sleep(time.Millisecond)

			return n.CloseWrite()
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFleet(t, 0, 0)
			f.addTarget("s0", "service", f.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				n, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}

				t.Cleanup(func() { _ = n.Close() })

				_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\n\r\npart") // The router may have left.
				_ = end(n.(*net.TCPConn))
			})))

			r := f.addPublished(f.publish(1)).do(t.Context(), http.MethodPost, "/x", "k", strings.Repeat("x", length))
			i.NoErr(r.err)
			i.Equal(r.status, http.StatusBadGateway)
			i.Equal(r.outcome(), string(exchanger.Unknown))
		})
	}
}

// Guards against a failure that an engine sends as a stream of events, and that a caller gets as a success.
func TestFailedStreamKeepsItsStatus(t *testing.T) {
	const failure = "HTTP/1.1 404 Not Found\r\nContent-Type: text/event-stream\r\nConnection: close\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"

	i := is.New(t)
	f := newFleet(t, 0, 0)
	f.addTarget("e0", "engine", f.serve(garbler.Serve(func(*http.Request) string { return failure })))

	r := f.addPublished(f.publish(1)).chat(t.Context(), "question", 3, true)
	i.NoErr(r.err)
	i.Equal(r.status, http.StatusNotFound)
	i.Equal(r.body, "data: [DONE]\n\n")
}
