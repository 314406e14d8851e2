package relayer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/relayer"
)

// Guards against one instance that sends a change to all others directly: its link would be busy for longer than a
// change may take to reach all instances. All instances of a data centre wait for a configuration of 100 KB over
// links of 10 Mbit/s.
func TestReplayOfAllInstancesWaitingAtOne(t *testing.T) {
	const (
		rate  = 1.25e6
		bytes = 100_000
		most  = 300 * time.Millisecond
	)

	for name, x := range map[string]struct {
		waiting int
		within  time.Duration
	}{
		"one":             {1, 100 * time.Millisecond},
		"four":            {4, 400 * time.Millisecond},
		"27, one third":   {27, 900 * time.Millisecond},
		"50, maximum":     {50, time.Second},
		"380, one centre": {380, 1300 * time.Millisecond},
		"3800, tenfold":   {3800, 1800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			b := time.Now()
			address := func(n int) netip.AddrPort {
				return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
			}

			number := make(map[netip.AddrPort]int)
			relayers := make([]*relayer.Relayer, x.waiting+1)
			has := make([]time.Time, x.waiting+1)
			free := make([]time.Time, x.waiting+1)

			for n := range relayers {
				number[address(n)] = n
				relayers[n] = relayer.New(relayer.Settings{Rate: rate, MaxBacklog: most})
			}

			has[0] = b
			last := b

			for n := 1; n <= x.waiting; n++ {
				at, from := b, 0

				for {
					if has[from].After(at) {
						at = has[from]
					}

					e, ok := relayers[from].ServeOrRedirect(at, relayer.Request{Next: 1, Bytes: bytes, To: address(n)})
					if ok {
						break
					}

					from = number[e]
				}

				if free[from].Before(at) {
					free[from] = at
				}

				free[from] = free[from].Add(bytes * time.Second / rate)
				has[n] = free[from]

				if has[n].After(last) {
					last = has[n]
				}
			}

			i.True(last.Sub(b) <= x.within)
		})
	}
}

// Guards against a requester that is redirected for ever, or to itself.
func TestServedOrRedirected(t *testing.T) {
	a, b, c := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	n := time.Now()

	for name, x := range map[string]struct {
		q    relayer.Request
		want netip.AddrPort
	}{
		"already served, repeats the request": {q: relayer.Request{To: a, Next: 1}},
		"others wait for it":                  {q: relayer.Request{To: b, Next: 1, Must: true}},
		"first requester of a new offset":     {q: relayer.Request{To: b, Next: 2}},
		"another requester":                   {q: relayer.Request{To: c, Next: 1}, want: a},
		"unknown address":                     {q: relayer.Request{Next: 1}, want: a},
		"first of another data centre":        {q: relayer.Request{To: c, Next: 1, Centre: "far", Far: true}},
		"first of the complete list":          {q: relayer.Request{To: c, Next: 1, List: true}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := relayer.New(relayer.Settings{Rate: 1000, MaxBacklog: time.Second})

			_, ok := r.ServeOrRedirect(n, relayer.Request{Next: 1, Bytes: 1000, To: a})
			i.True(ok)

			x.q.Bytes = 1000
			e, ok := r.ServeOrRedirect(n, x.q)
			i.Equal(e, x.want)
			i.Equal(ok, !x.want.IsValid())
		})
	}
}

// Guards against a redirect to an instance that has the records of an earlier era: it may be served at the same offset
// in the later one, but has not these records.
func TestForgetEndsRedirects(t *testing.T) {
	i := is.New(t)
	r := relayer.New(relayer.Settings{Rate: 1e6, MaxBacklog: 200 * time.Millisecond})
	n := time.Unix(1000, 0)
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")

	_, ok := r.ServeOrRedirect(n, relayer.Request{Next: 7, Bytes: 1e6, To: a})
	i.True(ok)

	to, ok := r.ServeOrRedirect(n, relayer.Request{Next: 7, Bytes: 1e6, To: b})
	i.True(!ok)
	i.Equal(to, a)

	r.Forget()

	_, ok = r.ServeOrRedirect(n, relayer.Request{Next: 7, Bytes: 1e6, To: b})
	i.True(ok)
}

// Guards against a copy of each answer for each instance of another data centre, and against one that is redirected for
// ever to an instance that has failed.
func TestOneOfAnotherDataCentreIsServed(t *testing.T) {
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")

	for name, list := range map[string]bool{"newest records": false, "complete list": true} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := relayer.New(relayer.Settings{Rate: 1e6, MaxBacklog: 200 * time.Millisecond})
			n := time.Unix(1000, 0)
			q := relayer.Request{Next: 7, Bytes: 20_000, Centre: "far", Far: true, List: list}

			q.To = a
			_, ok := r.ServeOrRedirect(n, q)
			i.True(ok)

			q.To = b
			to, ok := r.ServeOrRedirect(n, q)
			i.True(!ok)
			i.Equal(to, a)

			_, ok = r.ServeOrRedirect(n, q)
			i.Equal(ok, list) // One that needs the list comes back if the redirect failed.

			// One of this data centre is served as long as the link is free, and an older list will do.
			q = relayer.Request{Next: 9, Bytes: 20_000, To: a, Centre: "near", List: list}
			_, ok = r.ServeOrRedirect(n, q)
			i.True(ok)
		})
	}
}
