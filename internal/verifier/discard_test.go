package verifier_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/verifier"
)

// acceptedConn is a connection as its server has it, below TLS or not.
type acceptedConn struct {
	net.Conn

	below net.Conn
}

// serveConns has f serve each connection, and returns the URL and the end that the server has found, in that order of connections: io.EOF, or
// syscall.ECONNRESET if it was reset.
func serveConns(t *testing.T, secure bool, f func(n acceptedConn)) (url string, ends <-chan error) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	x := httptest.NewUnstartedServer(nil)
	x.StartTLS()
	t.Cleanup(x.Close)

	o := make(chan error, 1)

	go func() {
		for n, err := l.Accept(); err == nil; n, err = l.Accept() {
			s := acceptedConn{n, n}
			if secure {
				s.Conn = tls.Server(n, &tls.Config{Certificates: x.TLS.Certificates})
			}

			go func() {
				f(s)

				_, err := io.Copy(io.Discard, s.below) // Whatever has arrived.
				if err == nil {
					err = io.EOF
				}

				o <- err
				_ = s.below.Close()
			}()
		}
	}()

	scheme := "http"
	if secure {
		scheme = "https"
	}

	return scheme + "://" + l.Addr().String(), o
}

// plain is the name of the transport without TLS.
const plain = "plain"

// transports returns transports by name: without TLS, with that of net/http, and with that of WatchTLS.
func transports(t *testing.T) map[string]*http.Transport {
	t.Helper()

	c := &tls.Config{InsecureSkipVerify: true}
	o := map[string]*http.Transport{plain: newTransport(t), "TLS of the transport": newTransport(t), "TLS": newTransport(t)}
	o["TLS of the transport"].TLSClientConfig = c
	o["TLS"].DialTLSContext = verifier.WatchTLS((&net.Dialer{}).DialContext, c)

	return o
}

// readHead reads the head of a request.
func readHead(n net.Conn) {
	b := make([]byte, 1)
	for l := ""; len(l) < 4 || l[len(l)-4:] != "\r\n\r\n"; {
		if _, err := n.Read(b); err != nil {
			return
		}

		l += string(b)
	}
}

// Guards against a request that was given up and reaches its server seconds later, since the system sends again what a cut of the path has
// held up; and against resets of connections whose answer was read.
func TestRequestThatWasGivenUpIsDiscarded(t *testing.T) {
	const (
		// long is more than the buffers of a connection take, and short is sent at once.
		long, short = 32 << 20, 10
		head        = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
	)

	for name, x := range map[string]struct {
		length int
		// serve is what the server does until the request is given up.
		serve func(n acceptedConn, givenUp <-chan struct{})
		// read reads the answer in place of giving the request up.
		read bool
		want error
	}{
		"half written": {length: long, serve: func(_ acceptedConn, g <-chan struct{}) { <-g }, want: syscall.ECONNRESET},
		"no answer":    {length: short, serve: func(n acceptedConn, g <-chan struct{}) { readHead(n); <-g }, want: syscall.ECONNRESET},
		"within the answer": {length: short, want: syscall.ECONNRESET, serve: func(n acceptedConn, g <-chan struct{}) {
			readHead(n)
			_, _ = fmt.Fprint(n, head+"\r\npa")
			<-g
		}},
		"read, and the connection idles": {length: short, read: true, want: io.EOF, serve: func(n acceptedConn, g <-chan struct{}) {
			readHead(n)
			_, _ = fmt.Fprint(n, head+"\r\nwhole")
			<-g
		}},
		"read, of an answer that ends the connection": {length: short, read: true, want: io.EOF, serve: func(n acceptedConn, g <-chan struct{}) {
			readHead(n)
			_, _ = fmt.Fprint(n, head+"Connection: close\r\n\r\nwhole")
			<-g
		}},
		"read, without a body": {length: short, read: true, want: io.EOF, serve: func(n acceptedConn, g <-chan struct{}) {
			readHead(n)
			_, _ = fmt.Fprint(n, "HTTP/1.1 204 No Content\r\n\r\n")
			<-g
		}},
	} {
		for kind, r := range transports(t) {
			t.Run(name+", "+kind, func(t *testing.T) {
				i := is.New(t)
				done := make(chan struct{})
				u, ends := serveConns(t, kind != plain, func(n acceptedConn) {
					if s, ok := n.Conn.(*tls.Conn); ok {
						_ = s.HandshakeContext(t.Context())
					}

					x.serve(n, done)
				})
				v := verifier.New(r)

				c, stop := context.WithCancel(t.Context())
				defer stop()

				if !x.read {
					time.AfterFunc(200*time.Millisecond, stop)
				}

				a, err := v.RoundTrip(post(t, u, x.length).WithContext(c))
				if err == nil {
					_, err = io.ReadAll(a.Body)
					_ = a.Body.Close()
				}

				i.Equal(err == nil, x.read)

				stop() // The call is over, whatever became of it.
				time.Sleep(50 * time.Millisecond)
				v.CloseIdleConnections()
				time.Sleep(50 * time.Millisecond)
				close(done)
				i.True(errors.Is(<-ends, x.want))
			})
		}
	}
}

// Guards against a reset of a connection on which the next request is sent, or an earlier one was given up before it was sent.
func TestConnectionOfNextRequestIsKept(t *testing.T) {
	i := is.New(t)

	a := serve(t, func(n net.Conn, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
	})
	v := verifier.New(newTransport(t))

	for range 100 {
		c, stop := context.WithCancel(t.Context())
		r, err := v.RoundTrip(post(t, "http://"+a, 10).WithContext(c))
		i.NoErr(err)

		b, err := io.ReadAll(r.Body)
		i.NoErr(err)
		i.Equal(string(b), "whole")
		stop()
		i.NoErr(r.Body.Close())
	}
}
