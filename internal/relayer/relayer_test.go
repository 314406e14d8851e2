package relayer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/relayer"
)

// Guards against one instance that tells all others: its link takes longer for it than the change may take.
// The load: all of a data centre wait for a configuration of a hundred kilobytes over links of 10 Mbit/s.
func TestReplayOfAllWhoWaitForOne(t *testing.T) {
	const (
		rate  = 1.25e6
		bytes = 100_000
		most  = 300 * time.Millisecond
	)

	for name, x := range map[string]struct {
		waiting int
		within  time.Duration
	}{
		"one":            {1, 100 * time.Millisecond},
		"a few":          {4, 400 * time.Millisecond},
		"27, a third":    {27, 900 * time.Millisecond},
		"50, at most":    {50, time.Second},
		"380 in one":     {380, 1300 * time.Millisecond},
		"3800, ten-fold": {3800, 1800 * time.Millisecond},
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
				relayers[n] = relayer.New(relayer.Settings{Rate: rate, Most: most})
			}

			has[0] = b
			last := b

			for n := 1; n <= x.waiting; n++ {
				at, from := b, 0

				for {
					if has[from].After(at) {
						at = has[from]
					}

					e, ok := relayers[from].Tell(at, 1, bytes, address(n), false)
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

// Guards against an instance that is sent on for ever, or to itself.
func TestWhoIsToldInAnyCase(t *testing.T) {
	a, b, c := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	n := time.Now()

	for name, x := range map[string]struct {
		to   netip.AddrPort
		next int64
		must bool
		want netip.AddrPort
	}{
		"one that was told and asks again": {to: a, next: 1},
		"one for whom others wait":         {to: b, next: 1, must: true},
		"the first to ask for what is new": {to: b, next: 2},
		"another":                          {to: c, next: 1, want: a},
		"one that is not known":            {next: 1, want: a},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := relayer.New(relayer.Settings{Rate: 1000, Most: time.Second})

			_, ok := r.Tell(n, 1, 1000, a, false)
			i.True(ok)

			e, ok := r.Tell(n, x.next, 1000, x.to, x.must)
			i.Equal(e, x.want)
			i.Equal(ok, !x.want.IsValid())
		})
	}
}
