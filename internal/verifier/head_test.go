package verifier_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/standin/garbler"
	"github.com/auburntray/auburntray/internal/verifier"
)

// sound are answers by name that are valid, and whose body is "whole".
func sound() map[string]string {
	const length = "Content-Length: 5\r\n\r\nwhole"

	return map[string]string{
		"HTTP/1.1":                              "HTTP/1.1 200 OK\r\n" + length,
		"HTTP/1.1 in chunks":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.0":                              "HTTP/1.0 200 OK\r\n" + length,
		"HTTP/1.0 without a length":             "HTTP/1.0 200 OK\r\nServer: x\r\n\r\nwhole",
		"HTTP/1.0, a field like a coding":       "HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n" + length,
		"HTTP/1.0, a value like a coding":       "HTTP/1.0 200 OK\r\nServer: transfer-encoding: chunked\r\n" + length,
		"HTTP/1.1 in chunks after an interim":   "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.0 without a length, an interim": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.0 200 OK\r\n\r\nwhole",
	}
}

// Guards against an answer of HTTP/1.0 with a transfer coding that counts as valid, or a valid answer that does not, also in single bytes.
func TestFramingOfOldAnswers(t *testing.T) {
	all := map[string]map[string]string{"valid": sound(), "faulty": garbler.Framings("")}

	for kind, answers := range all {
		for name, b := range answers {
			for size, write := range map[string]func(n net.Conn, s string){
				"at once":         func(n net.Conn, s string) { _, _ = io.WriteString(n, s) },
				"in single bytes": func(n net.Conn, s string) { writeBytes(n, s) },
			} {
				t.Run(kind+"/"+name+"/"+size, func(t *testing.T) {
					i := is.New(t)
					a := serve(t, func(n net.Conn, q *http.Request) {
						_, _ = io.Copy(io.Discard, q.Body)
						write(n, b)
						_ = n.Close()
					})

					r, err := verifier.New(newTransport(t)).RoundTrip(post(t, "http://"+a, 10))
					if kind == "faulty" {
						i.True(errors.Is(err, verifier.ErrInvalid))

						return
					}

					i.NoErr(err)

					x, err := io.ReadAll(r.Body)
					i.NoErr(err)
					i.NoErr(r.Body.Close())
					i.Equal(string(x), "whole")
				})
			}
		}
	}
}

// writeBytes writes s byte by byte.
func writeBytes(w io.Writer, s string) {
	for k := range len(s) {
		_, _ = io.WriteString(w, s[k:k+1]) // The client may have left.
	}
}

// Guards against an answer of HTTP/1.0 with a transfer coding that counts as valid inside of TLS, and on a connection that has carried a valid one.
func TestFramingOverTLSAndOnReusedConnections(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

	for kind, x := range transports(t) {
		if kind == "TLS of the transport" {
			continue // The bytes inside can't be seen.
		}

		t.Run(kind, func(t *testing.T) {
			i := is.New(t)
			u, _ := serveConns(t, kind != plain, func(n acceptedConn) {
				readHead(n)
				_, _ = io.CopyN(io.Discard, n, 10)
				_, _ = io.WriteString(n, first)
				readHead(n)
				_, _ = io.WriteString(n, garbler.Framings("")["coding"])
			})
			v := verifier.New(x)

			r, err := v.RoundTrip(post(t, u, 10))
			i.NoErr(err)

			b, err := io.ReadAll(r.Body)
			i.NoErr(err)
			i.NoErr(r.Body.Close())
			i.Equal(string(b), "whole")

			_, err = v.RoundTrip(post(t, u, 10))
			i.True(errors.Is(err, verifier.ErrInvalid))
		})
	}
}
