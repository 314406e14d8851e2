package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longUpload is longer than what the system buffers of a connection.
const longUpload = 8 << 20

// allowLongUploads makes the gateway accept calls with longUpload.
func (g *gateway) allowLongUploads() {
	c := *g.state.Catalog()
	c.Limits.MaxBody = longUpload
	g.state.setCatalog(&c)
}

// answerEarly returns what a target does that begins an answer with neither a length nor chunks and then ends the connection, while the
// call is still being sent.
func answerEarly(part string, end func(n net.Conn)) func(n net.Conn, s received) {
	return func(n net.Conn, s received) {
		_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\n\r\n%s", s.header.Get("Id"), s.target, part)
		end(n)
	}
}

// Guards against a part of an answer that looks complete since its target ended the connection while the upload was still being
// written: the write takes note of the reset, and the next read ends without an error.
func TestUnframedAnswerDuringUpload(t *testing.T) {
	const tries = 10

	for end, f := range map[string]func(n net.Conn){
		"reset": reset,
		"reset a little later": func(n net.Conn) {
			time.Sleep(5 * time.Millisecond)
			reset(n)
		},
		"closed": func(n net.Conn) { _ = n.Close() },
		"own direction closed": func(n net.Conn) {
			_ = n.(*net.TCPConn).CloseWrite()

			time.Sleep(20 * time.Millisecond)
		},
	} {
		for path, x := range map[string]struct {
			part string
			// want is the whole answer; without one the call can't be answered.
			want string
		}{
			"/once/x":       {part: "part"},
			"/idempotent/x": {"part", "from t1"},
			"/stream/x":     {part: event(1)},
			"/resumable/x":  {event(1), events(1, 2)},
		} {
			t.Run(end+path, func(t *testing.T) {
				i := is.New(t)
				b := &target{answer: func(n net.Conn, s received) {
					if !strings.HasPrefix(s.path, "/resumable/") {
						answerOK(n, s)

						return
					}

					beginStream(n, s)

					if s.header.Get("Last") == "" {
						chunk(n, event(1))
					}

					chunk(n, event(2))
					finishStream(n)
				}}

				for range tries {
					a := &target{early: answerEarly(x.part, f)}
					g := newGateway(t, a, b)
					g.allowLongUploads()

					o := g.call(t, http.MethodPost, path, strings.Repeat("x", longUpload))
					i.Equal(a.count(), 1)

					if x.want == "" {
						i.True(o.err != nil || o.status == http.StatusBadGateway)

						continue
					}

					i.NoErr(o.err)
					i.Equal(o.body, x.want)
				}
			})
		}
	}
}

// Guards against an answer with neither a length nor chunks that counts as broken although its target has read the whole call.
func TestUnframedAnswerAfterUpload(t *testing.T) {
	for path, part := range map[string]string{"/once/x": "whole", "/idempotent/x": "whole", "/stream/x": event(1), "/resumable/x": event(1)} {
		for _, length := range []int{0, 1, 4096, 100_000, longUpload} {
			t.Run(fmt.Sprint(path, " ", length), func(t *testing.T) {
				i := is.New(t)
				a := &target{answer: answerEarly(part, func(n net.Conn) { _ = n.Close() })}
				g := newGateway(t, a)
				g.allowLongUploads()

				for range 5 {
					o := g.call(t, http.MethodPost, path, strings.Repeat("x", length))
					i.NoErr(o.err)
					i.Equal(o.status, http.StatusOK)
					i.Equal(o.body, part)
				}
			})
		}
	}
}
