package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a caller that takes a call for not run because of a target's status, though the target does not state that it
// did not run it.
func TestStatusThatPromisesNotRun(t *testing.T) {
	for name, x := range map[string]struct {
		path, status string
		notRun       bool
		want         int
	}{
		"429, once":                {"/once/x", "429 Too Many Requests", false, http.StatusBadGateway},
		"408, once":                {"/once/x", "408 Request Timeout", false, http.StatusBadGateway},
		"429, stream":              {"/stream/x", "429 Too Many Requests", false, http.StatusBadGateway},
		"429, once, truly not run": {"/once/x", "429 Too Many Requests", true, http.StatusServiceUnavailable},
		"429, repeatable":          {"/idempotent/x", "429 Too Many Requests", false, http.StatusTooManyRequests},
		"404, once":                {"/once/x", "404 Not Found", false, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			y := &target{answer: func(n net.Conn, s received) {
				if x.notRun {
					reply(n, s, x.status, "", "Not-Run: 1")
				} else {
					reply(n, s, x.status, "x")
				}
			}}
			g := newGateway(t, y)
			i.Equal(g.call(t, http.MethodPost, x.path, "x").status, x.want)
			i.Equal(y.count(), 1)
		})
	}
}

// Guards against a late refusal of an earlier call that is taken for that of the current one: the call would be sent to a second target
// while the first one runs it.
func TestRefusalOfAnotherCall(t *testing.T) {
	for name, x := range map[string]struct {
		id    string
		calls []int
	}{
		"of this call":    {"call-1", []int{1, 1}},
		"without an ID":   {"", []int{1, 1}},
		"of another call": {"call-0", []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a := &target{answer: func(n net.Conn, _ received) {
				_, _ = fmt.Fprintf(n, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", x.id)
			}}
			b := &target{answer: answerOK}
			g := newGateway(t, a, b)
			g.call(t, http.MethodPost, "/once/x", "x")
			i.Equal([]int{a.count(), b.count()}, x.calls)
		})
	}
}
