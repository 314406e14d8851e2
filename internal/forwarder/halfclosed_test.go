package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// halfClosedCall sends a call as raw bytes, closes the caller's own direction and returns the answer, or an error if it is incomplete.
func halfClosedCall(t *testing.T, g *gateway, call string, closed func()) (string, error) {
	t.Helper()

	i := is.New(t)

	n, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", g.Listener.Addr().String())
	i.NoErr(err)

	defer n.Close() //nolint:errcheck // A connection of the test itself.

	_, err = io.WriteString(n, call)
	i.NoErr(err)

	b := bufio.NewReader(n)
	if closed != nil {
		_, err = b.Peek(1)
		i.NoErr(err)
	}

	i.NoErr(n.(*net.TCPConn).CloseWrite())

	if closed != nil {
		closed()
	}

	r, err := http.ReadResponse(b, nil)
	if err != nil {
		return "", err
	}

	defer r.Body.Close() //nolint:errcheck // Read below.

	o, err := io.ReadAll(r.Body)

	return string(o), err
}

// Guards against a part of a stream that looks complete to a caller that has closed its own direction of the connection and still reads.
func TestStreamOfHalfClosedCaller(t *testing.T) {
	for name, path := range map[string]string{"stream": "/stream/x", "resumable stream": "/resumable/x"} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			closed := make(chan struct{})
			a := &target{answer: func(n net.Conn, s received) {
				beginStream(n, s)
				chunk(n, event(1))
				<-closed
				time.Sleep(50 * time.Millisecond)
				chunk(n, event(2))
				finishStream(n)
			}}
			g := newGateway(t, a)

			o, err := halfClosedCall(t, g, "POST "+path+" HTTP/1.1\r\nHost: app.example\r\nId: call-1\r\nKey: key-1\r\nContent-Length: 1\r\n\r\nx", func() { close(closed) })
			i.True(err != nil || o == events(1, 2))
		})
	}
}

// Guards against an empty answer with status 200 to a caller whose body ends before its length or is malformed.
func TestNoAnswerToBrokenBody(t *testing.T) {
	for name, body := range map[string]string{
		"short body":      "Content-Length: 5\r\n\r\nx",
		"malformed chunk": "Transfer-Encoding: chunked\r\n\r\nz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := halfClosedCall(t, newGateway(t, &target{answer: answerOK}), "POST /once/x HTTP/1.1\r\nHost: app.example\r\nId: call-1\r\nKey: key-1\r\n"+body, nil)
			is.New(t).True(err != nil)
		})
	}
}
