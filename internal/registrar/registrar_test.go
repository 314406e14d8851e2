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

// fakeMembers is a fake of the membership, with one router as the home of all keys.
type fakeMembers struct{ home uint64 }

func (a fakeMembers) Home(uint64, []string) (gossiper.Member, bool) {
	return gossiper.Member{ID: a.home}, true
}
func (fakeMembers) Suspect(uint64)        {}
func (fakeMembers) Self() gossiper.Member { return gossiper.Member{ID: 1} }

// fakeStallMonitor reports that this process was just stalled if it is true.
type fakeStallMonitor bool

func (f fakeStallMonitor) Stalled(time.Time) bool { return bool(f) }

// peers is a fake of the home, which is unreachable without a Registrar.
type peers struct {
	home *registrar.Registrar
	// loseReplies discards the home's reply after the home has handled the request.
	loseReplies bool
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

	if p.loseReplies {
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

// newLog starts a stand-in for the platform.
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

	return registrar.New(r, p, fakeMembers{home}, fakeStallMonitor(false), time.Hour)
}

func claim(key, id uint64) registrar.Claim {
	return registrar.Claim{Key: key, ID: id, Body: 5, Timeout: time.Minute}
}

// Guards against a call that runs twice when two routers both consider themselves the home
// of a key. Both append a claim for the same call; only the one with the lower offset may
// send it.
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

// Guards against keys that remain claimed after a claim failed. The log is unavailable or
// loses replies, or the home fails: a claim that was reported as failed must never be
// won later, and must be released, so that the caller's next attempt wins the key.
func TestClaimUnderFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		faults platform.Faults
		peers  func(t *testing.T, a netip.AddrPort) *peers
		home   uint64
		want   claimer.Outcome
		err    bool
	}{
		"no fault":                        {want: claimer.Won},
		"reply to the append lost":        {faults: platform.Faults{LoseReplies: 1}, want: claimer.Won},
		"log unavailable":                 {faults: platform.Faults{Outage: true}, err: true},
		"home answers":                    {home: 2, peers: healthy, want: claimer.Won},
		"home unreachable":                {home: 2, peers: func(*testing.T, netip.AddrPort) *peers { return &peers{} }, want: claimer.Won},
		"reply of the home lost":          {home: 2, peers: lossy, want: claimer.Won},
		"reply to the home's append lost": {home: 2, peers: healthy, faults: platform.Faults{LoseReplies: 1}, want: claimer.Won},
		"home and log unavailable":        {home: 2, peers: healthy, faults: platform.Faults{Outage: true}, err: true},
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

			// The failed claim is released in the background, and then the next claim wins.
			waiter.Until(t, "the release of the failed claim", func() bool {
				s, err := r.Claim(t.Context(), claim(1, 2))

				return err == nil && s.Outcome == claimer.Won
			})
		})
	}
}

// watchedMembers records whether the home was suspected.
type watchedMembers struct {
	fakeMembers
	suspected bool
}

func (w *watchedMembers) Suspect(uint64) { w.suspected = true }

// failingPeers fails each request.
type failingPeers struct{ err error }

func (f failingPeers) Call(context.Context, netip.AddrPort, wire.Kind, msgp.Marshaler, msgp.Unmarshaler) error {
	return f.err
}

// Guards against suspecting a key's home because this router was stalled: the request to
// the home times out during the stall, though the home is live. A home that times out while
// this router runs, or refuses connections, is suspected. The claim succeeds either way.
func TestStallDoesNotSuspectTheHome(t *testing.T) {
	timedOut := errors.Mark(context.DeadlineExceeded, messenger.ErrTimeout)
	refused := errors.Mark(syscall.ECONNREFUSED, messenger.ErrUnreachable)

	for name, tc := range map[string]struct {
		err       error
		stalled   fakeStallMonitor
		suspected bool
	}{
		"stalled, timeout":            {err: timedOut, stalled: true},
		"running, timeout":            {err: timedOut, suspected: true},
		"stalled, connection refused": {err: refused, stalled: true, suspected: true},
		"running, connection refused": {err: refused, suspected: true},
		"home returned an error":      {err: messenger.ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			_, a := newLog(t)

			l, stop := recorder.New(a, "dc-1")
			defer stop()

			m := &watchedMembers{fakeMembers: fakeMembers{home: 2}}
			s, err := registrar.New(l, failingPeers{err: tc.err}, m, tc.stalled, time.Hour).Claim(t.Context(), claim(1, 1))
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

	return &peers{home: newRegistrar(t, a, 1, nil), loseReplies: true}
}

// Guards against a home that releases a claim on its own. The home appends the claim but
// can't read the stream, and reports a failure. The entry router claims under the same ID,
// wins and sends the call. If the home released the claim, the key would be unclaimed while
// the call runs, and a retry would run it again.
func TestOnlyTheSenderReleases(t *testing.T) {
	i := is.New(t)
	_, a := newLog(t)
	home := &peers{home: registrar.New(&unreadableLog{t: t, address: a}, nil, fakeMembers{1}, fakeStallMonitor(false), time.Hour)}
	entry := newRegistrar(t, a, 2, home)

	s, err := entry.Claim(t.Context(), claim(1, 1))
	i.NoErr(err)
	i.Equal(s.Outcome, claimer.Won)

	// Leaves time for appends that the home may have started.
	time.Sleep(200 * time.Millisecond)

	other := newRegistrar(t, a, 1, nil)
	s, err = other.Claim(t.Context(), claim(1, 2))
	i.NoErr(err)
	i.Equal(s.Outcome, claimer.InProgress)
}

// unreadableLog is a log that accepts appends and fails reads.
type unreadableLog struct {
	t       *testing.T
	address netip.AddrPort
}

func (b *unreadableLog) Append(c context.Context, s string, d [][]byte) (uint64, error) {
	r, stop := recorder.New(b.address, "dc-1")
	defer stop()

	return r.Append(c, s, d)
}

func (*unreadableLog) Read(context.Context, string, uint64, time.Duration) (recorder.Batch, error) {
	return recorder.Batch{}, recorder.ErrDown
}

func TestRepeatReceivesTheRecordedAnswer(t *testing.T) {
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

	// A router that has read the answer replays it while the log is unavailable.
	p.SetFaults(platform.Faults{Outage: true})

	s, err := other.Claim(t.Context(), claim(1, 3))
	i.NoErr(err)
	i.Equal(s.Outcome, claimer.Ran)
}

// Guards against one append per claim, which would exceed the few hundred appends per second
// that the log accepts. Claims that arrive during an append must share the next append.
func TestClaimsAreBatched(t *testing.T) {
	i := is.New(t)
	p, a := newLog(t)
	p.SetFaults(platform.Faults{SlowMs: 20})

	r := newRegistrar(t, a, 1, nil)

	var g sync.WaitGroup

	for n := range uint64(200) {
		g.Go(func() {
			_, err := r.Claim(t.Context(), claim(n*64, n+1)) // All keys belong to one partition.
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

	r := registrar.New(x, nil, fakeMembers{1}, fakeStallMonitor(false), time.Hour)
	n := uint64(0)

	for b.Loop() {
		n++

		if _, err := r.Claim(b.Context(), claim(n, n)); err != nil {
			b.Fatal(err)
		}
	}

	b.ReportMetric(float64(x.Bytes())/float64(n), "logBytes/op")
}
