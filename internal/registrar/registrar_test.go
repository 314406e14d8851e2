package registrar_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/claimer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/registrar"
	"github.com/auburntray/auburntray/internal/standin/platform"
	"github.com/auburntray/auburntray/internal/standin/waiter"
	"github.com/auburntray/auburntray/internal/wire"
)

// alone is a router that takes itself, or another, for every key's home.
type alone struct{ home uint64 }

func (a alone) Home(uint64, []string) (gossiper.Member, bool) {
	return gossiper.Member{ID: a.home}, true
}
func (alone) Suspect(uint64)        {}
func (alone) Self() gossiper.Member { return gossiper.Member{ID: 1} }

// process is a fake of this process; true says that it just stood still.
type process bool

func (p process) Stalled(time.Time) bool { return bool(p) }

// peers answers calls to the home; without a registrar it can't be reached.
type peers struct {
	home *registrar.Registrar
	// lose loses the reply after the home has acted.
	lose bool
}

func (p *peers) Call(c context.Context, _ netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error {
	if p.home == nil {
		return messenger.ErrUnreachable
	}

	b, err := q.MarshalMsg(nil)
	if err != nil {
		return err
	}

	h := make(handlers)
	p.home.Register(h)

	o, err := h[k](c, 1, b)
	if err != nil {
		return messenger.ErrRefused
	}

	if p.lose {
		return messenger.ErrTimeout
	}

	x, err := o.MarshalMsg(nil)
	if err != nil {
		return err
	}

	_, err = r.UnmarshalMsg(x)

	return err
}

type handlers map[wire.Kind]messenger.Handler

func (h handlers) Handle(k wire.Kind, f messenger.Handler) { h[k] = f }

// newLog starts a stand-in of the platform.
func newLog(t *testing.T) (*platform.Platform, netip.AddrPort) {
	t.Helper()

	p := platform.New(platform.Settings{Retention: time.Hour, AppendsPerSecond: 10000})
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)

	return p, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func newRegistrar(t *testing.T, a netip.AddrPort, home uint64, p *peers) *registrar.Registrar {
	t.Helper()

	r, stop := recorder.New(a, "dc-1")
	t.Cleanup(stop)

	return registrar.New(r, p, alone{home}, process(false), time.Hour)
}

func claim(key, id uint64) registrar.Claim {
	return registrar.Claim{Key: key, ID: id, Body: 5, Within: time.Minute}
}

// Two routers both take themselves for the home of a key, and a booking comes to
// both at once. Each appends its claim and both are told that theirs is in the
// log; only the first by offset may send.
func TestTwoHomesClaimOneKey(t *testing.T) {
	i := is.New(t)
	_, a := newLog(t)
	l := []*registrar.Registrar{newRegistrar(t, a, 1, nil), newRegistrar(t, a, 1, nil)}

	for k := range uint64(30) {
		var (
			g   sync.WaitGroup
			won atomic.Int32
		)

		for n, r := range l {
			g.Go(func() {
				s, err := r.Claim(t.Context(), claim(k, uint64(n+1)))
				if err == nil && s.Outcome == claimer.Won {
					won.Add(1)
				}
			})
		}

		g.Wait()
		i.Equal(won.Load(), int32(1))
	}
}

// The log is down, loses replies, or the home can't be asked. Whatever happens,
// a claim that is reported lost is never won later, and the key is not lost with
// it: the caller's next try runs.
func TestClaimUnderFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		faults platform.Faults
		peers  func(t *testing.T, a netip.AddrPort) *peers
		home   uint64
		want   claimer.Outcome
		err    bool
	}{
		"nothing fails":                      {want: claimer.Won},
		"the append's reply is lost":         {faults: platform.Faults{LoseReplies: 1}, want: claimer.Won},
		"the log is down":                    {faults: platform.Faults{Outage: true}, err: true},
		"the home answers":                   {home: 2, peers: healthy, want: claimer.Won},
		"the home can't be reached":          {home: 2, peers: func(*testing.T, netip.AddrPort) *peers { return &peers{} }, want: claimer.Won},
		"the home's reply is lost":           {home: 2, peers: lossy, want: claimer.Won},
		"the home's append's reply is lost":  {home: 2, peers: healthy, faults: platform.Faults{LoseReplies: 1}, want: claimer.Won},
		"the home and the log can't be used": {home: 2, peers: healthy, faults: platform.Faults{Outage: true}, err: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			p, a := newLog(t)
			p.SetFaults(tc.faults)

			if tc.home == 0 {
				tc.home = 1
			}

			var q *peers
			if tc.peers != nil {
				q = tc.peers(t, a)
			}

			r := newRegistrar(t, a, tc.home, q)
			s, err := r.Claim(t.Context(), claim(1, 1))

			if !tc.err {
				i.NoErr(err)
				i.Equal(s.Outcome, tc.want)

				return
			}

			i.True(errors.Is(err, registrar.ErrNotClaimed))
			p.SetFaults(platform.Faults{})

			// The lost claim is released in the background; the next try wins.
			waiter.Until(t, "the release of the lost claim", func() bool {
				s, err := r.Claim(t.Context(), claim(1, 2))

				return err == nil && s.Outcome == claimer.Won
			})
		})
	}
}

// watched notes that the home was passed over.
type watched struct {
	alone
	suspected bool
}

func (w *watched) Suspect(uint64) { w.suspected = true }

// failing fails each call.
type failing struct{ err error }

