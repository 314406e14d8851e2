package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// Guards against a part of an answer that looks complete since the targets that could show a crash have crashed too.
func TestUnframedAnswerEndedByCrashOfAll(t *testing.T) {
	for name, x := range map[string]struct {
		path, want string
		complete   bool
	}{
		"answer":           {"/once/x", "", true},
		"repeated answer":  {"/idempotent/x", "from t2", true},
		"stream":           {"/stream/x", event(1), false},
		"resumable stream": {"/resumable/x", event(1) + event(2), true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a, b := &target{}, &target{}
			b.answer = func(n net.Conn, s received) { reply(n, s, "200 OK", "from t1", "Seal: t1", "Connection: close") }
			a.answer = func(n net.Conn, s received) {
				a.refuseConnections()
				b.refuseConnections()

				_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\n\r\n%s", s.header.Get("Id"), s.target, event(1))
				_ = n.Close()
			}
			c := &target{answer: func(n net.Conn, s received) {
				if s.header.Get("Last") == "" {
					answerOK(n, s)

					return
				}

				beginStream(n, s)
				chunk(n, event(2))
				finishStream(n)
			}}
			g := newGateway(t, a, b, c)
			g.update(func(e *discoverer.Discoverer) {
				y := *e.Registry().Known["t1"]
				y.DataCentre = "dc0"
				e.Set(y)
			})
			g.forwarder.SetQuarantine(newQuarantine(3))

			// Only the first target answers with a part.
			for k := range 20 {
				if a.count() > 0 {
					break
				}

				o := g.call(t, http.MethodPost, x.path, "x", "Id", fmt.Sprint("call-", k))
				if a.count() == 0 {
					continue
				}

				if x.want == "" {
					i.Equal(o.status, http.StatusBadGateway)
				} else {
					i.Equal(o.body, x.want)
				}

				i.Equal(o.err == nil, x.complete)
			}

			i.Equal(a.count(), 1)
		})
	}
}

// abortingDialer fails once with a reset when it is armed, as a dial does that meets the end of a listener.
type abortingDialer struct {
	net.Dialer

	armed atomic.Bool
}

func (d *abortingDialer) DialContext(c context.Context, network, address string) (net.Conn, error) {
	if d.armed.CompareAndSwap(true, false) {
		return nil, syscall.ECONNRESET
	}

	return d.Dialer.DialContext(c, network, address)
}

// Guards against a part of an answer that looks complete since the dial that follows it was reset by the end of the process.
func TestUnframedAnswerWithResetDial(t *testing.T) {
	for name, x := range map[string]struct {
		path, want string
		ends       bool
		complete   bool
	}{
		"stream":                  {"/stream/x", event(1), true, false},
		"resumable stream":        {"/resumable/x", event(1) + event(2), true, true},
		"repeated answer":         {"/idempotent/x", "from t1", true, true},
		"stream, process runs":    {"/stream/x", event(1), false, true},
		"answer, process runs":    {"/idempotent/x", event(1), false, true},
		"resumable, process runs": {"/resumable/x", event(1), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := &abortingDialer{}
			a := &target{}
			a.answer = func(n net.Conn, s received) {
				if x.ends {
					a.refuseConnections()
				}

				d.armed.Store(true)

				_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\n\r\n%s", s.header.Get("Id"), s.target, event(1))
				_ = n.Close()
			}
			b := &target{answer: func(n net.Conn, s received) {
				if s.header.Get("Last") == "" {
					answerOK(n, s)

					return
				}

				beginStream(n, s)
				chunk(n, event(2))
				finishStream(n)
			}}
			g := newGatewayWithDialer(t, d, a, b)

			o := g.call(t, http.MethodPost, x.path, "x")
			i.Equal(a.count(), 1)
			i.Equal(o.body, x.want)
			i.Equal(o.err == nil, x.complete)
		})
	}
}
