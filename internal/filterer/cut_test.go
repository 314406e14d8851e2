package filterer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/auburntray/auburntray/internal/claimer"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/drainer"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/filterer"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/reducer"
	"github.com/auburntray/auburntray/internal/sender"
)

// rawTarget answers each call with bytes, and then closes the connection unless they are a sound answer.
type rawTarget struct {
	listener net.Listener
	calls    atomic.Int32
	// answer returns the bytes of an answer, and whether the connection remains open after it.
	answer func(x *rawTarget, call int32) (string, bool)
}

func (x *rawTarget) listen(t *testing.T) netip.AddrPort {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	x.listener = l

	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for n, err := l.Accept(); err == nil; n, err = l.Accept() {
			go x.serve(n)
		}
	}()

	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (x *rawTarget) serve(n net.Conn) {
	defer n.Close() //nolint:errcheck // A connection of the test itself.

	for r := bufio.NewReader(n); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		_, _ = io.Copy(io.Discard, q.Body)
		b, open := x.answer(x, x.calls.Add(1))
		_, _ = io.WriteString(n, b)

		if !open {
			return
		}
	}
}

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// cutAfter answers the first calls soundly and sends the beginning of an answer then.
func cutAfter(sound int32, begin string) func(*rawTarget, int32) (string, bool) {
	return func(_ *rawTarget, call int32) (string, bool) {
		if call <= sound {
			return soundAnswer, true
		}

		return begin, false
	}
}

// newRouter serves the pipeline of a router in front of two targets; the first one is tried first.
func newRouter(t *testing.T, a, b *rawTarget) *httptest.Server {
	t.Helper()
	logrus.SetLevel(logrus.FatalLevel)

	d := parser.Document{
		Targets: map[string]parser.Target{}, Customers: map[string]parser.Customer{"c": {}},
		Rules: map[string]parser.Rule{
			"reads": {Order: 1, Traffic: "method=GET", Targets: "app=a", Repeatable: true},
			"books": {Order: 2, Targets: "app=a"},
		},
	}

	for n, x := range map[string]*rawTarget{"t0": a, "t1": b} {
		d.Targets[n] = parser.Target{
			Address: x.listen(t).String(), Kind: parser.KindService, Region: "r", DataCentre: "d", Capacity: 8, Labels: map[string]string{"app": "a"},
		}
	}

	f := &follower.Config{State: &reducer.State{Revision: 1, Document: d}, Matcher: matcher.New(&d)}
	w, n := &fakeDeps{claimOutcome: claimer.Won}, counter.New()

	s, stop, err := sender.New(sender.TLS{}, &net.Dialer{})
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(stop)

	p := filterer.New(drainer.New(time.Second, 10), w, n, noop.NewTracerProvider().Tracer(""),
		filterer.Accept{MaxBody: 1000},
		filterer.Identify{Deadline: time.Minute, MaxDeadline: time.Minute},
		filterer.Match{Config: func() *follower.Config { return f }},
		filterer.Claim{Claims: w, Counter: n},
		filterer.NewAttempt(w, n, filterer.RefuseQuarantined{}, filterer.Pick{Slots: w, Region: "r", Counter: n},
			filterer.Send{Targets: s, Slots: w, Stalls: w}, filterer.Relay{Targets: s, Counter: n}),
	)
	h := httptest.NewServer(p)
	t.Cleanup(h.Close)

	return h
}

// callRouter sends a call and returns the answer, its body, and the error of a body that was cut off.
func callRouter(t *testing.T, h *httptest.Server, method, path, body string) (*http.Response, string, error) {
	t.Helper()

	q, err := http.NewRequestWithContext(t.Context(), method, h.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}

	q.Header.Set(exchanger.HeaderCustomer, "c")
	q.Header.Set(exchanger.HeaderKey, "k")

	r, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}

	defer r.Body.Close() //nolint:errcheck // Read below.

	b, err := io.ReadAll(r.Body)

	return r, string(b), err
}

