package prober_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/prober"
	"github.com/auburntray/auburntray/internal/standin/porter"
)

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

func TestOnlyRefusalIsCrash(t *testing.T) {
	d := (&net.Dialer{}).DialContext

	_, near := listen(t)
	gone := porter.Refusing(t)

	for name, x := range map[string]struct {
		dial   prober.Dial
		close  bool
		others []netip.AddrPort
		want   bool
	}{
		"listens":            {dial: d},
		"all listen":         {dial: d, others: []netip.AddrPort{near}},
		"refuses":            {dial: d, close: true, want: true},
		"other listens":      {dial: d, close: true, others: []netip.AddrPort{near}, want: true},
		"one of two listens": {dial: d, close: true, others: []netip.AddrPort{gone, near}, want: true},
		"refusing partition": {dial: d, close: true, others: []netip.AddrPort{gone}},
		"dial times out":     {dial: func(context.Context, string, string) (net.Conn, error) { return nil, context.DeadlineExceeded }},
		"no route":           {dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no route") }},
	} {
		t.Run(name, func(t *testing.T) {
			_, a := listen(t)
			if x.close {
				a = porter.Refusing(t)
			}

			is.New(t).Equal(prober.New(x.dial).Crashed(t.Context(), a, x.others), x.want)
		})
	}
}

// Guards against a caller that waits for many dial time-outs while none of the other targets responds, and against one that
// responds and is not asked since others have crashed.
func TestReachableGivesUp(t *testing.T) {
	_, near := listen(t)
	gone, silent := porter.Refusing(t), netip.MustParseAddrPort("192.0.2.1:1")

	for name, x := range map[string]struct {
		others []netip.AddrPort
		dials  int
		want   bool
	}{
		"the first accepts":   {[]netip.AddrPort{near, gone}, 1, true},
		"all but one refuse":  {[]netip.AddrPort{gone, gone, gone, gone, gone, near}, 6, true},
		"one does not answer": {[]netip.AddrPort{silent, gone, near}, 3, true},
		"two do not answer":   {[]netip.AddrPort{silent, gone, silent, near}, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dials := 0
			p := prober.New(func(c context.Context, network, address string) (net.Conn, error) {
				dials++

				if address == silent.String() {
					return nil, context.DeadlineExceeded
				}

				return (&net.Dialer{}).DialContext(c, network, address)
			})

			is.Equal(p.Reachable(t.Context(), x.others), x.want)
			is.Equal(dials, x.dials)
		})
	}
}

// Guards against a dial for each broken call: a target crashes with thirty calls in flight. One dial serves
// all of them, and it goes on when the caller that made it disconnects.
func TestConcurrentCallsShareOneDial(t *testing.T) {
	is := is.New(t)
	a := porter.Refusing(t)

	var (
		dials atomic.Int64
		ended atomic.Int64
		g     sync.WaitGroup
	)

	p := prober.New(func(c context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		time.Sleep(100 * time.Millisecond)

		return (&net.Dialer{}).DialContext(c, network, address)
	})
	c, leave := context.WithCancel(t.Context())

	for range 30 {
		g.Go(func() {
			if p.Crashed(c, a, nil) {
				ended.Add(1)
			}
		})
	}

	time.Sleep(20 * time.Millisecond)
	leave()
	g.Wait()

	is.Equal(dials.Load(), int64(1))
	is.Equal(ended.Load(), int64(30))
}

// Guards against a process that is taken for running because its listener is closed an instant after its other connections.
func TestMayHaveEnded(t *testing.T) {
	d := (&net.Dialer{}).DialContext

	for name, x := range map[string]struct {
		// serve handles the listener.
		serve func(l net.Listener)
		want  bool
	}{
		"runs":    {serve: func(net.Listener) {}},
		"refuses": {serve: func(l net.Listener) { _ = l.Close() }, want: true},
		"closes a moment later": {serve: func(l net.Listener) {
			time.AfterFunc(2*time.Millisecond, func() { _ = l.Close() })
		}, want: true},
		"resets one and goes on": {serve: func(l net.Listener) {
			go func() {
				n, err := l.Accept()
				if err == nil {
					_ = n.(*net.TCPConn).SetLinger(0)
					_ = n.Close()
				}
			}()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			l, a := listen(t)
			x.serve(l)
			is.New(t).Equal(prober.New(d).MayHaveEnded(t.Context(), a), x.want)
		})
	}
}

// Guards against a process that is taken for running because the dial met the end of its listener and was reset, not refused.
func TestMayHaveEndedByDials(t *testing.T) {
	open := (&net.Dialer{}).DialContext
	fail := func(err error) prober.Dial {
		return func(context.Context, string, string) (net.Conn, error) { return nil, err }
	}
	reset, refused := fail(syscall.ECONNRESET), fail(syscall.ECONNREFUSED)
	silent := fail(context.DeadlineExceeded)

	for name, x := range map[string]struct {
		dials []prober.Dial
		want  bool
	}{
		"reset, then refused":  {[]prober.Dial{reset, refused}, true},
		"reset, then accepted": {[]prober.Dial{reset, open}, false},
		"reset twice":          {[]prober.Dial{reset, reset}, true},
		"silent twice":         {[]prober.Dial{silent, silent}, true},
		"silent, then refused": {[]prober.Dial{silent, refused}, true},
		"silent once":          {[]prober.Dial{silent, open}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, a := listen(t)
			dials := 0
			p := prober.New(func(c context.Context, network, address string) (net.Conn, error) {
				dials++

				return x.dials[dials-1](c, network, address)
			})

			is.Equal(p.MayHaveEnded(t.Context(), a), x.want)
			is.Equal(dials, len(x.dials))
		})
	}
}
