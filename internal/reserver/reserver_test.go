package reserver_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/reserver"
	"github.com/auburntray/auburntray/internal/wire"
)

// fleet connects instances without a network.
type fleet struct {
	members   []gossiper.Member
	instances []*reserver.Reserver
	// home is the index of the instance that is the home of all targets.
	home int
	// failed are instances that refuse connections, and stalled are those that accept messages but
	// don't reply.
	failed, stalled map[int]bool
	// requests is the number of requests for a slot.
	requests int
}

func newFleet(number int) *fleet {
	f := &fleet{failed: make(map[int]bool), stalled: make(map[int]bool)}

	for n := range number {
		f.members = append(f.members, gossiper.Member{
			ID: uint64(n + 1), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), DataCentre: "dc",
		})
		f.instances = append(f.instances, reserver.New(view{f, n}, view{f, n}))
	}

	return f
}

// view is the fleet as seen by one instance.
type view struct {
	*fleet

	number int
}

func (v view) Live() []gossiper.Member { return v.members }
func (v view) Self() gossiper.Member   { return v.members[v.number] }

func (v view) Home(uint64, []string) (gossiper.Member, bool) { return v.members[v.home], true }

func (v view) Call(c context.Context, a netip.AddrPort, _ wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error {
	n := v.at(a)
	v.requests++

	if v.stalled[n] {
		<-c.Done()

		return c.Err()
	}

	if v.failed[n] {
		return errors.New("connection refused")
	}

	b, err := q.MarshalMsg(nil)
	if err != nil {
		return err
	}

	m, err := v.instances[n].HandleReserve(c, v.Self().ID, b)
	if err != nil {
		return err
	}

	b, err = m.MarshalMsg(nil)
	if err != nil {
		return err
	}

	_, err = r.UnmarshalMsg(b)

	return err
}

func (v view) Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}

	h := v.instances[v.at(a)].HandleVacate
	if k == wire.KindOccupancy {
		h = v.instances[v.at(a)].HandleOccupancy
	}

	_, err = h(c, v.Self().ID, b)

	return err
}

func (v view) at(a netip.AddrPort) int {
	return slices.IndexFunc(v.members, func(m gossiper.Member) bool { return m.Address == a })
}

// request returns a request with a bound on the calls at the target.
func request(maxCalls int) aggregator.Request {
	return aggregator.Request{MaxCalls: maxCalls, Deadline: time.Now().Add(time.Minute)}
}

// registry returns a registry with one target.
func registry() *discoverer.Registry {
	e := discoverer.New(discoverer.DefaultSettings())
	e.Set(discoverer.Target{ID: "t", Group: "g", DataCentre: "dc", Slots: 2, Address: netip.MustParseAddrPort("10.1.0.1:80")})

	return e.Registry()
}

// Guards against instances that together exceed the bound of a target that each considers idle, whether
// its home is one of them or another instance.
func TestInstancesShareOneCount(t *testing.T) {
	for name, home := range map[string]int{"third instance": 2, "requesting instance": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f := newFleet(20)
				f.home = home
				x := registry().Known["t"]

				a, release := f.instances[0].Reserve(t.Context(), x, request(2))
				b, _ := f.instances[1].Reserve(t.Context(), x, request(2))
				i.Equal(a, aggregator.Verdict{Outcome: aggregator.Granted, Calls: 1})
				i.Equal(b, aggregator.Verdict{Outcome: aggregator.Granted, Calls: 2})

				c, releaseNone := f.instances[1].Reserve(t.Context(), x, request(2))
				i.Equal(c, aggregator.Verdict{Outcome: aggregator.Full, Calls: 2})
				releaseNone(aggregator.NoResult, 0)

				release(aggregator.Answered, 0.5)
				synctest.Wait()

				c, _ = f.instances[1].Reserve(t.Context(), x, request(2))
				i.Equal(c, aggregator.Verdict{Outcome: aggregator.Granted, Calls: 2})

				f.instances[1].Report(x, 5)
				synctest.Wait()

				c, _ = f.instances[0].Reserve(t.Context(), x, request(2))
				i.Equal(c.Outcome, aggregator.Full)

				f.instances[home].Prune(discoverer.New(discoverer.DefaultSettings()).Registry())

				c, _ = f.instances[0].Reserve(t.Context(), x, request(2))
				i.Equal(c.Outcome, aggregator.Granted)
			})
		})
	}
}

