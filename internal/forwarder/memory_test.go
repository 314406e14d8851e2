package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/accountant"
)

// Guards against a long answer that is relayed as it arrives, for want of memory, and is abandoned for another target in the middle.
func TestSlowAnswerBeyondMemoryIsNotAbandoned(t *testing.T) {
	const length = 3 << 20

	i := is.New(t)
	a := &target{answer: func(n net.Conn, s received) {
		_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nContent-Length: %d\r\n\r\n", s.header.Get("Id"), s.target, length)
		_, _ = io.WriteString(n, strings.Repeat("x", length/2))

		time.Sleep(300 * time.Millisecond) // Longer than the wait for an answer.

		_, _ = io.WriteString(n, strings.Repeat("x", length/2))
	}}
	b := &target{answer: answerOK}
	g := newGateway(t, a, b)
	g.forwarder.SetMemory(accountant.New(1 << 20)) // Half of the least budget, 2 MB, is left to answers.

	o := g.call(t, http.MethodGet, "/idempotent/", "")
	i.NoErr(o.err)
	i.Equal(o.status, http.StatusOK)
	i.Equal(len(o.body), length)
	i.Equal(b.count(), 0)
}
