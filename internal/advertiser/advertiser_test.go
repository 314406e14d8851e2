package advertiser_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/advertiser"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/wire"
)

// interval is the interval between two updates in a fleet of twenty instances.
const interval = 320 * time.Millisecond

// targetState is the state of one instance in these tests.
type targetState struct {
	mu               sync.Mutex
	pending, applied selector.Update
	// repeat makes Update return the same update on each call.
	repeat  bool
	gone    []discoverer.Process
	leaving []discoverer.Process
	// refusals are the refusals that were applied.
	refusals []selector.Refusal
}

func (k *targetState) Update() selector.Update {
	n := k.pending
	if !k.repeat {
		k.pending = selector.Update{}
	}

	return n
}

func (k *targetState) ApplyUpdate(n selector.Update) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.applied.Placements = append(k.applied.Placements, n.Placements...)
	k.applied.Loads = append(k.applied.Loads, n.Loads...)
}

func (k *targetState) ApplyRefusal(r selector.Refusal) { k.refusals = append(k.refusals, r) }

func (k *targetState) MarkGone(l []discoverer.Process) { k.gone = append(k.gone, l...) }

func (k *targetState) MarkLeaving(l []discoverer.Process) { k.leaving = append(k.leaving, l...) }

// fleet connects instances without a network.
type fleet struct {
	members   []gossiper.Member
	instances []*advertiser.Advertiser
	states    []*targetState
	crashed   map[int]bool
	messages  atomic.Int64
	// crossCentreMessages counts the messages sent to other data centres.
	crossCentreMessages atomic.Int64
	// unresponsive are the instances whose connections are open but which process no messages.
	unresponsive map[int]bool
}

// view is the fleet as seen by one instance.
type view struct {
	*fleet

	self int
}

func (v view) Live() []gossiper.Member { return v.members }
func (v view) Self() gossiper.Member   { return v.members[v.self] }
func (v view) indexOf(a netip.AddrPort) int {
	return slices.IndexFunc(v.members, func(m gossiper.Member) bool { return m.Address == a })
}
func (v view) connect(a netip.AddrPort) error {
	v.messages.Add(1)

	if v.crashed[v.indexOf(a)] {
		return errors.New("gone")
	}

	return nil
}

func (v view) Send(c context.Context, a netip.AddrPort, kind wire.Kind, m msgp.Marshaler) error {
	if err := v.connect(a); err != nil {
		return err
	}

	b, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}

	n := v.indexOf(a)
	if v.members[n].DataCentre != v.Self().DataCentre {
		v.crossCentreMessages.Add(1)
	}

	if v.unresponsive[n] {
		return nil
	}

	switch x := v.instances[n]; kind {
	case wire.KindGone:
		_, err = x.HandleGone(c, v.Self().ID, b)
	case wire.KindLeaving:
		_, err = x.HandleLeaving(c, v.Self().ID, b)
	case wire.KindUpdateRelay:
		_, err = x.HandleRelay(c, v.Self().ID, b)
	default:
		_, err = x.HandleUpdate(c, v.Self().ID, b)
	}

	return err
}

func newFleet(n int) *fleet { return newFleetInCentres(n, "dc") }

// newFleetInCentres assigns the instances to data centres round-robin.
func newFleetInCentres(n int, centres ...string) *fleet {
	logrus.SetLevel(logrus.FatalLevel)

	f := &fleet{crashed: map[int]bool{}, unresponsive: map[int]bool{}}

	for i := range n {
		f.members = append(f.members, gossiper.Member{
			ID: uint64(i + 1), Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
			DataCentre: centres[i%len(centres)],
		})
		f.states = append(f.states, &targetState{})
		v := view{f, i}
		f.instances = append(f.instances, advertiser.New(v, v, f.states[i]))
	}

	return f
}

func TestUpdateReachesAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.states[0].pending = selector.Update{
			Placements: []selector.Placement{{Key: 7, Target: 9}},
			Loads:      []selector.TargetLoad{{Target: 9, Calls: 5, At: time.Now().Add(-time.Second)}},
		}

		c, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer stop()

		f.instances[0].Run(c)
		synctest.Wait()

		for _, k := range f.states[1:] {
			is.Equal(k.applied.Placements, []selector.Placement{{Key: 7, Target: 9}})
			is.Equal(k.applied.Loads[0].Calls, 5)
			is.True(time.Since(k.applied.Loads[0].At) >= time.Second) // The age in the message is preserved.
		}

		is.Equal(len(f.states[0].applied.Placements), 0)
	})
}

// Guards against a fleet that learns too late that a process is gone. One instance finds another process at
// a target's address. The others are notified immediately and not with the next update, which is a second
// away in a large fleet. The notification names the process, since the target may have restarted by then.
func TestGoneIsNotifiedImmediately(t *testing.T) {
	for name, p := range map[string]discoverer.Process{
		"with start time":    {ID: "t1", Start: time.UnixMilli(1_700_000_000_000)},
		"without start time": {ID: "t1"},
		"start before 1970":  {ID: "t1", Start: time.UnixMilli(-5)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(100)

				f.instances[3].NotifyGone(p)
				synctest.Wait()

				for n, k := range f.states {
					is.Equal(len(k.gone) == 1 && k.gone[0].Key() == p.Key(), n != 3)
					is.Equal(len(k.leaving), 0)
				}

				f.instances[5].NotifyLeaving(p)
				synctest.Wait()

				for n, k := range f.states {
					is.Equal(len(k.leaving) == 1 && k.leaving[0].Key() == p.Key(), n != 5)
					is.Equal(len(k.gone) == 1, n != 3)
				}
			})
		})
	}
}

