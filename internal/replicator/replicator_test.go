package replicator_test

import (
	"context"
	mathrand "math/rand/v2"
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
	"github.com/auburntray/auburntray/internal/replicator"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	call = digester.Digest(7)
	// broadcastTime is the time within which a broadcast has reached all instances.
	broadcastTime = 50 * time.Millisecond
	// bound is the required time within which every instance must have a record.
	bound = 3 * time.Second
)

// fleet connects instances without a network.
type fleet struct {
	members   []gossiper.Member
	instances []*replicator.Replicator
	seeds     []netip.AddrPort
	// gossipers know all members, by the index of the instance.
	gossipers map[int]*gossiper.Gossiper

	mu sync.Mutex
	// partitioned are the instances that are partitioned from all others.
	partitioned map[int]bool
	// bytes is the number of bytes that the instances have sent.
	bytes int
	// delay returns how long a message takes from one instance to another; nil means none. cut reports whether two
	// instances are partitioned from each other; nil means that none are.
	delay func(from, to int) time.Duration
	cut   func(from, to int) bool
}

// view is the fleet as seen by one instance.
type view struct {
	*fleet

	// index is the position of the instance in members.
	index int
}

func (v view) Live() []gossiper.Member { return v.members }
func (v view) Self() gossiper.Member   { return v.members[v.index] }
func (v view) Seeds() []netip.AddrPort { return v.seeds }

// Neighbors returns those that the instance would have as a member of the fleet.
func (v view) Neighbors() []gossiper.Member {
	v.mu.Lock()
	defer v.mu.Unlock()

	g := v.gossipers[v.index]
	if g == nil {
		g = gossiper.New(gossiper.DefaultSettings(), mathrand.New(mathrand.NewPCG(1, 1)), v.Self())
		for _, m := range v.members {
			g.Introduce(time.Now(), m)
		}

		v.gossipers[v.index] = g
	}

	return g.Neighbors()
}

func (v view) deliver(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) (msgp.Marshaler, error) {
	n := slices.IndexFunc(v.members, func(m gossiper.Member) bool { return m.Address == a })

	b, err := m.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}

	v.mu.Lock()
	v.bytes += len(b)
	p := v.partitioned[n] || v.partitioned[v.index] || v.cut != nil && v.cut(v.index, n)
	x, d := v.instances[n], v.delay
	v.mu.Unlock()

	if d != nil {
		select {
		case <-time.After(d(v.index, n)):
		case <-c.Done():
			return nil, c.Err()
		}
	}

	if p {
		return nil, errors.New("partitioned")
	}

	switch k {
	case wire.KindSuspects:
		return x.HandleUpdate(c, v.Self().ID, b)
	case wire.KindSuspectsRelay:
		return x.HandleRelay(c, v.Self().ID, b)
	case wire.KindTrial:
		return x.HandleTrial(c, v.Self().ID, b)
	default:
		return x.HandleRequest(c, v.Self().ID, b)
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

// start starts n instances in four data centres.
func start(t *testing.T, n int) *fleet {
	t.Helper()

	return startWith(t, n, nil)
}

// startWith starts n instances in four data centres with a store.
func startWith(t *testing.T, n int, s replicator.Store) *fleet {
	t.Helper()

	return startSeeded(t, n, 0, s)
}

// startSeeded starts n instances in four data centres with a store, of which the first ones are the seeds.
func startSeeded(t *testing.T, n, seeds int, s replicator.Store) *fleet {
	t.Helper()
	logrus.SetLevel(logrus.PanicLevel)

	f := &fleet{partitioned: make(map[int]bool), gossipers: make(map[int]*gossiper.Gossiper)}

	for i := range n {
		f.members = append(f.members, gossiper.Member{
			ID: uint64(i + 1), DataCentre: string(rune('a' + i%4)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 1),
		})
		f.instances = append(f.instances, replicator.New(view{f, i}, view{f, i}, s, quarantiner.DefaultSettings()))
	}

	for _, m := range f.members[:seeds] {
		f.seeds = append(f.seeds, m.Address)
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

// crash records, at the given instance, that targets crashed while they ran the call: one crash every 100 ms.
func (f *fleet) crash(instance, crashes int) {
	for i := range crashes {
		f.instances[instance].RecordCrash([]digester.Digest{call}, discoverer.Name(10*instance+i))
		time.Sleep(100 * time.Millisecond)
	}
}

// quarantined counts the instances at which the call is quarantined.
func (f *fleet) quarantined() (o int) {
	for _, w := range f.instances {
		if w.Check(call).Status == quarantiner.Quarantined {
			o++
		}
	}

	return o
}

// sentBytes returns the number of bytes that the instances have sent.
func (f *fleet) sentBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.bytes
}

// setDelay sets how long messages take.
func (f *fleet) setDelay(delay func(from, to int) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.delay = delay
}

// setCut partitions instances from each other, or none if the function is nil.
func (f *fleet) setCut(cut func(from, to int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.cut = cut
}

// restart replaces an instance by one that knows nothing.
func (f *fleet) restart(c context.Context, i int) {
	w := replicator.New(view{f, i}, view{f, i}, nil, quarantiner.DefaultSettings())
	go w.Run(c)

	f.mu.Lock()
	defer f.mu.Unlock()

	f.instances[i] = w
}

func (f *fleet) setPartitioned(partitioned bool, l ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, i := range l {
		f.partitioned[i] = partitioned
	}
}

// Guards against a pattern that no single instance sees: a call crashes one target each at three instances,
// and arrives at a fourth. All instances know immediately that there were three crashes.
func TestRecordsAreBroadcast(t *testing.T) {
	for name, n := range map[string]int{"six instances": 6, "three hundred instances": 300} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, n)
				time.Sleep(time.Second)

				for i := range 3 {
					f.crash(i, 1)
				}

				is.Equal(f.quarantined(), n)

				// Once it is served at one instance, it is cleared at all instances.
				f.instances[4].RecordServed([]digester.Digest{call})
				time.Sleep(broadcastTime)
				is.Equal(f.quarantined(), 0)
			})
		})
	}
}