func (f failing) Call(context.Context, netip.AddrPort, wire.Kind, msgp.Marshaler, msgp.Unmarshaler) error {
	return f.err
}

// This router stands still while it asks a key's home for a claim, and on waking the
// time of the call has run out. The home is not passed over for it; one that is mute
// while this router runs, or refuses the connection, is. The call goes on either way.
func TestAPauseIsNotHeldAgainstAKeysHome(t *testing.T) {
	late := errors.Mark(context.DeadlineExceeded, messenger.ErrTimeout)
	refused := errors.Mark(syscall.ECONNREFUSED, messenger.ErrUnreachable)

	for name, tc := range map[string]struct {
		err       error
		still     process
		suspected bool
	}{
		"stood still, out of time": {err: late, still: true},
		"runs, out of time":        {err: late, suspected: true},
		"stood still, refused":     {err: refused, still: true, suspected: true},
		"runs, refused":            {err: refused, suspected: true},
		"the home could not":       {err: messenger.ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			_, a := newLog(t)

			l, stop := recorder.New(a, "dc-1")
			defer stop()

			m := &watched{alone: alone{home: 2}}
			s, err := registrar.New(l, failing{err: tc.err}, m, tc.still, time.Hour).Claim(t.Context(), claim(1, 1))
			i.NoErr(err)
			i.Equal(s.Outcome, claimer.Won)
			i.Equal(m.suspected, tc.suspected)
		})
	}
}

func healthy(t *testing.T, a netip.AddrPort) *peers {
	t.Helper()

	return &peers{home: newRegistrar(t, a, 1, nil)}
}

func lossy(t *testing.T, a netip.AddrPort) *peers {
	t.Helper()

	return &peers{home: newRegistrar(t, a, 1, nil), lose: true}
}

// The home appends the claim, but can't read it back, and reports that it was
// not claimed. The entry claims from where it is, under the same ID, wins and
// sends. Had the home released "its" claim meanwhile, the key would be free while
// the booking runs, and a second try would book again.
func TestOnlyTheSenderReleases(t *testing.T) {
	i := is.New(t)
	_, a := newLog(t)
	blind := &peers{home: registrar.New(&blindLog{t: t, address: a}, nil, alone{1}, process(false), time.Hour)}
	entry := newRegistrar(t, a, 2, blind)

	s, err := entry.Claim(t.Context(), claim(1, 1))
	i.NoErr(err)
	i.Equal(s.Outcome, claimer.Won)

	// Whatever the home has under way gets its time.
	time.Sleep(200 * time.Millisecond)

	other := newRegistrar(t, a, 1, nil)
	s, err = other.Claim(t.Context(), claim(1, 2))
	i.NoErr(err)
	i.Equal(s.Outcome, claimer.InProgress)
}

// blindLog appends and can't read.
type blindLog struct {
	t       *testing.T
	address netip.AddrPort
}

func (b *blindLog) Append(c context.Context, s string, d [][]byte) (uint64, error) {
	r, stop := recorder.New(b.address, "dc-1")
	defer stop()

	return r.Append(c, s, d)
}

func (*blindLog) Read(context.Context, string, uint64, time.Duration) (recorder.Batch, error) {
	return recorder.Batch{}, recorder.ErrDown
}

func TestARepeatGetsTheRecordedAnswer(t *testing.T) {
	i := is.New(t)
	p, a := newLog(t)
	r, other := newRegistrar(t, a, 1, nil), newRegistrar(t, a, 1, nil)

	_, err := r.Claim(t.Context(), claim(1, 1))
	i.NoErr(err)
	i.NoErr(r.Settle(t.Context(), claim(1, 1), claimer.Ran, claimer.Answer{Status: 201, Body: []byte("booked")}))

	for _, x := range []*registrar.Registrar{r, other} {
		s, err := x.Claim(t.Context(), claim(1, 2))
		i.NoErr(err)
		i.Equal(s.Outcome, claimer.Ran)
		i.Equal(s.Answer.Status, 201)
		i.Equal(string(s.Answer.Body), "booked")
	}

	// Also while the log is down, from where it is known.
	p.SetFaults(platform.Faults{Outage: true})

	s, err := other.Claim(t.Context(), claim(1, 3))
	i.NoErr(err)
	i.Equal(s.Outcome, claimer.Ran)
}

// Many bookings come at once. One append each would pass the log's few hundred
// a second; those that come while an append is under way go in one together.
func TestClaimsGoInGroups(t *testing.T) {
	i := is.New(t)
	p, a := newLog(t)
	p.SetFaults(platform.Faults{SlowMs: 20})

	r := newRegistrar(t, a, 1, nil)

	var g sync.WaitGroup

	for n := range uint64(200) {
		g.Go(func() {
			_, err := r.Claim(t.Context(), claim(n*64, n+1)) // one partition
			if err != nil {
				t.Error(err)
			}
		})
	}

	g.Wait()
	i.True(p.Appends() < 50)
}

func BenchmarkClaim(b *testing.B) {
	p := platform.New(platform.Settings{Retention: time.Hour, AppendsPerSecond: 1e6})
	s := httptest.NewServer(p.Handler())
	defer s.Close()

	x, stop := recorder.New(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), "dc-1")
	defer stop()

	r := registrar.New(x, nil, alone{1}, process(false), time.Hour)
	n := uint64(0)

	for b.Loop() {
		n++

		if _, err := r.Claim(b.Context(), claim(n, n)); err != nil {
			b.Fatal(err)
		}
	}

	b.ReportMetric(float64(x.Bytes())/float64(n), "logBytes/op")
}