func TestInvalidGone(t *testing.T) {
	uneven, err := (&wire.Gone{Targets: []string{"a", "b"}, StartsMs: []int64{1}}).MarshalMsg(nil)
	is.New(t).NoErr(err)

	for name, b := range map[string][]byte{
		"not msgpack":           {0xc1},
		"too few start times":   uneven,
		"former message format": {0x91, 0x91, 0xa1, 'a'},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1)

			_, err := f.instances[0].HandleGone(t.Context(), 2, b)
			is.True(errors.Is(err, advertiser.ErrUpdate))
			is.Equal(len(f.states[0].gone), 0)

			_, err = f.instances[0].HandleLeaving(t.Context(), 2, b)
			is.True(errors.Is(err, advertiser.ErrUpdate))
			is.Equal(len(f.states[0].leaving), 0)
		})
	}
}

// Guards against traffic between data centres that grows with the number of instances. Three hundred
// instances in four data centres exchange placements: if each update were sent to each instance, it would be
// transferred to every other data centre 75 times, which would cause most of the traffic cost of a day. The
// instances of a small data centre are notified directly.
func TestUpdateIsSentOnceToLargeDataCentre(t *testing.T) {
	four := []string{"a", "b", "c", "d"}

	for name, x := range map[string]struct {
		instances int
		centres   []string
		crossed   int64
	}{
		"many":                {instances: 300, centres: four, crossed: 3},
		"few":                 {instances: 6, centres: four, crossed: 4},
		"three of each":       {instances: 12, centres: four, crossed: 9},
		"four of each":        {instances: 16, centres: four, crossed: 3},
		"one data centre":     {instances: 40, centres: []string{"a"}, crossed: 0},
		"two of unequal size": {instances: 12, centres: []string{"a", "a", "a", "a", "a", "b"}, crossed: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleetInCentres(x.instances, x.centres...)
				f.states[0].pending = selector.Update{Placements: []selector.Placement{{Key: 7, Target: 9}}}

				c, stop := context.WithTimeout(t.Context(), 10*time.Second)
				defer stop()

				f.instances[0].Run(c)
				synctest.Wait()

				for n, k := range f.states {
					is.Equal(len(k.applied.Placements) == 1, n != 0) // Exactly once each, without loops.
				}

				is.Equal(f.crossCentreMessages.Load(), x.crossed)
				is.Equal(f.messages.Load(), int64(x.instances-1))
			})
		})
	}
}

// Guards against updates that are lost with a relay. Instances of the other data centre crash, or are cut
// off with their connections open, while they still count as live. Updates take another route: immediately
// when the connection fails, otherwise with one of the next ten updates.
func TestFailedRelayIsReplaced(t *testing.T) {
	for name, x := range map[string]struct {
		dead, silent []int
		within       time.Duration
	}{
		"crashed": {dead: []int{1, 3}, within: interval},
		"cut off": {silent: []int{1, 3, 5, 7}, within: 10 * interval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleetInCentres(20, "a", "b")
				f.states[0].repeat = true
				f.states[0].pending.Placements = []selector.Placement{{Key: 7, Target: 9}}

				failed := map[int]bool{}
				for _, n := range x.dead {
					f.crashed[n], failed[n] = true, true
				}

				for _, n := range x.silent {
					f.unresponsive[n], failed[n] = true, true
				}

				c, stop := context.WithTimeout(t.Context(), x.within)
				defer stop()

				f.instances[0].Run(c)
				synctest.Wait()

				for n, k := range f.states {
					is.Equal(len(k.applied.Placements) > 0, n != 0 && !failed[n])
				}
			})
		})
	}
}

// Guards against forwarding an update that cannot be decoded.
func TestInvalidRelayedUpdate(t *testing.T) {
	is := is.New(t)
	f := newFleetInCentres(8, "a", "b")

	_, err := f.instances[0].HandleRelay(t.Context(), 2, []byte{0xc1})
	is.True(errors.Is(err, advertiser.ErrUpdate))
	is.Equal(f.messages.Load(), int64(0))
}

// Guards against message rates that grow with the fleet: with many instances each sends less often, so that
// an instance receives about 60 messages a second.
func TestIntervalGrowsWithFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(100)

		c, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()

		f.states[0].repeat = true
		f.states[0].pending.Placements = []selector.Placement{{Key: 1, Target: 1}}

		f.instances[0].Run(c)
		synctest.Wait()
		is.True(f.messages.Load() <= 99*8)
	})
}

func TestInvalidUpdate(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)

	_, err := f.instances[0].HandleUpdate(t.Context(), 2, []byte{0xc1})
	is.True(errors.Is(err, advertiser.ErrUpdate))
}
