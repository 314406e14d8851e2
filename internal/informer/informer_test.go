package informer_test

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

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/informer"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/wire"
)

// leastTelling is the time between two tellings of twenty instances.
const leastTelling = 320 * time.Millisecond

// knowledge is what an instance of the tests knows.
type knowledge struct {
	mu           sync.Mutex
	news, learnt selector.Update
	// always makes the news come again and again.
	always bool
	gone   []discoverer.Process
	leave  []discoverer.Process
}

func (k *knowledge) Update() selector.Update {
	n := k.news
	if !k.always {
		k.news = selector.Update{}
	}

	return n
}

func (k *knowledge) ApplyUpdate(n selector.Update) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.learnt.Placements = append(k.learnt.Placements, n.Placements...)
	k.learnt.Loads = append(k.learnt.Loads, n.Loads...)
}

func (k *knowledge) MarkGone(l []discoverer.Process) { k.gone = append(k.gone, l...) }

func (k *knowledge) MarkLeaving(l []discoverer.Process) { k.leave = append(k.leave, l...) }

// fleet joins instances without a network.
type fleet struct {
	members   []gossiper.Member
	instances []*informer.Informer
	known     []*knowledge
	gone      map[int]bool
	messages  atomic.Int64
	// crossed counts the messages that went to another data centre.
	crossed atomic.Int64
	// silent are instances whose connections are open and which do nothing.
	silent map[int]bool
}

// view is the fleet as one instance sees it.
type view struct {
	*fleet

	number int
}

func (v view) Live() []gossiper.Member { return v.members }
func (v view) Self() gossiper.Member   { return v.members[v.number] }
func (v view) at(a netip.AddrPort) int {
	return slices.IndexFunc(v.members, func(m gossiper.Member) bool { return m.Address == a })
}
func (v view) reached(a netip.AddrPort) error {
	v.messages.Add(1)

	if v.gone[v.at(a)] {
		return errors.New("gone")
	}

	return nil
}

func (v view) Send(c context.Context, a netip.AddrPort, kind wire.Kind, m msgp.Marshaler) error {
	if err := v.reached(a); err != nil {
		return err
	}

	b, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}

	n := v.at(a)
	if v.members[n].DataCentre != v.Self().DataCentre {
		v.crossed.Add(1)
	}

	if v.silent[n] {
		return nil
	}

	switch x := v.instances[n]; kind {
	case wire.KindGone:
		_, err = x.ToldGone(c, v.Self().ID, b)
	case wire.KindLeaving:
		_, err = x.ToldLeaving(c, v.Self().ID, b)
	case wire.KindRelay:
		_, err = x.Relayed(c, v.Self().ID, b)
	default:
		_, err = x.Told(c, v.Self().ID, b)
	}

	return err
}

func build(n int) *fleet { return buildIn(n, "dc") }

// buildIn spreads the instances over data centres in turn.
func buildIn(n int, centres ...string) *fleet {
	logrus.SetLevel(logrus.FatalLevel)

	f := &fleet{gone: map[int]bool{}, silent: map[int]bool{}}

	for i := range n {
		f.members = append(f.members, gossiper.Member{
			ID: uint64(i + 1), Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
			DataCentre: centres[i%len(centres)],
		})
		f.known = append(f.known, &knowledge{})
		v := view{f, i}
		f.instances = append(f.instances, informer.New(v, v, f.known[i]))
	}

	return f
}

func TestNewsReachesAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := build(3)
		f.known[0].news = selector.Update{
			Placements: []selector.Placement{{Key: 7, Target: 9}},
			Loads:      []selector.TargetLoad{{Target: 9, Calls: 5, At: time.Now().Add(-time.Second)}},
		}

		c, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer stop()

		f.instances[0].Run(c)
		synctest.Wait()

		for _, k := range f.known[1:] {
			is.Equal(k.learnt.Placements, []selector.Placement{{Key: 7, Target: 9}})
			is.Equal(k.learnt.Loads[0].Calls, 5)
			is.True(time.Since(k.learnt.Loads[0].At) >= time.Second) // Told late is not heard late.
		}

		is.Equal(len(f.known[0].learnt.Placements), 0)
	})
}

// One instance meets another process at a target's address. The others know at once,
// and not with the next news, which is a second away in a large fleet. They know which
// process of the target is meant, since it may have started again by then.
func TestGoneIsToldAtOnce(t *testing.T) {
	for name, p := range map[string]discoverer.Process{
		"with a start":         {ID: "t1", Start: time.UnixMilli(1_700_000_000_000)},
		"without":              {ID: "t1"},
		"with one before 1970": {ID: "t1", Start: time.UnixMilli(-5)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := build(100)

				f.instances[3].Gone(p)
				synctest.Wait()

				for n, k := range f.known {
					is.Equal(len(k.gone) == 1 && k.gone[0].Key() == p.Key(), n != 3)
					is.Equal(len(k.leave), 0)
				}

				f.instances[5].Leaving(p)
				synctest.Wait()

				for n, k := range f.known {
					is.Equal(len(k.leave) == 1 && k.leave[0].Key() == p.Key(), n != 5)
					is.Equal(len(k.gone) == 1, n != 3)
				}
			})
		})
	}
}

