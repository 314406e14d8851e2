package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/delegator"
	"github.com/auburntray/auburntray/internal/negotiator"
)

// cutHeads returns the beginnings of answers whose targets stop within the head, by name.
func cutHeads() map[string]string {
	const (
		status = "HTTP/1.1 200 OK\r\n"
		head   = status + "Id: call-1\r\nSeal: x\r\n"
	)

	return map[string]string{
		"in the version":                 "HTT",
		"in the status":                  "HTTP/1.1 20",
		"at the end of the status":       "HTTP/1.1 200",
		"before the status's line break": "HTTP/1.1 200 OK",
		"within its line break":          "HTTP/1.1 200 OK\r",
		"after the status line":          status,
		"in a name":                      head + "Conten",
		"after a name":                   head + "Content-Length:",
		"in a value":                     head + "Content-Length: 1",
		"after the headers":              head,
		"after a length of zero":         head + "Content-Length: 0\r\n",
		"before the last line feed":      head + "Content-Length: 0\r\n\r",
		"after a length":                 head + "Content-Length: 9\r\n",
		"after a transfer coding":        head + "Transfer-Encoding: chunked\r\n",
		"after a connection header":      head + "Connection: close\r\n",
		"bare line feeds, status line":   "HTTP/1.1 200 OK\n",
		"bare line feeds, headers":       "HTTP/1.1 200 OK\nId: call-1\nSeal: x\nContent-Length: 0\n",
		"bare line feeds, carriage":      "HTTP/1.1 200 OK\nId: call-1\nSeal: x\nContent-Length: 0\n\r",
		"HTTP/1.0":                       "HTTP/1.0 200 OK\r\nId: call-1\r\nSeal: x\r\n",
		"204":                            "HTTP/1.1 204 No Content\r\nId: call-1\r\nSeal: x\r\n",
		"304":                            "HTTP/1.1 304 Not Modified\r\nId: call-1\r\nSeal: x\r\n",
		"after 100":                      "HTTP/1.1 100 Continue\r\n\r\n",
		"after 103":                      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"in 103":                         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n",
		"in the head after 100":          "HTTP/1.1 100 Continue\r\n\r\n" + head,
		"in the head after 103 twice":    strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2) + head + "Content-Length: 0\r\n",
	}
}

// cutAfter answers the first calls soundly, and then sends the beginning of an answer and closes the connection.
func cutAfter(x *target, sound int, begin string, end func(net.Conn)) func(n net.Conn, s received) {
	return func(n net.Conn, s received) {
		if x.count() <= sound {
			answerOK(n, s)

			return
		}

		_, _ = io.WriteString(n, begin)
		end(n)
	}
}

func closeConn(n net.Conn) { _ = n.Close() }

// Guards against an answer whose head was cut off and that looks whole to the caller, and against a call that runs twice since its
// connection had served another one before.
func TestHeadsThatEndEarly(t *testing.T) {
	type want struct {
		status int
		body   string
		calls  int
	}

	broken, repeated := want{http.StatusBadGateway, "", 1}, want{http.StatusOK, "from t1", 2}
	resumed := want{http.StatusOK, events(1, 3), 2}

	gateways := map[string]func(t *testing.T, l ...*target) *gateway{
		"direct": func(t *testing.T, l ...*target) *gateway { t.Helper(); return newGateway(t, l...) },
		"delegated": func(t *testing.T, l ...*target) *gateway {
			t.Helper()

			g, _, _ := newDelegatingGateway(t, l...)

			return g
		},
	}

	for name, begin := range cutHeads() {
		for route, start := range gateways {
			for _, sound := range []int{0, 1} {
				for call, w := range map[string]want{
					"POST /once/": broken, "HEAD /once/": broken, "POST /stream/": broken,
					"POST /idempotent/": repeated, "GET /idempotent/": repeated, "HEAD /idempotent/": {http.StatusOK, "", 2}, "POST /resumable/": resumed,
				} {
					t.Run(name+"/"+route+"/after "+strconv.Itoa(sound)+"/"+call, func(t *testing.T) {
						i := is.New(t)
						a, b := &target{}, &target{answer: answerOK}
						a.answer = cutAfter(a, sound, begin, closeConn)

						if strings.HasSuffix(call, "/resumable/") {
							b.answer = answerEvents(3)
						}

						g := start(t, a, b)
						for range sound {
							i.Equal(g.call(t, http.MethodPost, "/idempotent/", "x").body, "from t0")
						}

						m, path, _ := strings.Cut(call, " ")
						o := g.call(t, m, path, "x")

						i.NoErr(o.err)
						i.Equal(o.status, w.status)
						i.Equal(a.count()-sound+b.count(), w.calls)

						if w.status == http.StatusOK {
							i.Equal(o.body, w.body)
						} else {
							i.Equal(o.header.Get("Seal"), "")
						}
					})
				}
			}
		}
	}
}

