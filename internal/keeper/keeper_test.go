package keeper_test

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/keeper"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/reducer"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

const self = 1

// outside is a fake of targets and of other homes.
type outside struct {
	mu         sync.Mutex
	health     keeper.Health
	err        error
	probes     int
	handed     int
	replicated int
}

func (o *outside) Probe(context.Context, netip.AddrPort) (keeper.Health, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.probes++

	return o.health, o.err
}

func (*outside) Tell(*matcher.Cell, wire.CellLoad) {}

func (o *outside) HandOver(_ *matcher.Cell, w wire.HandOver) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.handed += len(w.Places)
}

func (o *outside) Replicate(_ *matcher.Cell, w wire.HandOver) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.replicated += len(w.Places)
}

// places returns how many were replicated and handed over.
func (o *outside) places() (replicated, handed int) {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.replicated, o.handed
}

func (o *outside) probed() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.probes
}

// force is a configuration with n engines in one cell, of which the drained ones
// take no work.
func force(n int, drained ...string) *follower.Config {
	d := parser.Document{Targets: make(map[string]parser.Target), Rules: map[string]parser.Rule{"r": {Targets: "app=a"}}}

	for k := range n {
		x := parser.Target{
			Address: "10.0.0.1:" + strconv.Itoa(k+1), Kind: parser.KindEngine, Region: "r", DataCentre: "d", Capacity: 8,
			Labels: map[string]string{"app": "a"},
		}

		for _, y := range drained {
			x.Drain = x.Drain || y == "e"+strconv.Itoa(k)
		}

		d.Targets["e"+strconv.Itoa(k)] = x
	}

	return &follower.Config{State: &reducer.State{Revision: 1, Document: d}, Matcher: matcher.New(&d)}
}

func ask(f *follower.Config, seq uint32) wire.Ask {
	return wire.Ask{Seq: seq, Cell: f.Matcher.Cells()[0].ID, Rule: hasher.Name("r"), Chat: uint64(seq), Prompt: 100}
}

// allGoTo checks that new chats go to one target only.
func allGoTo(t *testing.T, k *keeper.Keeper, f *follower.Config, target string) {
	t.Helper()

	i := is.New(t)

	for n := range uint32(6) {
		v, err := k.Ask(time.Now(), 1, ask(f, n+10))
		i.NoErr(err)
		i.Equal(v.Target, hasher.Name(target))
	}
}

func newKeeper(f *follower.Config, o *outside) *keeper.Keeper {
	return keeper.New(granter.DefaultSettings(), self, func() *follower.Config { return f }, o, o, running{})
}

// A router joins and becomes the home of a cell from one that lives on. The
// former home hands its places over once, and until then replicates new ones.
func TestPlacesMoveWithTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f, o := force(3), &outside{}
		k := newKeeper(f, o)

		var home atomic.Uint64

		home.Store(self)

		c, stop := context.WithCancel(t.Context())
		go k.Run(c, func(*matcher.Cell) uint64 { return home.Load() })

		for n := range uint32(20) {
			_, err := k.Ask(time.Now(), 1, ask(f, n+1))
			i.NoErr(err)
			k.Release(time.Now(), 1, wire.Release{Seq: n + 1, Cell: ask(f, 1).Cell, OK: true})
		}

		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()

		r, h := o.places()
		i.True(r >= 20)
		i.Equal(h, 0)
		home.Store(2)

		time.Sleep(3 * time.Second)
		synctest.Wait()

		_, h = o.places()
		i.Equal(h, 20) // once

		// The new home is lost at once, and replaced by another process.
		home.Store(3)
		time.Sleep(3 * time.Second)
		synctest.Wait()

		_, h = o.places()
		i.Equal(h, 40)

		// What a home replicates here it need not get back.
		k.HandOver(time.Now(), 4, wire.HandOver{Cell: ask(f, 1).Cell})
		home.Store(4)
		time.Sleep(3 * time.Second)
		synctest.Wait()

		_, h = o.places()
		i.Equal(h, 40)
		stop()
		synctest.Wait()
	})
}

// A target that nobody sends to says that it leaves, or is dead. Its home asks
// it when it is quiet, so that the next caller does not find out.
func TestQuietTargetsAreProbed(t *testing.T) {
	for name, tc := range map[string]struct {
		health keeper.Health
		err    error
		want   granter.Reason
	}{
		"well":    {keeper.Health{Requests: 0}, nil, granter.Granted},
		"leaving": {keeper.Health{Requests: 0, State: tracker.State{Incarnation: 1, Leaving: true}}, nil, granter.NoTargets},
		// All fail, so the fault is taken to be here: see ejector.Panic.
		"all dead": {keeper.Health{}, errors.New("refused"), granter.Granted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f, o := force(2), &outside{health: tc.health, err: tc.err}
				k := newKeeper(f, o)

				c, stop := context.WithCancel(t.Context())
				go k.Run(c, func(*matcher.Cell) uint64 { return self })

				time.Sleep(3 * time.Second)
				synctest.Wait()
				i.True(o.probed() >= 4)

				v, err := k.Ask(time.Now(), 1, ask(f, 1))
				i.NoErr(err)
				i.Equal(granter.Reason(v.Reason), tc.want)
				stop()
				synctest.Wait()
			})
		})
	}
}

// A busy target says that it leaves. Answers that began before it did end all the
// time, and new ones take long to end; the home must hear of it all the same,
// within three seconds.
func TestABusyTargetsWordIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f, o := force(2), &outside{health: keeper.Health{Requests: 5, State: tracker.State{Incarnation: 1, Leaving: true}}}
		k := newKeeper(f, o)

		c, stop := context.WithCancel(t.Context())
		go k.Run(c, func(*matcher.Cell) uint64 { return self })

		for n := range uint32(30) {
			_, err := k.Ask(time.Now(), 1, ask(f, n+1))
			i.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			k.Release(time.Now(), 1, wire.Release{Seq: n + 1, Cell: ask(f, 1).Cell, OK: true})
		}

		synctest.Wait()

		v, err := k.Ask(time.Now(), 1, ask(f, 100))
		i.NoErr(err)
		i.Equal(granter.Reason(v.Reason), granter.NoTargets)
		stop()
		synctest.Wait()
	})
}

// The list said that a target leaves before this router became its home.
func TestAHomeKnowsWhatTheListSaidBefore(t *testing.T) {
	f := force(2)
	k := newKeeper(f, &outside{})
	k.Seen(recorder.Instance{Name: "e0", Incarnation: 3, Leaving: true})

	allGoTo(t, k, f, "e1")
}

// A target leaves; operators drain it, and the next shift takes the drain back
// while the same process is still leaving. It must not get new work.
func TestALeavingTargetIsNotBroughtBackByItsDrain(t *testing.T) {
	i := is.New(t)
	f := force(2)
	k := newKeeper(f, &outside{})

	_, err := k.Ask(time.Now(), 1, ask(f, 100))
	i.NoErr(err)
	k.Seen(recorder.Instance{Name: "e0", Incarnation: 3, Leaving: true})
	k.Update(force(2, "e0"))
	k.Update(f)

	allGoTo(t, k, f, "e1")
}

func TestUpdate(t *testing.T) {
	i := is.New(t)
	f := force(2)
	k := newKeeper(f, &outside{})
	_, err := k.Ask(time.Now(), 1, ask(f, 1))
	i.NoErr(err)

	k.Update(force(2, "e0"))

	allGoTo(t, k, f, "e1")

	_, err = k.Ask(time.Now(), 1, wire.Ask{Cell: 12345})
	i.True(errors.Is(err, keeper.ErrUnknownCell))
}