func TestGoneThatCannotBeRead(t *testing.T) {
	uneven, err := (&wire.Gone{Targets: []string{"a", "b"}, StartsMs: []int64{1}}).MarshalMsg(nil)
	is.New(t).NoErr(err)

	for name, b := range map[string][]byte{
		"not msgpack":            {0xc1},
		"starts are missing":     uneven,
		"without starts, as was": {0x91, 0x91, 0xa1, 'a'},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := build(1)

			_, err := f.instances[0].ToldGone(t.Context(), 2, b)
			is.True(errors.Is(err, informer.ErrNews))
			is.Equal(len(f.known[0].gone), 0)

			_, err = f.instances[0].ToldLeaving(t.Context(), 2, b)
			is.True(errors.Is(err, informer.ErrNews))
			is.Equal(len(f.known[0].leave), 0)
		})
	}
}

// Three hundred instances in four data centres tell each other where prompts are. Told
// to each, the same bytes cross to a data centre seventy-five times, which is most of the
// price of a day. Few instances tell each other directly.
func TestNewsGoesOnceToALargeDataCentre(t *testing.T) {
	four := []string{"a", "b", "c", "d"}

	for name, x := range map[string]struct {
		instances int
		centres   []string
		crossed   int64
	}{
		"many":               {instances: 300, centres: four, crossed: 3},
		"few":                {instances: 6, centres: four, crossed: 4},
		"three of each":      {instances: 12, centres: four, crossed: 9},
		"four of each":       {instances: 16, centres: four, crossed: 3},
		"one data centre":    {instances: 40, centres: []string{"a"}, crossed: 0},
		"two of unlike size": {instances: 12, centres: []string{"a", "a", "a", "a", "a", "b"}, crossed: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := buildIn(x.instances, x.centres...)
				f.known[0].news = selector.Update{Placements: []selector.Placement{{Key: 7, Target: 9}}}

				c, stop := context.WithTimeout(t.Context(), 10*time.Second)
				defer stop()

				f.instances[0].Run(c)
				synctest.Wait()

				for n, k := range f.known {
					is.Equal(len(k.learnt.Placements) == 1, n != 0) // Once each, and none goes round.
				}

				is.Equal(f.crossed.Load(), x.crossed)
				is.Equal(f.messages.Load(), int64(x.instances-1))
			})
		})
	}
}

// Instances of the other data centre die, or are cut off with their connections open,
// while they still count as live. News goes another way: at once when the connection
// fails, with one of the next tellings when it does not.
func TestNewsGoesAnotherWayWhenTheRelayIsAway(t *testing.T) {
	for name, x := range map[string]struct {
		dead, silent []int
		within       time.Duration
	}{
		"dead":    {dead: []int{1, 3}, within: leastTelling},
		"cut off": {silent: []int{1, 3, 5, 7}, within: 10 * leastTelling},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := buildIn(20, "a", "b")
				f.known[0].always = true
				f.known[0].news.Placements = []selector.Placement{{Key: 7, Target: 9}}

				away := map[int]bool{}
				for _, n := range x.dead {
					f.gone[n], away[n] = true, true
				}

				for _, n := range x.silent {
					f.silent[n], away[n] = true, true
				}

				c, stop := context.WithTimeout(t.Context(), x.within)
				defer stop()

				f.instances[0].Run(c)
				synctest.Wait()

				for n, k := range f.known {
					is.Equal(len(k.learnt.Placements) > 0, n != 0 && !away[n])
				}
			})
		})
	}
}

// News that can't be read goes no further.
func TestRelayedNewsThatCannotBeRead(t *testing.T) {
	is := is.New(t)
	f := buildIn(8, "a", "b")

	_, err := f.instances[0].Relayed(t.Context(), 2, []byte{0xc1})
	is.True(errors.Is(err, informer.ErrNews))
	is.Equal(f.messages.Load(), int64(0))
}

// With many instances each tells less often: what one takes stays about sixty
// messages a second.
func TestManyInstancesTellLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := build(100)

		c, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()

		f.known[0].always = true
		f.known[0].news.Placements = []selector.Placement{{Key: 1, Target: 1}}

		f.instances[0].Run(c)
		synctest.Wait()
		is.True(f.messages.Load() <= 99*8)
	})
}

func TestNewsThatCannotBeRead(t *testing.T) {
	is := is.New(t)
	f := build(1)

	_, err := f.instances[0].Told(t.Context(), 2, []byte{0xc1})
	is.True(errors.Is(err, informer.ErrNews))
}
