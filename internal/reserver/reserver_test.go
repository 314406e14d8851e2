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

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/reserver"
	"github.com/auburntray/auburntray/internal/tallier"
	"github.com/auburntray/auburntray/internal/wire"
)

// fleet joins instances without a network.
type fleet struct {
	members   []gossiper.Member
	instances []*reserver.Reserver
	// home is the number of the instance that is the home of all targets.
	home int
	// fail are instances that refuse connections, and still are those that take messages
	// and answer none.
	fail, still map[int]bool
	asked       int
}

func newFleet(number int) *fleet {
	f := &fleet{fail: make(map[int]bool), still: make(map[int]bool)}

	for n := range number {
		f.members = append(f.members, gossiper.Member{
			ID: uint64(n + 1), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), DataCentre: "dc",
		})
		f.instances = append(f.instances, reserver.New(view{f, n}, view{f, n}))
	}

	return f
}

// view is the fleet as one instance sees it.
type view struct {
	*fleet

	number int
}

func (v view) Live() []gossiper.Member { return v.members }
func (v view) Self() gossiper.Member   { return v.members[v.number] }

func (v view) Home(uint64, []string) (gossiper.Member, bool) { return v.members[v.home], true }

func (v view) Call(c context.Context, a netip.AddrPort, _ wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error {
	n := v.at(a)
	v.asked++

	if v.still[n] {
		<-c.Done()

		return c.Err()
	}

	if v.fail[n] {
		return errors.New("refused")
	}

	b, err := q.MarshalMsg(nil)
	if err != nil {
		return err
	}

	m, err := v.instances[n].Reserved(c, v.Self().ID, b)
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

	h := v.instances[v.at(a)].Vacated
	if k == wire.KindOccupancy {
		h = v.instances[v.at(a)].Occupied
	}

	_, err = h(c, v.Self().ID, b)

	return err
}

func (v view) at(a netip.AddrPort) int {
	return slices.IndexFunc(v.members, func(m gossiper.Member) bool { return m.Address == a })
}

// request asks for room where there may be so many calls.
func request(most int) tallier.Request {
	return tallier.Request{Most: most, Until: time.Now().Add(time.Minute)}
}

// roster returns a list of one target.
func roster() *enroller.Roster {
	e := enroller.New(enroller.DefaultSettings())
	e.Set(enroller.Target{ID: "t", Group: "g", DataCentre: "dc", Slots: 2, Address: netip.MustParseAddrPort("10.1.0.1:80")})

	return e.Roster()
}

// Two instances send to one target that both believe to be idle: together they must not give
// it more calls than it may have, wherever its home is.
func TestInstancesGoByOneCount(t *testing.T) {
	for name, home := range map[string]int{"at a third": 2, "at the first itself": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f := newFleet(20)
				f.home = home
				x := roster().Known["t"]

				a, end := f.instances[0].Reserve(t.Context(), x, request(2))
				b, _ := f.instances[1].Reserve(t.Context(), x, request(2))
				i.Equal(a, tallier.Verdict{Outcome: tallier.Granted, Calls: 1})
				i.Equal(b, tallier.Verdict{Outcome: tallier.Granted, Calls: 2})

				c, none := f.instances[1].Reserve(t.Context(), x, request(2))
				i.Equal(c, tallier.Verdict{Outcome: tallier.Full, Calls: 2})
				none(tallier.Nothing, 0)

				end(tallier.Well, 0.5)
				synctest.Wait()

				c, _ = f.instances[1].Reserve(t.Context(), x, request(2))
				i.Equal(c, tallier.Verdict{Outcome: tallier.Granted, Calls: 2})

				f.instances[1].Report(x, 5)
				synctest.Wait()

				c, _ = f.instances[0].Reserve(t.Context(), x, request(2))
				i.Equal(c.Outcome, tallier.Full)

				f.instances[home].Forget(enroller.New(enroller.DefaultSettings()).Roster())

				c, _ = f.instances[0].Reserve(t.Context(), x, request(2))
				i.Equal(c.Outcome, tallier.Granted)
			})
		})
	}
}

