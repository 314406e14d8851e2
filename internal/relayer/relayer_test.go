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

					e, ok := relayers[from].ServeOrRedirect(at, 1, bytes, address(n), false)
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
		to   netip.AddrPort
		next int64
		must bool
		want netip.AddrPort
	}{
		"already served, repeats the request": {to: a, next: 1},
		"others wait for it":                  {to: b, next: 1, must: true},
		"first requester of a new offset":     {to: b, next: 2},
		"another requester":                   {to: c, next: 1, want: a},
		"unknown address":                     {next: 1, want: a},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := relayer.New(relayer.Settings{Rate: 1000, MaxBacklog: time.Second})

			_, ok := r.ServeOrRedirect(n, 1, 1000, a, false)
			i.True(ok)

			e, ok := r.ServeOrRedirect(n, x.next, 1000, x.to, x.must)
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

	_, ok := r.ServeOrRedirect(n, 7, 1e6, a, false)
	i.True(ok)

	to, ok := r.ServeOrRedirect(n, 7, 1e6, b, false)
	i.True(!ok)
	i.Equal(to, a)

	r.Forget()

	_, ok = r.ServeOrRedirect(n, 7, 1e6, b, false)
	i.True(ok)
}
