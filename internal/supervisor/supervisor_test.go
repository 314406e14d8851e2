package supervisor_test

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
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/reducer"
	"github.com/auburntray/auburntray/internal/supervisor"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

const self = 1

// peersAndTargets is a fake of the targets and of the homes of other cells.
type peersAndTargets struct {
	mu         sync.Mutex
	health     supervisor.Health
	err        error
	probes     int
	handed     int
	replicated int
	// toHome and toSuccessor are the other messages to the home and to the successor.
	toHome, toSuccessor []msgp.Marshaler
}

func (o *peersAndTargets) Probe(context.Context, netip.AddrPort) (supervisor.Health, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.probes++

	return o.health, o.err
}

func (*peersAndTargets) ReportCellLoad(*matcher.Cell, wire.CellLoad) {}

func (o *peersAndTargets) NotifyHome(_ *matcher.Cell, _ wire.Kind, m msgp.Marshaler) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if w, ok := m.(*wire.HandOver); ok {
		o.handed += len(w.Placements)
	} else {
		o.toHome = append(o.toHome, m)
	}
}

func (o *peersAndTargets) NotifySuccessor(_ *matcher.Cell, _ wire.Kind, m msgp.Marshaler) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if w, ok := m.(*wire.HandOver); ok {
		o.replicated += len(w.Placements)
	} else {
		o.toSuccessor = append(o.toSuccessor, m)
	}
}

// placementCounts returns the number of placements that were replicated and handed over.
func (o *peersAndTargets) placementCounts() (replicated, handed int) {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.replicated, o.handed
}

func (o *peersAndTargets) probed() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.probes
}

// configuration returns a configuration with n engines in one cell. The drained ones accept no calls.
func configuration(n int, drained ...string) *follower.Config {
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

func request(f *follower.Config, seq uint32) wire.SlotRequest {
	return wire.SlotRequest{Seq: seq, Cell: f.Matcher.Cells()[0].ID, Rule: hasher.Name("r"), Chat: uint64(seq), Prompt: 100}
}

// checkAllAssignedTo checks that all new chats are assigned to one target.
func checkAllAssignedTo(t *testing.T, k *supervisor.Supervisor, f *follower.Config, target string) {
	t.Helper()

	i := is.New(t)

	for n := range uint32(6) {
		v, err := k.Reserve(time.Now(), 1, request(f, n+10))
		i.NoErr(err)
		i.Equal(v.Target, hasher.Name(target))
	}
}

func newSupervisor(f *follower.Config, o *peersAndTargets) *supervisor.Supervisor {
	return supervisor.New(granter.DefaultSettings(), self, func() *follower.Config { return f }, o, o, neverStalled{})
}

// Guards against lost prompt caches when a router joins and becomes the home of a cell of a live
// router. The former home hands its placements over once, and replicates new ones until then.
func TestPlacementsAreHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f, o := configuration(3), &peersAndTargets{}
		k := newSupervisor(f, o)

		var home atomic.Uint64

		home.Store(self)

		c, stop := context.WithCancel(t.Context())
		go k.Run(c, func(*matcher.Cell) uint64 { return home.Load() })

		for n := range uint32(20) {
			_, err := k.Reserve(time.Now(), 1, request(f, n+1))
			i.NoErr(err)
			k.Release(time.Now(), 1, wire.Release{Seq: n + 1, Cell: request(f, 1).Cell, OK: true})
		}

		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()

		r, h := o.placementCounts()
		i.True(r >= 20)
		i.Equal(h, 0)
		home.Store(2)

		time.Sleep(3 * time.Second)
		synctest.Wait()

		_, h = o.placementCounts()
		i.Equal(h, 20) // Handed over once.

		// The new home fails at once and is replaced by another process.
		home.Store(3)
		time.Sleep(3 * time.Second)
		synctest.Wait()

		_, h = o.placementCounts()
		i.Equal(h, 40)

		// Placements that a home has replicated to this router are not handed back to it.
		k.HandOver(time.Now(), 4, wire.HandOver{Cell: request(f, 1).Cell})
		home.Store(4)
		time.Sleep(3 * time.Second)
		synctest.Wait()

		_, h = o.placementCounts()
		i.Equal(h, 40)
		stop()
		synctest.Wait()
	})
}

