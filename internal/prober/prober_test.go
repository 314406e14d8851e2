package prober_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
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
