package requester_test

import (
	"context"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/requester"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

const self = 1

// network is a fake of the other routers and of this router's supervisor. Each grants a
// slot at target 7 and records the messages that it receives.
type network struct {
	mu        sync.Mutex
	home      uint64
	suspected map[uint64]bool
	syncs     map[uint64][]wire.Sync
	requests  map[uint64]int
	released  map[uint64][]wire.Release
	// reports holds the reports that each home received. If reportDue is set, homes request a report.
	reports   map[uint64][]wire.Report
	reportDue bool
	// successor succeeds the home unless it is zero. backoffs holds the backoffs that each router received.
	successor uint64
	backoffs  map[uint64][]wire.Backoff
	// refuse makes homes refuse requests for slots.
	refuse bool
	// err is the error of messages to other routers. If stalled is set, this process counts as stalled.
	err     error
	stalled bool
}

func newNetwork() *network {
	return &network{
		home: 2, suspected: make(map[uint64]bool), syncs: make(map[uint64][]wire.Sync),
		requests: make(map[uint64]int), released: make(map[uint64][]wire.Release), reports: make(map[uint64][]wire.Report),
		backoffs: make(map[uint64][]wire.Backoff),
	}
}

func address(id uint64) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 1)
}

func (n *network) Home(uint64, []string) (gossiper.Member, bool) {
	h := n.home
	for n.suspected[h] {
		h++
	}

	return gossiper.Member{ID: h, Address: address(h)}, true
}

func (n *network) Homes(key uint64, centres []string, number int) []gossiper.Member {
	h, _ := n.Home(key, centres)
	if n.successor == 0 || number == 1 {
		return []gossiper.Member{h}
	}

	return []gossiper.Member{h, {ID: n.successor, Address: address(n.successor)}}
}

func (*network) Self() gossiper.Member  { return gossiper.Member{ID: self} }
func (n *network) Suspect(id uint64)    { n.suspected[id] = true }
func id(a netip.AddrPort) uint64        { return uint64(a.Addr().As4()[3]) }
func (n *network) fails(id uint64) bool { return id > 100 }

func (n *network) Call(_ context.Context, a netip.AddrPort, _ wire.Kind, _ msgp.Marshaler, r msgp.Unmarshaler) error {
	n.requests[id(a)]++

	if n.err != nil {
		return n.err
	}

	if n.refuse {
		return messenger.ErrRefused
	}

	if n.fails(id(a)) {
		return errors.New("connection refused")
	}

	v, _ := r.(*wire.SlotReply)
	v.Target = 7

	if n.reportDue {
		v.Flags = wire.FlagReportDue
	}

	return nil
}

func (n *network) Stalled(time.Time) bool { return n.stalled }

func (n *network) Send(_ context.Context, a netip.AddrPort, _ wire.Kind, m msgp.Marshaler) error {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.err != nil {
		return n.err
	}

	switch w := m.(type) {
	case *wire.Sync:
		n.syncs[id(a)] = append(n.syncs[id(a)], *w)
	case *wire.Report:
		n.reports[id(a)] = append(n.reports[id(a)], *w)
	case *wire.Release:
		n.released[id(a)] = append(n.released[id(a)], *w)
	case *wire.Backoff:
		n.backoffs[id(a)] = append(n.backoffs[id(a)], *w)
	}

	return nil
}

func (n *network) Reserve(time.Time, uint64, wire.SlotRequest) (wire.SlotReply, error) {
	n.requests[self]++

	return wire.SlotReply{Target: 7}, nil
}

func (n *network) Release(_ time.Time, _ uint64, w wire.Release) {
	n.released[self] = append(n.released[self], w)
}

func (n *network) StartBackoff(_ time.Time, w wire.Backoff) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.backoffs[self] = append(n.backoffs[self], w)
}

func (n *network) Observe(target uint32, s tracker.State) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.reports[self] = append(n.reports[self], wire.Report{Target: target, Requests: -1, Incarnation: s.Incarnation, Leaving: s.Leaving})
}

