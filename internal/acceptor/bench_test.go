package acceptor_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/auburntray/auburntray/internal/acceptor"
	"github.com/auburntray/auburntray/internal/accountant"
)

// BenchmarkRequest measures what an Acceptor costs a request with a short body.
func BenchmarkRequest(b *testing.B) {
	for name, accept := range map[string]func(s *http.Server, l net.Listener) net.Listener{
		"without": func(_ *http.Server, l net.Listener) net.Listener { return l },
		"with": func(s *http.Server, l net.Listener) net.Listener {
			a := acceptor.New(acceptor.Settings{
				Most: func() int { return 100 }, Limits: func() acceptor.Limits { return acceptor.Limits{} }, Memory: accountant.New(128 << 20),
			})
			a.Serve(s)

			return a.Listen(l)
		},
	} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}

			s := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(http.StatusOK)
			})}
			l = accept(s, l)

			go func() { _ = s.Serve(l) }() // It fails when the benchmark ends.

			b.Cleanup(func() { _ = s.Close() })
			b.ReportAllocs()

			for b.Loop() {
				r, err := http.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader("short"))
				if err != nil {
					b.Fatal(err)
				}

				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
		})
	}
}
