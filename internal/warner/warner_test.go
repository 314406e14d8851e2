package warner_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/warner"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	call = digester.Digest(7)
	// soon is within how long others are told at once.
	soon = 50 * time.Millisecond
	// bound is within how long every instance must know, by the users.
	bound = 3 * time.Second
)

// fleet joins instances without a network.
type fleet struct {
	members   []gossiper.Member
	instances []*warner.Warner

	mu sync.Mutex
	// cut are the instances that reach nobody and are reached by nobody.
	cut map[int]bool
	// bytes counts what the instances sent.
	bytes int
}

// view is the fleet as one instance sees it.
type view struct {
	*fleet

	number int
}

func (v view) Live() []gossiper.Member { return v.members }
func (v view) Self() gossiper.Member   { return v.members[v.number] }

func (v view) deliver(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) (msgp.Marshaler, error) {
	n := slices.IndexFunc(v.members, func(m gossiper.Member) bool { return m.Address == a })

	b, err := m.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}

	v.mu.Lock()
	v.bytes += len(b)
	cut := v.cut[n] || v.cut[v.number]
	v.mu.Unlock()

	if cut {
		return nil, errors.New("cut off")
	}

	x := v.instances[n]

	switch k {
	case wire.KindSuspects:
		return x.Told(c, v.Self().ID, b)
	case wire.KindSuspectsRelay:
		return x.Relayed(c, v.Self().ID, b)
	case wire.KindTrial:
		return x.Tried(c, v.Self().ID, b)
	default:
		return x.Asked(c, v.Self().ID, b)
	}
}

func (v view) Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error {
	_, err := v.deliver(c, a, k, m)

	return err
}

func (v view) Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error {
	m, err := v.deliver(c, a, k, q)
	if err != nil {
		return err
	}

	b, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}

	v.mu.Lock()
	v.bytes += len(b)
	v.mu.Unlock()

	_, err = r.UnmarshalMsg(b)

	return err
}

// start starts so many instances in four data centres.
func start(t *testing.T, n int) *fleet {
	t.Helper()

	return startWith(t, n, nil)
}

// startWith starts them with a shelf.
func startWith(t *testing.T, n int, s warner.Shelf) *fleet {
	t.Helper()
	logrus.SetLevel(logrus.PanicLevel)

	f := &fleet{cut: make(map[int]bool)}

	for i := range n {
		f.members = append(f.members, gossiper.Member{
			ID: uint64(i + 1), DataCentre: string(rune('a' + i%4)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 1),
		})
		f.instances = append(f.instances, warner.New(view{f, i}, view{f, i}, s, quarantiner.DefaultSettings()))
	}

	c, stop := context.WithCancel(t.Context())
	for _, w := range f.instances {
		go w.Run(c)
	}

	t.Cleanup(func() {
		stop()
		synctest.Wait()
	})

	return f
}

// end lets targets end under the call at an instance, one each 100 ms.
func (f *fleet) end(instance, ends int) {
	for i := range ends {
		f.instances[instance].Ended(call, discoverer.Name(10*instance+i))
		time.Sleep(100 * time.Millisecond)
	}
}

// holding counts the instances that hold the call back.
func (f *fleet) holding() (o int) {
	for _, w := range f.instances {
		if w.Come(call).Status == quarantiner.Quarantined {
			o++
		}
	}

	return o
}

func (f *fleet) set(cut bool, l ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, i := range l {
		f.cut[i] = cut
	}
}

// A call ends targets at three instances, one each, and comes at a fourth. No instance sees a
// pattern by itself. All know at once: together they have seen three ends.
func TestAllKnowAtOnce(t *testing.T) {
	for name, n := range map[string]int{"six instances": 6, "three hundred": 300} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, n)
				time.Sleep(time.Second)

				for i := range 3 {
					f.end(i, 1)
				}

				is.Equal(f.holding(), n)

				// It is served somewhere after all, and is free everywhere.
				f.instances[4].Served(call)
				time.Sleep(soon)
				is.Equal(f.holding(), 0)
			})
		})
	}
}

// An instance is cut off while a call ends three targets elsewhere. When it is back it must know
// before the users' bound, as one that has just started; and one that was cut off and saw the
// ends must tell the others.
func TestWhoMissedItKnowsSoon(t *testing.T) {
	for name, x := range map[string]struct{ cut int }{
		"cut off while it happened": {cut: 5},
		"cut off with its targets":  {cut: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, 6)
				f.set(true, x.cut)
				f.end(0, 3)
				is.True(f.holding() < 6)

				f.set(false, x.cut)
				time.Sleep(bound)
				is.Equal(f.holding(), 6)
			})
		})
	}
}

// A call is held back, and then served by an instance that was cut off and did not know. All take
// its word when they reach it again.
func TestWordThatItWasServedReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 6)
		f.end(0, 3)
		is.Equal(f.holding(), 6)

		f.set(true, 5)
		f.instances[5].Served(call)
		time.Sleep(time.Second)
		is.Equal(f.holding(), 5)

		f.set(false, 5)
		time.Sleep(bound)
		is.Equal(f.holding(), 0)
	})
}

// A fleet in which no target ends tells nothing but that there is nothing to tell.
func TestCalmCostsFewBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 6)
		time.Sleep(time.Second)

		f.mu.Lock()
		f.bytes = 0
		f.mu.Unlock()

		const lasts = 100

		time.Sleep(lasts * time.Second)

		f.mu.Lock()
		defer f.mu.Unlock()

		// Bytes a second and instance, of the 9,000 that control may take.
		is.True(f.bytes/lasts/len(f.members) <= 50)
	})
}

// A caller makes up ever new calls that end targets, and more are known than a message holds.
// Instances that each know others of them must not go on telling each other the same.
func TestMoreCallsThanAMessageHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 12)
		time.Sleep(time.Second)

		for i, w := range f.instances {
			for n := range 100 {
				d := digester.Digest(1000*i + n)

				f.set(true, i) // Nobody is told.
				w.Ended(d, 1)
				w.Ended(d, 2)
			}

			time.Sleep(50 * time.Millisecond)
			f.set(false, i)
		}

		time.Sleep(time.Minute)

		f.mu.Lock()
		f.bytes = 0
		f.mu.Unlock()

		const lasts = 100

		time.Sleep(lasts * time.Second)

		f.mu.Lock()
		defer f.mu.Unlock()

		// Bytes a second and instance that control may take.
		is.True(f.bytes/lasts/len(f.members) <= 9000)
	})
}

func TestWhatCannotBeRead(t *testing.T) {
	w := warner.New(view{}, view{}, nil, quarantiner.DefaultSettings())

	for name, x := range map[string]func(context.Context, uint64, []byte) (msgp.Marshaler, error){
		"told": w.Told, "relayed": w.Relayed, "asked": w.Asked, "tried": w.Tried, "release": w.Release,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := x(t.Context(), 1, []byte{0xc1})
			is.New(t).True(errors.Is(err, warner.ErrSuspects))
		})
	}
}