func (n *network) Unavailable(time.Time, *matcher.Cell) ([]wire.Backoff, []wire.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.backoffs[self], n.reports[self]
}

func (n *network) Report(_ time.Time, w wire.Report) {
	n.reports[self] = append(n.reports[self], w)
}

func (n *network) Sync(_ time.Time, _ uint64, w wire.Sync) {
	n.syncs[self] = append(n.syncs[self], w)
}

func newRequester(n *network) *requester.Requester {
	return requester.New(n, n, n, counter.New(), n, time.Second)
}

func request() requester.Request {
	return requester.Request{Cell: &matcher.Cell{ID: 9, DataCentres: []string{"d"}}, Customer: 3}
}

// Guards against a new home that considers busy targets idle and overloads them: when the home of a cell changes,
// the new one must receive the grants in flight before it grants slots.
func TestNewHomeReceivesGrantsInFlight(t *testing.T) {
	i := is.New(t)
	n := newNetwork()
	a := newRequester(n)

	for range 3 {
		_, err := a.Reserve(t.Context(), request())
		i.NoErr(err)
	}

	n.home = 4
	p, err := a.Reserve(t.Context(), request())
	i.NoErr(err)
	i.Equal(len(n.syncs[2]), 0)
	i.Equal(len(n.syncs[4]), 1)
	i.Equal(len(n.syncs[4][0].Grants), 3)
	i.Equal(n.syncs[4][0].UpTo, uint32(3)) // The pending request is not in the list.

	a.Release(p, granter.Outcome{OK: true})
	i.Equal(len(n.released[4]), 1)

	a.SyncAll(t.Context())
	i.Equal(len(n.syncs[4][1].Grants), 3)
	i.Equal(n.syncs[4][1].UpTo, uint32(4)) // No request is pending.
}

// Guards against calls that fail because a home does not answer: the router must try the next home, and if that
// fails too, decide locally.
func TestUnreachableHomeIsReplaced(t *testing.T) {
	for name, tc := range map[string]struct {
		down   []uint64
		home   uint64
		answer uint64
	}{
		"home answers":                {nil, 2, 2},
		"home is this router":         {nil, self, self},
		"home is suspected":           {[]uint64{101}, 101, 0},
		"both homes fail":             {nil, 101, self},
		"home answers again":          {nil, 2, 2},
		"suspected homes are skipped": {[]uint64{101, 102}, 101, self},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			n := newNetwork()
			n.home = tc.home

			for _, d := range tc.down {
				n.suspected[d] = true
			}

			p, err := newRequester(n).Reserve(t.Context(), request())
			i.NoErr(err)
			i.Equal(p.Target, uint32(7))

			if tc.answer != 0 {
				i.Equal(n.requests[tc.answer], 1)
			}
		})
	}
}

// Guards against suspecting a healthy home after a stall of this router: a pending request times out though the home
// has answered. The home would continue to grant slots that this router, deciding locally, does not know of. A home
// that does not answer while this router runs, or that refuses the connection, must be suspected.
func TestHomeIsNotSuspectedAfterStall(t *testing.T) {
	late := errors.Mark(context.DeadlineExceeded, messenger.ErrTimeout)
	refused := errors.Mark(syscall.ECONNREFUSED, messenger.ErrUnreachable)

	for name, tc := range map[string]struct {
		err       error
		stalled   bool
		suspected bool
	}{
		"stalled, timed out": {err: late, stalled: true},
		"running, timed out": {err: late, suspected: true},
		"stalled, refused":   {err: refused, stalled: true, suspected: true},
		"running, refused":   {err: refused, suspected: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			n := newNetwork()
			a := newRequester(n)

			p, err := a.Reserve(t.Context(), request())
			i.NoErr(err)

			n.err, n.stalled = tc.err, tc.stalled
			a.Release(p, granter.Outcome{OK: true})
			i.Equal(n.suspected[2], tc.suspected)

			n.suspected = make(map[uint64]bool)
			p, err = a.Reserve(t.Context(), request())
			i.NoErr(err)
			i.Equal(p.Target, uint32(7)) // Decided locally.
			i.Equal(n.suspected[2], tc.suspected)
		})
	}
}