// Guards against records missed during a network partition. An instance that was partitioned while a call
// crashed three targets elsewhere must have the record within the required bound, and so must an instance
// that has just started. An instance that detected the crashes while it was partitioned must notify the others.
func TestMissedRecordsAreRepaired(t *testing.T) {
	for name, x := range map[string]struct{ partitioned int }{
		"partitioned during the crashes": {partitioned: 5},
		"partitioned, detects crashes":   {partitioned: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, 6)
				f.setPartitioned(true, x.partitioned)
				f.crash(0, 3)
				is.True(f.quarantined() < 6)

				f.setPartitioned(false, x.partitioned)
				time.Sleep(bound)
				is.Equal(f.quarantined(), 6)
			})
		})
	}
}

// Guards against a lost notification that a call was served: a quarantined call is served by an instance
// that was partitioned and had no record of it. All instances clear the call when they reach that instance again.
func TestClearedCallReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 6)
		f.crash(0, 3)
		is.Equal(f.quarantined(), 6)

		f.setPartitioned(true, 5)
		f.instances[5].RecordServed([]digester.Digest{call})
		time.Sleep(time.Second)
		is.Equal(f.quarantined(), 5)

		f.setPartitioned(false, 5)
		time.Sleep(bound)
		is.Equal(f.quarantined(), 0)
	})
}

// Guards against control traffic when no target crashes: instances only exchange fingerprints of equal
// states.
func TestIdleTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 6)
		time.Sleep(time.Second)

		f.mu.Lock()
		f.bytes = 0
		f.mu.Unlock()

		const seconds = 100

		time.Sleep(seconds * time.Second)

		f.mu.Lock()
		defer f.mu.Unlock()

		// Bytes per second and instance; all control traffic may take 9,000.
		is.True(f.bytes/seconds/len(f.members) <= 50)
	})
}

// Guards against instances that keep sending each other the same records: a caller sends ever new calls
// that crash targets, and there are more records than a message holds.
func TestMoreRecordsThanAMessageHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 12)
		time.Sleep(time.Second)

		for i, w := range f.instances {
			for n := range 100 {
				d := digester.Digest(1000*i + n)

				f.setPartitioned(true, i) // No other instance is notified.
				w.RecordCrash([]digester.Digest{d}, 1)
				w.RecordCrash([]digester.Digest{d}, 2)
			}

			time.Sleep(50 * time.Millisecond)
			f.setPartitioned(false, i)
		}

		time.Sleep(time.Minute)

		f.mu.Lock()
		f.bytes = 0
		f.mu.Unlock()

		const seconds = 100

		time.Sleep(seconds * time.Second)

		f.mu.Lock()
		defer f.mu.Unlock()

		// Bytes per second and instance that all control traffic may take.
		is.True(f.bytes/seconds/len(f.members) <= 9000)
	})
}

func TestInvalidMessages(t *testing.T) {
	w := replicator.New(view{}, view{}, nil, quarantiner.DefaultSettings())

	for name, x := range map[string]func(context.Context, uint64, []byte) (msgp.Marshaler, error){
		"update": w.HandleUpdate, "relay": w.HandleRelay, "request": w.HandleRequest, "trial": w.HandleTrial, "release": w.HandleRelease,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := x(t.Context(), 1, []byte{0xc1})
			is.New(t).True(errors.Is(err, replicator.ErrSuspects))
		})
	}
}