// Guards against a stream that looks whole since the target with which it goes on ends within the head of its answer.
func TestHeadsThatEndEarlyOnResumedStreams(t *testing.T) {
	for name, begin := range cutHeads() {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a := &target{answer: func(n net.Conn, s received) {
				beginStream(n, s)
				chunk(n, event(1))
				closeConn(n)
			}}
			b := &target{}
			b.answer = cutAfter(b, 0, begin, closeConn)

			o := newGateway(t, a, b).call(t, http.MethodPost, "/resumable/", "x")
			i.Equal(o.status, http.StatusOK)
			i.Equal(o.body, event(1))
			i.True(o.err != nil)
			i.Equal(b.calls[0].header.Get("Last"), "1")
		})
	}
}

// Guards against an answer in chunks whose end was cut off, in its last chunk or in its trailers, and that looks whole to the caller.
func TestChunksThatEndEarly(t *testing.T) {
	ends := map[string]string{
		"no last chunk":                   "",
		"in the line break of a chunk":    "\r",
		"last chunk without a line break": "0",
		"within its line break":           "0\r",
		"last chunk":                      "0\r\n",
		"before the last line feed":       "0\r\n\r",
		"in the name of a trailer":        "0\r\nSu",
		"in the value of a trailer":       "0\r\nSum: 1",
		"after a trailer":                 "0\r\nSum: 1\r\n",
		"trailer, last line feed":         "0\r\nSum: 1\r\n\r",
		"no size":                         "\r\n",
		"a size that is no number":        "x\r\n\r\n",
		"a size too large":                "fffffffffffffffff\r\n",
		"a negative size":                 "-1\r\n\r\n",
	}

	heads := map[string]string{"announced": "Trailer: Sum\r\n", "not announced": ""}
	gateways := map[string]func(l ...*target) *gateway{
		"direct":    func(l ...*target) *gateway { return newGateway(t, l...) },
		"delegated": func(l ...*target) *gateway { g, _, _ := newDelegatingGateway(t, l...); return g },
	}

	for name, end := range ends {
		for head, trailer := range heads {
			for route, start := range gateways {
				for path, x := range map[string]struct {
					status int
					body   string
					whole  bool
				}{
					"/once/":       {http.StatusBadGateway, "", true},
					"/idempotent/": {http.StatusOK, "from t1", true},
					"/stream/":     {http.StatusOK, event(1), false},
					"/resumable/":  {http.StatusOK, events(1, 3), true},
				} {
					t.Run(name+"/"+head+"/"+route+path, func(t *testing.T) {
						i := is.New(t)
						a := &target{answer: func(n net.Conn, s received) {
							_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: "+s.target+"\r\n"+trailer+"Transfer-Encoding: chunked\r\n\r\n")
							chunk(n, event(1))
							_, _ = io.WriteString(n, end)
							closeConn(n)
						}}
						b := &target{answer: answerOK}

						if path == "/resumable/" {
							b.answer = answerEvents(3)
						}

						o := start(a, b).call(t, http.MethodPost, path, "x")
						i.Equal(o.status, x.status)
						i.Equal(o.err == nil, x.whole)

						if x.status == http.StatusOK {
							i.Equal(o.body, x.body)
						}
					})
				}
			}
		}
	}
}

