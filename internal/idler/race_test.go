package idler_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/idler"
)

// A caller's booking runs, and its connection is closed without an answer. The caller had used
// the connection again just before its limit; the call was read by the goroutine that serves the
// connection, which had not yet said so when the sweep came, and the sweep closed it.
func TestCallThatComesAsItsTimeEnds(t *testing.T) {
	for name, x := range map[string]struct {
		// read says that the call was read when the sweep comes.
		read bool
		// calls is how many calls were served before on the connection.
		calls int
	}{
		"the first call is read":    {read: true},
		"a further call is read":    {read: true, calls: 1},
		"nothing is read":           {},
		"nothing is read any more":  {calls: 1},
		"many calls, one more read": {read: true, calls: 5},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			var ran atomic.Int64

			s := newServer(t, &ran)
			n := s.dial(t)

			for range x.calls {
				i.Equal(call(n), http.StatusOK)
			}

			s.wait(t, x.calls)

			if x.read {
				s.held.Store(true)
				_, err := io.WriteString(n, request)
				i.NoErr(err)
				<-s.reads
			}

			i.Equal(s.idler.Sweep(), 1)

			if x.read {
				s.resume <- struct{}{}

				i.Equal(answer(n), http.StatusOK)
				i.Equal(ran.Load(), int64(x.calls+1))

				// The connection is as good as before.
				i.Equal(call(n), http.StatusOK)

				return
			}

			// One sweep is not enough where the server has not begun to wait for bytes.
			s.sweepOn(t)

			_, err := n.Read(make([]byte, 1))
			i.Equal(err, io.EOF)
			i.Equal(ran.Load(), int64(x.calls))
		})
	}
}

// The same on sweeps that come at any moment: a call has its answer, or did not run. Before, a
// few in a thousand ran without an answer.
func TestSweepsBesideCalls(t *testing.T) {
	i := is.New(t)

	var ran atomic.Int64

	s := newServer(t, &ran)
	s.sweepOn(t)

	served := 0

	for range 2000 {
		n := s.dial(t)

		for range 3 {
			if call(n) != http.StatusOK {
				break
			}

			served++
		}

		_ = n.Close() // Closed already where it was swept.
	}

	i.Equal(ran.Load(), int64(served))
}

const request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"

// call sends a call and returns the status of its answer; zero when there is none.
func call(n net.Conn) int {
	if _, err := io.WriteString(n, request); err != nil {
		return 0
	}

	return answer(n)
}

func answer(n net.Conn) int {
	a, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		return 0
	}

	if _, err := io.ReadAll(a.Body); err != nil {
		return 0
	}

	return a.StatusCode
}

// server serves calls on connections whose time is over as soon as they are idle. While held is
// set, the next read that brings bytes waits for resume before the server sees them, as where
// another goroutine has the processor.
type server struct {
	net.Listener

	idler  *idler.Idler
	held   atomic.Bool
	reads  chan struct{}
	resume chan struct{}
	idle   chan struct{}
}

func newServer(t *testing.T, ran *atomic.Int64) *server {
	t.Helper()

	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	s := &server{
		Listener: l, reads: make(chan struct{}), resume: make(chan struct{}), idle: make(chan struct{}, 64),
		idler: idler.New(func() idler.Limits { return idler.Limits{Idle: time.Nanosecond} }),
	}
	h := &http.Server{
		ReadHeaderTimeout: time.Minute, ConnContext: s.idler.Context,
		ConnState: func(n net.Conn, x http.ConnState) {
			s.idler.Track(n, x)

			if x == http.StateIdle || x == http.StateNew {
				select {
				case s.idle <- struct{}{}:
				default: // Nobody waits for so many.
				}
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.idler.Begun(r.Context())

			// A call whose connection is closed shows so soon, and one that is well does not.
			select {
			case <-r.Context().Done():
			case <-time.After(time.Millisecond):
			}

			ran.Add(1)
			_, _ = io.Copy(io.Discard, r.Body) // The answer is the same.
			w.WriteHeader(http.StatusOK)
		}),
	}

	go func() { _ = h.Serve(s) }()

	t.Cleanup(func() { _ = h.Close() })

	return s
}

// wait waits until a connection is idle after so many calls.
func (s *server) wait(t *testing.T, calls int) {
	t.Helper()

	for range calls + 1 {
		<-s.idle
	}
}

// sweepOn sweeps again and again until the test ends.
func (s *server) sweepOn(t *testing.T) {
	t.Helper()

	c, stop := context.WithCancel(context.Background())

	var g sync.WaitGroup

	g.Go(func() {
		for c.Err() == nil {
			s.idler.Sweep()
			runtime.Gosched()
		}
	})

	t.Cleanup(func() {
		stop()
		g.Wait()
	})
}

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()

	n, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = n.Close() })

	return n
}

// Accept is part of net.Listener.
func (s *server) Accept() (net.Conn, error) {
	n, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &heldConn{Conn: n, server: s}, nil
}

type heldConn struct {
	net.Conn

	server *server
}

// Read is part of net.Conn.
func (n *heldConn) Read(b []byte) (int, error) {
	k, err := n.Conn.Read(b)

	if k > 0 && n.server.held.CompareAndSwap(true, false) {
		n.server.reads <- struct{}{}
		<-n.server.resume
	}

	return k, err
}
