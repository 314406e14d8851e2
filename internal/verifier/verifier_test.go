package verifier_test

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/verifier"
)

// serve lets f serve each connection until the end of the test, and returns the address.
func serve(t *testing.T, f func(n net.Conn, head *http.Request)) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for n, err := l.Accept(); err == nil; n, err = l.Accept() {
			go func() {
				defer n.Close() //nolint:errcheck // A connection of the test itself.

				r := bufio.NewReader(n)
				for q, err := http.ReadRequest(r); err == nil; q, err = http.ReadRequest(r) {
					f(n, q)
				}
			}()
		}
	}()

	return l.Addr().String()
}

// newTransport returns a transport whose connections are watched.
func newTransport(t *testing.T) *http.Transport {
	t.Helper()

	x := &http.Transport{DialContext: verifier.Watch((&net.Dialer{}).DialContext)}
	t.Cleanup(x.CloseIdleConnections)

	return x
}

func post(t *testing.T, url string, length int) *http.Request {
	t.Helper()

	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, length)))
	if err != nil {
		t.Fatal(err)
	}

	return q
}

// Guards against a call that counts as sent though nothing was sent, or as not sent though it may have run.
func TestNotSent(t *testing.T) {
	i := is.New(t)
	v := verifier.New(newTransport(t))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	i.NoErr(l.Close())

	_, err = v.RoundTrip(post(t, "http://"+l.Addr().String(), 1))
	i.True(errors.Is(err, verifier.ErrNotSent))

	a := serve(t, func(n net.Conn, _ *http.Request) { _ = n.Close() })
	_, err = v.RoundTrip(post(t, "http://"+a, 1))
	i.True(err != nil && !errors.Is(err, verifier.ErrNotSent))
}

// Guards against a whole answer that counts as broken since the transport has sent the request a second time, on another connection
// than the one that the server had closed.
func TestRequestSentAgain(t *testing.T) {
	const length = 1 << 20

	i := is.New(t)

	var calls atomic.Int32

	a := serve(t, func(n net.Conn, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)

		switch calls.Add(1) {
		case 1:
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
		case 2:
			_ = n.Close()
		default:
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = n.Close()
		}
	})
	v := verifier.New(newTransport(t))

	for _, want := range []string{"first", "whole"} {
		q := post(t, "http://"+a, length)
		q.Header.Set("Idempotency-Key", "x") // The transport may send it again.

		r, err := v.RoundTrip(q)
		i.NoErr(err)

		b, err := io.ReadAll(r.Body)
		i.NoErr(err)
		i.NoErr(r.Body.Close())
		i.Equal(string(b), want)
	}

	i.Equal(calls.Load(), int32(3))
}

// Guards against a part of an answer that looks whole below TLS too.
func TestUnframedAnswerDuringUpload(t *testing.T) {
	const length = 16 << 20

	for name, end := range map[string]func(n net.Conn){
		"reset":  func(n net.Conn) { _ = n.(*net.TCPConn).SetLinger(0); _ = n.Close() },
		"closed": func(n net.Conn) { _ = n.Close() },
	} {
		h := func(w http.ResponseWriter, _ *http.Request) {
			n, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}

			_, _ = fmt.Fprint(n, "HTTP/1.1 200 OK\r\n\r\npart") // The client may have left.

			if x, ok := n.(*tls.Conn); ok {
				_ = x.CloseWrite()
				n = x.NetConn()
			}

			end(n)
		}

		for scheme, s := range map[string]*httptest.Server{"plain": httptest.NewServer(http.HandlerFunc(h)), "TLS": httptest.NewTLSServer(http.HandlerFunc(h))} {
			t.Cleanup(s.Close)

			t.Run(name+"/"+scheme, func(t *testing.T) {
				i := is.New(t)

				x := newTransport(t)
				x.TLSClientConfig = &tls.Config{InsecureSkipVerify: true}

				for range 10 {
					r, err := verifier.New(x).RoundTrip(post(t, s.URL, length))
					if err != nil {
						continue
					}

					_, err = io.ReadAll(r.Body)
					_ = r.Body.Close()
					i.True(err != nil)
				}
			})
		}
	}
}
