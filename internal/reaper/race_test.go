package reaper_test

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

	"github.com/auburntray/auburntray/internal/reaper"
)

// Guards against a call that runs while its connection is closed without an answer: the caller reuses the
// connection just before its limit, the serving goroutine has read the call but not yet reported the connection
// as active, and a sweep closes the connection.
func TestCallAtExpiryIsServed(t *testing.T) {
	for name, x := range map[string]struct {
		// read reports whether a call has been read when the sweep runs.
		read bool
		// calls is the number of calls served on the connection before.
		calls int
	}{
		"first call read":  {read: true},
		"second call read": {read: true, calls: 1},
		"no call":          {},
		"no second call":   {calls: 1},
		"sixth call read":  {read: true, calls: 5},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			var ran atomic.Int64

			s := newServer(t, &ran)
			n := s.dial(t)

			for range x.calls {
				i.Equal(call(n), http.StatusOK)
			}

			s.waitIdle(t, x.calls)

			if x.read {
				s.holdRead.Store(true)
				_, err := io.WriteString(n, request)
				i.NoErr(err)
				<-s.readDone
			}

			i.Equal(s.reaper.Sweep(), 1)

			if x.read {
				s.resume <- struct{}{}

				i.Equal(readStatus(n), http.StatusOK)
				i.Equal(ran.Load(), int64(x.calls+1))

				// The connection remains usable.
				i.Equal(call(n), http.StatusOK)

				return
			}

			// A single sweep has no effect if the server has not begun to wait for bytes yet.
			s.sweepContinuously(t)

			_, err := n.Read(make([]byte, 1))
			i.Equal(err, io.EOF)
			i.Equal(ran.Load(), int64(x.calls))
		})
	}
}

// Guards against a call that runs while its connection is closed without an answer, here with sweeps at
// arbitrary moments: a call must be answered or not run. When sweeps closed connections, a few calls in a
// thousand ran without an answer.
func TestSweepsDuringCalls(t *testing.T) {
	i := is.New(t)

	var ran atomic.Int64

	s := newServer(t, &ran)
	s.sweepContinuously(t)

	served := 0

	for range 2000 {
		n := s.dial(t)

		for range 3 {
			if call(n) != http.StatusOK {
				break
			}

			served++
		}

		_ = n.Close() // Fails if the server has closed the connection already.
	}

	i.Equal(ran.Load(), int64(served))
}

const request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"

// call sends a call and returns the status of its answer, or zero if there is no answer.
func call(n net.Conn) int {
	if _, err := io.WriteString(n, request); err != nil {
		return 0
	}

	return readStatus(n)
}

func readStatus(n net.Conn) int {
	a, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		return 0
	}

	if _, err := io.ReadAll(a.Body); err != nil {
		return 0
	}

	return a.StatusCode
}

// server serves calls on connections that reach their limit as soon as they are idle. While holdRead is set, the
// next read that returns bytes waits for resume before the server receives them, as if the serving goroutine were
// waiting for a processor.
type server struct {
	net.Listener

	reaper   *reaper.Reaper
	holdRead atomic.Bool
	readDone chan struct{}
	resume   chan struct{}
	idle     chan struct{}
}

func newServer(t *testing.T, ran *atomic.Int64) *server {
	t.Helper()

	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	s := &server{
		Listener: l, readDone: make(chan struct{}), resume: make(chan struct{}), idle: make(chan struct{}, 64),
		reaper: reaper.New(func() reaper.Limits { return reaper.Limits{IdleTimeout: time.Nanosecond} }),
	}
	h := &http.Server{
		ReadHeaderTimeout: time.Minute, ConnContext: s.reaper.Context,
		ConnState: func(n net.Conn, x http.ConnState) {
			s.reaper.Track(n, x)

			if x == http.StateIdle || x == http.StateNew {
				select {
				case s.idle <- struct{}{}:
				default: // No test waits for more states than the buffer holds.
				}
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.reaper.RecordHeaders(r.Context())

			// Leaves time for the context to be canceled if the connection was closed.
			select {
			case <-r.Context().Done():
			case <-time.After(time.Millisecond):
			}

			ran.Add(1)
			_, _ = io.Copy(io.Discard, r.Body) // The answer does not depend on the body.
			w.WriteHeader(http.StatusOK)
		}),
	}

	go func() { _ = h.Serve(s) }()

	t.Cleanup(func() { _ = h.Close() })

	return s
}

// waitIdle waits until a connection is idle after the given number of calls.
func (s *server) waitIdle(t *testing.T, calls int) {
	t.Helper()

	for range calls + 1 {
		<-s.idle
	}
}

// sweepContinuously sweeps in the background until the test ends.
func (s *server) sweepContinuously(t *testing.T) {
	t.Helper()

	c, stop := context.WithCancel(context.Background())

	var g sync.WaitGroup

	g.Go(func() {
		for c.Err() == nil {
			s.reaper.Sweep()
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

// Accept implements net.Listener.
func (s *server) Accept() (net.Conn, error) {
	n, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &pausingConn{Conn: n, server: s}, nil
}

type pausingConn struct {
	net.Conn

	server *server
}

// Read implements net.Conn.
func (n *pausingConn) Read(b []byte) (int, error) {
	k, err := n.Conn.Read(b)

	if k > 0 && n.server.holdRead.CompareAndSwap(true, false) {
		n.server.readDone <- struct{}{}
		<-n.server.resume
	}

	return k, err
}