// Guards against calls that wait for a home that has stalled or crashed. One call waits until the
// time-out, and those after it not at all until the end of the backoff.
func TestSilentHomeDelaysOneCall(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)

	for name, tc := range map[string]struct {
		failed, stalled bool
		wait            time.Duration
	}{
		"stalled": {stalled: true, wait: 30 * time.Millisecond},
		"crashed": {failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f := newFleet(20)
				f.home = 2
				f.failed[2], f.stalled[2] = tc.failed, tc.stalled
				x := registry().Known["t"]

				for range 3 {
					b := time.Now()
					v, release := f.instances[0].Reserve(t.Context(), x, request(2))
					release(aggregator.Answered, 0.5)

					i.Equal(v, aggregator.Verdict{})
					i.True(time.Since(b) <= tc.wait)
				}

				synctest.Wait()
				i.Equal(f.requests, 1)

				f.failed[2], f.stalled[2] = false, false

				time.Sleep(time.Second)

				v, _ := f.instances[0].Reserve(t.Context(), x, request(2))
				i.Equal(v.Outcome, aggregator.Granted)
			})
		})
	}
}

// Guards against an instance that gets a slot at a target whose calls from other instances failed, or
// that does not receive the target's latency.
func TestInstancesShareHealthStatus(t *testing.T) {
	for name, home := range map[string]int{"third instance": 2, "requesting instance": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f := newFleet(20)
				f.home = home
				x := registry().Known["t"]

				for n := range 3 {
					_, release := f.instances[n].Reserve(t.Context(), x, request(9))
					release(aggregator.Failed, 0.25)
					synctest.Wait()
				}

				v, release := f.instances[4].Reserve(t.Context(), x, request(9))
				i.Equal(v, aggregator.Verdict{Outcome: aggregator.Excluded, Latency: 0.25})
				release(aggregator.NoResult, 0)

				q := request(9)
				q.AllowExcluded = true
				v, _ = f.instances[4].Reserve(t.Context(), x, q)
				i.Equal(v.Outcome, aggregator.Granted)
			})
		})
	}
}

// Guards against a home that is put in backoff because a caller disconnected while its call waited.
func TestDisconnectedCallerCausesNoBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f := newFleet(20)
		f.home = 2
		f.stalled[2] = true
		x := registry().Known["t"]

		c, cancel := context.WithCancel(t.Context())
		cancel()

		v, _ := f.instances[0].Reserve(c, x, request(2))
		i.Equal(v, aggregator.Verdict{})

		synctest.Wait()

		f.stalled[2] = false

		v, _ = f.instances[0].Reserve(t.Context(), x, request(2))
		i.Equal(v.Outcome, aggregator.Granted)
	})
}

// Guards against needless requests: few instances learn of each other's calls fast enough without a home,
// and an instance in another data centre is no home.
func TestTargetsWithoutHome(t *testing.T) {
	i := is.New(t)
	x := registry().Known["t"]

	f := newFleet(15)
	v, release := f.instances[0].Reserve(t.Context(), x, request(2))
	release(aggregator.Answered, 0.5)
	i.Equal(v, aggregator.Verdict{})

	f = newFleet(20)
	f.members[0].DataCentre = "other"
	v, _ = f.instances[1].Reserve(t.Context(), x, request(2))
	i.Equal(v, aggregator.Verdict{})
	i.Equal(f.requests, 0)
}

// Guards against calls that nobody counts at a target which crashes when it gets too many, in a small fleet.
func TestSmallFleetCountsExactly(t *testing.T) {
	i := is.New(t)
	f := newFleet(6)
	x, q := registry().Known["t"], request(2)
	q.Exact = true

	for n, want := range []aggregator.Outcome{aggregator.Granted, aggregator.Granted, aggregator.Full} {
		v, _ := f.instances[n+1].Reserve(t.Context(), x, q)
		i.Equal(v.Outcome, want)
	}
}

// Guards against invalid or truncated messages that are accepted.
func TestInvalidMessages(t *testing.T) {
	i := is.New(t)
	f := newFleet(20)

	for _, b := range [][]byte{nil, {0xc1}, {0x94, 0x01}} {
		_, err := f.instances[0].HandleReserve(t.Context(), 1, b)
		i.True(errors.Is(err, reserver.ErrReservation))

		_, err = f.instances[0].HandleVacate(t.Context(), 1, b)
		i.True(errors.Is(err, reserver.ErrReservation))

		_, err = f.instances[0].HandleOccupancy(t.Context(), 1, b)
		i.True(errors.Is(err, reserver.ErrReservation))
	}
}
