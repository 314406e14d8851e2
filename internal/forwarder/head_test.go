package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against the answer to a call for headers only that states the length of an empty body.
func TestLengthOfAnswerToHead(t *testing.T) {
	i := is.New(t)
	g := newGateway(t, &target{answer: func(n net.Conn, s received) {
		_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nContent-Length: 1234\r\n\r\n", s.header.Get("Id"), s.target)
	}})
	a := g.call(t, http.MethodHead, "/idempotent/x", "")
	i.Equal(a.status, http.StatusOK)
	i.Equal(a.header.Get("Content-Length"), "1234")
}