// Guards against an answer whose head or end was cut off and that looks whole to the caller, and against a call that runs twice since
// its connection had served another one before.
func TestAnswersThatEndEarly(t *testing.T) {
	const (
		status = "HTTP/1.1 200 OK\r\n"
		chunks = status + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	)

	for name, begin := range map[string]string{
		"no answer":                  "",
		"in the version":             "HTT",
		"in the status":              "HTTP/1.1 20",
		"before the line break":      "HTTP/1.1 200 OK",
		"after the status line":      status,
		"in a name":                  status + "Conten",
		"in a value":                 status + "Content-Length: 1",
		"after a length of zero":     status + "Content-Length: 0\r\n",
		"before the last line feed":  status + "Content-Length: 0\r\n\r",
		"after a transfer coding":    status + "Transfer-Encoding: chunked\r\n",
		"bare line feeds":            "HTTP/1.1 200 OK\nContent-Length: 0\n",
		"204":                        "HTTP/1.1 204 No Content\r\nX: y\r\n",
		"after 100":                  "HTTP/1.1 100 Continue\r\n\r\n",
		"in the head after 103":      "HTTP/1.1 103 Early Hints\r\n\r\n" + status + "Content-Length: 0\r\n",
		"in the body":                status + "Content-Length: 9\r\n\r\npart",
		"before the body":            status + "Content-Length: 9\r\n\r\n",
		"no last chunk":              chunks,
		"last chunk, no line feed":   chunks + "0\r",
		"last chunk, no empty line":  chunks + "0\r\n",
		"last chunk, half of it":     chunks + "0\r\n\r",
		"announced trailer cut off":  status + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nSum: 1",
		"trailer without empty line": status + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nSum: 1\r\n",
	} {
		for _, sound := range []int32{0, 1} {
			for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
				if method == http.MethodHead && strings.Contains(begin, "\r\n\r\n") && !strings.HasPrefix(begin, "HTTP/1.1 1") {
					continue // The head is whole, and there is no body.
				}

				t.Run(name+"/after "+strconv.Itoa(int(sound))+"/"+method, func(t *testing.T) {
					i := is.New(t)
					a, b := &rawTarget{answer: cutAfter(sound, begin)}, &rawTarget{answer: cutAfter(9, "")}
					h := newRouter(t, a, b)

					for range sound {
						_, s, err := callRouter(t, h, http.MethodGet, "/x", "")
						i.NoErr(err)
						i.Equal(s, "sound")
					}

					r, s, err := callRouter(t, h, method, "/x", "")
					i.NoErr(err)

					if method == http.MethodGet {
						i.Equal(r.StatusCode, http.StatusOK)
						i.Equal(s, "sound")
						i.Equal(b.calls.Load(), int32(1))

						return
					}

					i.True(r.StatusCode >= http.StatusInternalServerError)
					i.Equal(r.Header.Get(exchanger.HeaderOutcome), string(exchanger.Unknown))
					i.Equal(a.calls.Load(), sound+1)
					i.Equal(b.calls.Load(), int32(0))
				})
			}
		}
	}
}

// Guards against the beginning of an answer that looks whole since it has neither a length nor chunks, and its target has crashed.
func TestUnframedAnswerOfCrashedTarget(t *testing.T) {
	for name, x := range map[string]struct {
		method string
		ends   bool
		status int
		body   string
	}{
		"process runs":             {http.MethodPost, false, http.StatusOK, "part"},
		"process ended":            {http.MethodPost, true, http.StatusBadGateway, ""},
		"process runs, repeatable": {http.MethodGet, false, http.StatusOK, "part"},
		"ended, repeatable":        {http.MethodGet, true, http.StatusOK, "sound"},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a := &rawTarget{answer: func(a *rawTarget, _ int32) (string, bool) {
				if x.ends {
					_ = a.listener.Close()
				}

				return "HTTP/1.1 200 OK\r\n\r\npart", false
			}}

			r, s, err := callRouter(t, newRouter(t, a, &rawTarget{answer: cutAfter(9, "")}), x.method, "/x", "")
			i.NoErr(err)
			i.Equal(r.StatusCode, x.status)

			if x.body != "" {
				i.Equal(s, x.body)
			}
		})
	}
}