// A target's report must be forwarded to the home only if its state has changed or the home requested a report, and
// then immediately.
func TestTargetStateIsReportedOnce(t *testing.T) {
	i := is.New(t)
	n := newNetwork()
	a := newRequester(n)
	s := tracker.State{Incarnation: 5}

	for range 3 {
		p, err := a.Reserve(t.Context(), request())
		i.NoErr(err)
		a.Report(p, 1, s)
	}

	i.Equal(len(n.reports[2]), 1)
	i.Equal(n.reports[2][0].Incarnation, uint64(5))

	s.Leaving = true

	p, err := a.Reserve(t.Context(), request())
	i.NoErr(err)
	a.Report(p, 1, s) // Immediately, not at the end of the answer.
	i.Equal(len(n.reports[2]), 2)
	i.True(n.reports[2][1].Leaving)

	n.reportDue = true
	p, err = a.Reserve(t.Context(), request())
	i.NoErr(err)
	a.Report(p, 9, s)
	i.Equal(len(n.reports[2]), 3) // Requested by the home.
	i.Equal(n.reports[2][2].Requests, int32(9))
	i.Equal(n.reports[2][2].Incarnation, uint64(0))
}

// Guards against calls to a target in backoff or leaving after its cell has got another home: the target is reported to the
// home of the time, and answers no further call that would report it again.
func TestNewHomeLearnsOfUnavailableTargets(t *testing.T) {
	const backoff = 30 * time.Second

	for name, tc := range map[string]struct {
		next   func(n *network)
		learns uint64
	}{
		"the home changes":                       {next: func(n *network) { n.home = 4 }, learns: 4},
		"the successor takes over at once":       {next: func(*network) {}, learns: 3},
		"the home refuses":                       {next: func(n *network) { n.refuse = true }, learns: self},
		"this router takes over without request": {next: func(n *network) { n.home = self }, learns: self},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				n := newNetwork()
				n.successor = 3
				a := newRequester(n)

				p, err := a.Reserve(t.Context(), request())
				i.NoErr(err)
				a.Report(p, 1, tracker.State{Incarnation: 6, Leaving: true})
				a.StartBackoff(p, backoff)
				synctest.Wait()
				i.Equal(len(n.backoffs[2]), 1) // The home knows at once.

				tc.next(n)

				_, err = a.Reserve(t.Context(), request())
				i.NoErr(err)

				synctest.Wait()
				i.Equal(len(n.backoffs[tc.learns]), 1)
				i.Equal(n.backoffs[tc.learns][0].Target, p.Target)
				i.Equal(len(n.reports[tc.learns]), 1)
				i.True(n.reports[tc.learns][0].Leaving)
			})
		})
	}
}

// Guards against slots that count for up to 15 s after their calls ended: this router granted them because the home refused to,
// so the home does not know them.
func TestLocallyGrantedSlotIsReleasedLocally(t *testing.T) {
	i := is.New(t)
	n := newNetwork()
	a := newRequester(n)
	n.refuse = true

	p, err := a.Reserve(t.Context(), request())
	i.NoErr(err)

	n.refuse = false

	a.Release(p, granter.Outcome{OK: true})
	i.Equal(len(n.released[self]), 1)
}

// Guards against a state that its home never learns: the message with it was not sent, and an unchanged state is not due again for
// seconds.
func TestUnsentStateIsDueAgain(t *testing.T) {
	i := is.New(t)
	n := newNetwork()
	a := newRequester(n)

	for _, err := range []error{errors.New("connection reset"), nil} {
		p, e := a.Reserve(t.Context(), request())
		i.NoErr(e)

		n.err = err
		a.Report(p, 1, tracker.State{Incarnation: 5})

		n.err = nil
		n.suspected = make(map[uint64]bool)
	}

	i.Equal(len(n.reports[2]), 1)
}