// The home of a target stands still or has died. A call waits for it no longer than a moment,
// and those after it not at all, until it is tried again.
func TestSilentHomeHoldsUpOneCall(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)

	for name, tc := range map[string]struct {
		fail, still bool
		waits       time.Duration
	}{
		"stands still": {still: true, waits: 30 * time.Millisecond},
		"has died":     {fail: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f := newFleet(20)
				f.home = 2
				f.fail[2], f.still[2] = tc.fail, tc.still
				x := roster().Known["t"]

				for range 3 {
					b := time.Now()
					v, end := f.instances[0].Reserve(t.Context(), x, request(2))
					end(tallier.Well, 0.5)

					i.Equal(v, tallier.Verdict{})
					i.True(time.Since(b) <= tc.waits)
				}

				synctest.Wait()
				i.Equal(f.asked, 1)

				f.fail[2], f.still[2] = false, false

				time.Sleep(time.Second)

				v, _ := f.instances[0].Reserve(t.Context(), x, request(2))
				i.Equal(v.Outcome, tallier.Granted)
			})
		})
	}
}

// What the calls of several instances showed of a target is known to whoever asks next, also
// how long it takes to begin an answer.
func TestInstancesGoByOneWord(t *testing.T) {
	for name, home := range map[string]int{"at a third": 2, "at the first itself": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f := newFleet(20)
				f.home = home
				x := roster().Known["t"]

				for n := range 3 {
					_, end := f.instances[n].Reserve(t.Context(), x, request(9))
					end(tallier.Failed, 0.25)
					synctest.Wait()
				}

				v, none := f.instances[4].Reserve(t.Context(), x, request(9))
				i.Equal(v, tallier.Verdict{Outcome: tallier.Left, Pace: 0.25})
				none(tallier.Nothing, 0)

				q := request(9)
				q.Anyway = true
				v, _ = f.instances[4].Reserve(t.Context(), x, q)
				i.Equal(v.Outcome, tallier.Granted)
			})
		})
	}
}

// A caller that leaves while its call waits for a home says nothing about the home.
func TestCallerThatLeavesIsNotHeldAgainstAHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f := newFleet(20)
		f.home = 2
		f.still[2] = true
		x := roster().Known["t"]

		c, leave := context.WithCancel(t.Context())
		leave()

		v, _ := f.instances[0].Reserve(c, x, request(2))
		i.Equal(v, tallier.Verdict{})

		synctest.Wait()

		f.still[2] = false

		v, _ = f.instances[0].Reserve(t.Context(), x, request(2))
		i.Equal(v.Outcome, tallier.Granted)
	})
}

// A few instances know of each other's calls at once, and ask nobody. The home of a data centre
// without an instance is no home.
func TestWhereThereIsNoHome(t *testing.T) {
	i := is.New(t)
	x := roster().Known["t"]

	f := newFleet(15)
	v, end := f.instances[0].Reserve(t.Context(), x, request(2))
	end(tallier.Well, 0.5)
	i.Equal(v, tallier.Verdict{})

	f = newFleet(20)
	f.members[0].DataCentre = "other"
	v, _ = f.instances[1].Reserve(t.Context(), x, request(2))
	i.Equal(v, tallier.Verdict{})
	i.Equal(f.asked, 0)
}

// What is no message of this kind, or a part of one, is refused and changes nothing.
func TestMessagesThatCannotBeRead(t *testing.T) {
	i := is.New(t)
	f := newFleet(20)

	for _, b := range [][]byte{nil, {0xc1}, {0x94, 0x01}} {
		_, err := f.instances[0].Reserved(t.Context(), 1, b)
		i.True(errors.Is(err, reserver.ErrReservation))

		_, err = f.instances[0].Vacated(t.Context(), 1, b)
		i.True(errors.Is(err, reserver.ErrReservation))

		_, err = f.instances[0].Occupied(t.Context(), 1, b)
		i.True(errors.Is(err, reserver.ErrReservation))
	}
}
