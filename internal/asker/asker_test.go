package asker_test

import (
	"context"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/asker"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

const self = 1

// network is a fake of the other routers and of the own keeper. Each grants
// target 7 and notes what it is sent.
type network struct {
	home  uint64
	down  map[uint64]bool
	syncs map[uint64][]wire.Sync
	asks  map[uint64]int
	freed map[uint64][]wire.Release
	// reports are what each home was told of targets, and tell makes homes ask.
	reports map[uint64][]wire.Report
	tell    bool
	// err is how messages to others end, and still says that this process stood still.
	err   error
	still bool
}

func newNetwork() *network {
	return &network{
		home: 2, down: make(map[uint64]bool), syncs: make(map[uint64][]wire.Sync),
		asks: make(map[uint64]int), freed: make(map[uint64][]wire.Release), reports: make(map[uint64][]wire.Report),
	}
}

func address(id uint64) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 1)
}

func (n *network) Home(uint64, []string) (gossiper.Member, bool) {
	h := n.home
	for n.down[h] {
		h++
	}

	return gossiper.Member{ID: h, Address: address(h)}, true
}

func (*network) Self() gossiper.Member  { return gossiper.Member{ID: self} }
func (n *network) Suspect(id uint64)    { n.down[id] = true }
func id(a netip.AddrPort) uint64        { return uint64(a.Addr().As4()[3]) }
func (n *network) fails(id uint64) bool { return id > 100 }

func (n *network) Call(_ context.Context, a netip.AddrPort, _ wire.Kind, _ msgp.Marshaler, r msgp.Unmarshaler) error {
	n.asks[id(a)]++

	if n.err != nil {
		return n.err
	}

	if n.fails(id(a)) {
		return errors.New("gone")
	}

	v, _ := r.(*wire.Verdict)
	v.Target = 7

	if n.tell {
		v.Flags = wire.FlagTell
	}

	return nil
}

func (n *network) Stalled(time.Time) bool { return n.still }

func (n *network) Send(_ context.Context, a netip.AddrPort, _ wire.Kind, m msgp.Marshaler) error {
	if n.err != nil {
		return n.err
	}

	switch w := m.(type) {
	case *wire.Sync:
		n.syncs[id(a)] = append(n.syncs[id(a)], *w)
	case *wire.Report:
		n.reports[id(a)] = append(n.reports[id(a)], *w)
	case *wire.Release:
		n.freed[id(a)] = append(n.freed[id(a)], *w)
	}

	return nil
}

func (n *network) Reserve(time.Time, uint64, wire.Ask) (wire.Verdict, error) {
	n.asks[self]++

	return wire.Verdict{Target: 7}, nil
}

func (n *network) Release(_ time.Time, _ uint64, w wire.Release) {
	n.freed[self] = append(n.freed[self], w)
}

func (n *network) BackOff(time.Time, wire.Rest) {}

func (n *network) Report(_ time.Time, w wire.Report) {
	n.reports[self] = append(n.reports[self], w)
}

func (n *network) Sync(_ time.Time, _ uint64, w wire.Sync) {
	n.syncs[self] = append(n.syncs[self], w)
}

func newAsker(n *network) *asker.Asker {
	return asker.New(n, n, n, counter.New(), n, time.Second)
}

func request() asker.Request {
	return asker.Request{Cell: &matcher.Cell{ID: 9, DataCentres: []string{"d"}}, Customer: 3}
}

// A cell's home changes: it was replaced, or routers disagree. The new home must
// learn what is in flight before it grants, or it takes busy engines for idle
// ones and buries them.
func TestANewHomeIsToldWhatIsInFlight(t *testing.T) {
	i := is.New(t)
	n := newNetwork()
	a := newAsker(n)

	for range 3 {
		_, err := a.Ask(t.Context(), request())
		i.NoErr(err)
	}

	n.home = 4
	p, err := a.Ask(t.Context(), request())
	i.NoErr(err)
	i.Equal(len(n.syncs[2]), 0)
	i.Equal(len(n.syncs[4]), 1)
	i.Equal(len(n.syncs[4][0].Grants), 3)
	i.Equal(n.syncs[4][0].UpTo, uint32(3)) // the ask under way is not in the list

	a.Release(p, granter.Outcome{OK: true})
	i.Equal(len(n.freed[4]), 1)

	a.SyncAll(t.Context())
	i.Equal(len(n.syncs[4][1].Grants), 3)
	i.Equal(n.syncs[4][1].UpTo, uint32(4)) // nothing is under way now
}