// Guards against trailers that are taken for a part of the answer, or reach the caller as such.
func TestTrailers(t *testing.T) {
	for name, end := range map[string]string{"announced": "Sum: 1\r\n", "missing": "", "another": "Other: 1\r\n", "a header": "Seal: y\r\nContent-Length: 3\r\n"} {
		for _, path := range []string{"/once/", "/stream/", "/resumable/"} {
			t.Run(name+path, func(t *testing.T) {
				i := is.New(t)
				g := newGateway(t, &target{answer: func(n net.Conn, _ received) {
					_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: x\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n")
					chunk(n, event(1))
					_, _ = io.WriteString(n, "0\r\n"+end+"\r\n")
				}})

				o := g.call(t, http.MethodPost, path, "x")
				i.NoErr(o.err)
				i.Equal(o.body, event(1))
				i.Equal(o.header["Seal"], []string{"x"})
			})
		}
	}
}

// leavingOut are delegates of which those that don't answer are not used again, as by a negotiator.Negotiator.
type leavingOut struct{ *delegates }

// Acquire returns the first instance that is left: those that were tried in vain are not.
func (d leavingOut) Acquire(q delegator.Query) (delegator.Delegate, bool) {
	q.Tried = nil

	return d.delegates.Acquire(q)
}

func (d leavingOut) Finish(id uint64, group string, r negotiator.Result) {
	d.delegates.Finish(id, group, r)

	if r == negotiator.Silent {
		d.list = d.list[1:]
	}
}

// Guards against an answer that looks whole since the instance through which the call was sent ended within it, and against a call that
// is sent again though it may have run.
func TestDelegatesThatEndEarly(t *testing.T) {
	begins := cutHeads()
	for n, b := range begins {
		begins[n] = strings.Replace(b, "Seal: x", "Seal: x\r\nDelegation-Result: answered", 1)
	}

	const head = "HTTP/1.1 200 OK\r\nId: call-1\r\nSeal: x\r\nDelegation-Result: answered\r\n"

	begins["before the body"] = head + "Content-Length: 9\r\n\r\n"
	begins["no last chunk"] = head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	begins["half of the last chunk"] = head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n"

	for name, begin := range begins {
		for path, status := range map[string]int{"/once/": http.StatusBadGateway, "/stream/": http.StatusBadGateway, "/idempotent/": http.StatusOK, "/resumable/": http.StatusOK} {
			t.Run(name+path, func(t *testing.T) {
				i := is.New(t)
				a, b := &target{answer: answerOK}, &target{answer: answerOK}

				if path == "/resumable/" {
					a.answer, b.answer = answerEvents(3), answerEvents(3)
				}

				g, d, _ := newDelegatingGateway(t, a, b)
				x := &target{}
				x.answer = cutAfter(x, 0, begin, func(n net.Conn) { x.refuseConnections(); closeConn(n) })
				d.list = append([]netip.AddrPort{x.listen(t)}, d.list...)
				g.forwarder.SetDelegates(leavingOut{d})

				o := g.call(t, http.MethodPost, path, "x")
				i.NoErr(o.err)
				i.Equal(o.status, status)

				switch {
				case status != http.StatusOK:
					i.Equal(o.header.Get("Seal"), "")
					i.Equal(a.count()+b.count(), 0)
				case path == "/resumable/":
					i.Equal(o.body, events(1, 3))
				default:
					i.True(strings.HasPrefix(o.body, "from t"))
				}
			})
		}
	}
}