// Guards against calls to a target without traffic that is leaving or has failed: its home must
// find out with a probe.
func TestUnreportedTargetsAreProbed(t *testing.T) {
	for name, tc := range map[string]struct {
		health supervisor.Health
		err    error
		want   granter.Reason
	}{
		"well":    {supervisor.Health{Requests: 0}, nil, granter.Granted},
		"leaving": {supervisor.Health{Requests: 0, State: tracker.State{Incarnation: 1, Leaving: true}}, nil, granter.NoTargets},
		// All targets fail, so the fault is assumed to be at this router: see ejector.PanicMode.
		"all failing": {supervisor.Health{}, errors.New("refused"), granter.Granted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f, o := configuration(2), &peersAndTargets{health: tc.health, err: tc.err}
				k := newSupervisor(f, o)

				c, stop := context.WithCancel(t.Context())
				go k.Run(c, func(*matcher.Cell) uint64 { return self })

				time.Sleep(3 * time.Second)
				synctest.Wait()
				i.True(o.probed() >= 4)

				v, err := k.Reserve(time.Now(), 1, request(f, 1))
				i.NoErr(err)
				i.Equal(granter.Reason(v.Reason), tc.want)
				stop()
				synctest.Wait()
			})
		})
	}
}

// Guards against new calls to a busy target that is leaving. Answers that began before it was
// leaving complete all the time, and new ones take long; the home must receive its state within
// three seconds nevertheless.
func TestBusyTargetIsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f, o := configuration(2), &peersAndTargets{health: supervisor.Health{Requests: 5, State: tracker.State{Incarnation: 1, Leaving: true}}}
		k := newSupervisor(f, o)

		c, stop := context.WithCancel(t.Context())
		go k.Run(c, func(*matcher.Cell) uint64 { return self })

		for n := range uint32(30) {
			_, err := k.Reserve(time.Now(), 1, request(f, n+1))
			i.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			k.Release(time.Now(), 1, wire.Release{Seq: n + 1, Cell: request(f, 1).Cell, OK: true})
		}

		synctest.Wait()

		v, err := k.Reserve(time.Now(), 1, request(f, 100))
		i.NoErr(err)
		i.Equal(granter.Reason(v.Reason), granter.NoTargets)
		stop()
		synctest.Wait()
	})
}

// Guards against calls to a target that the registry reported as leaving before this router became
// the home of its cell.
func TestNewHomeAppliesEarlierStates(t *testing.T) {
	f := configuration(2)
	k := newSupervisor(f, &peersAndTargets{})
	k.ObserveInstance(recorder.Instance{Name: "e0", Incarnation: 3, Leaving: true})

	checkAllAssignedTo(t, k, f, "e1")
}

// Guards against new calls to a leaving target after operators drain it and undo the drain while
// the same process is still leaving.
func TestUndoneDrainDoesNotReadmitLeavingTarget(t *testing.T) {
	i := is.New(t)
	f := configuration(2)
	k := newSupervisor(f, &peersAndTargets{})

	_, err := k.Reserve(time.Now(), 1, request(f, 100))
	i.NoErr(err)
	k.ObserveInstance(recorder.Instance{Name: "e0", Incarnation: 3, Leaving: true})
	k.Update(configuration(2, "e0"))
	k.Update(f)

	checkAllAssignedTo(t, k, f, "e1")
}

func TestUpdate(t *testing.T) {
	i := is.New(t)
	f := configuration(2)
	k := newSupervisor(f, &peersAndTargets{})
	_, err := k.Reserve(time.Now(), 1, request(f, 1))
	i.NoErr(err)

	k.Update(configuration(2, "e0"))

	checkAllAssignedTo(t, k, f, "e1")

	_, err = k.Reserve(time.Now(), 1, wire.SlotRequest{Cell: 12345})
	i.True(errors.Is(err, supervisor.ErrUnknownCell))
}