// The home does not answer. The entry asks the next one, and when that fails too
// decides by what it knows itself; the call goes on.
func TestAHomeThatIsGoneIsPassedOver(t *testing.T) {
	for name, tc := range map[string]struct {
		down   []uint64
		home   uint64
		answer uint64
	}{
		"the home answers":        {nil, 2, 2},
		"it is this router":       {nil, self, self},
		"it is gone":              {[]uint64{101}, 101, 0},
		"and so is the next":      {nil, 101, self},
		"the next one is up":      {nil, 2, 2},
		"suspected ones are past": {[]uint64{101, 102}, 101, self},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			n := newNetwork()
			n.home = tc.home

			for _, d := range tc.down {
				n.down[d] = true
			}

			p, err := newAsker(n).Ask(t.Context(), request())
			i.NoErr(err)
			i.Equal(p.Target, uint32(7))

			if tc.answer != 0 {
				i.Equal(n.asks[tc.answer], 1)
			}
		})
	}
}

// This router stands still while it asks a home, and on waking the ask has run out of
// time; the home had answered. Passed over for it, the home would go on granting
// places of which this router, deciding in its stead, knows nothing. A home that is
// mute while this router runs, or that refuses the connection, is passed over.
func TestAPauseIsNotHeldAgainstAHome(t *testing.T) {
	late := errors.Mark(context.DeadlineExceeded, messenger.ErrTimeout)
	refused := errors.Mark(syscall.ECONNREFUSED, messenger.ErrUnreachable)

	for name, tc := range map[string]struct {
		err       error
		still     bool
		suspected bool
	}{
		"stood still, out of time": {err: late, still: true},
		"runs, out of time":        {err: late, suspected: true},
		"stood still, refused":     {err: refused, still: true, suspected: true},
		"runs, refused":            {err: refused, suspected: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			n := newNetwork()
			a := newAsker(n)

			p, err := a.Ask(t.Context(), request())
			i.NoErr(err)

			n.err, n.still = tc.err, tc.still
			a.Release(p, granter.Outcome{OK: true})
			i.Equal(n.down[2], tc.suspected)

			n.down = make(map[uint64]bool)
			p, err = a.Ask(t.Context(), request())
			i.NoErr(err)
			i.Equal(p.Target, uint32(7)) // decided here, so the call goes on
			i.Equal(n.down[2], tc.suspected)
		})
	}
}

// What a target says of itself goes to the home only when it is news or the home
// wants it, and then at once.
func TestATargetsStateIsToldOnce(t *testing.T) {
	i := is.New(t)
	n := newNetwork()
	a := newAsker(n)
	s := tracker.State{Incarnation: 5}

	for range 3 {
		p, err := a.Ask(t.Context(), request())
		i.NoErr(err)
		a.Report(p, 1, s)
	}

	i.Equal(len(n.reports[2]), 1)
	i.Equal(n.reports[2][0].Incarnation, uint64(5))

	s.Leaving = true

	p, err := a.Ask(t.Context(), request())
	i.NoErr(err)
	a.Report(p, 1, s) // at once, not at the end of the answer
	i.Equal(len(n.reports[2]), 2)
	i.True(n.reports[2][1].Leaving)

	n.tell = true
	p, err = a.Ask(t.Context(), request())
	i.NoErr(err)
	a.Report(p, 9, s)
	i.Equal(len(n.reports[2]), 3) // the home wanted to know
	i.Equal(n.reports[2][2].Requests, int32(9))
	i.Equal(n.reports[2][2].Incarnation, uint64(0))
}
