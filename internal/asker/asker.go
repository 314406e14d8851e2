// Package asker asks the homes of cells for places, on behalf of the requests
// that came in at this router.
package asker

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// tries is how many homes are asked before this router decides itself.
	tries = 2
	// syncEvery is the time between two lists of all grants to their homes.
	syncEvery   = 5 * time.Second
	sendTimeout = time.Second
)

// ErrNoPlace means that no home could be asked and this router could not decide
// either.
var ErrNoPlace = errors.New("no place could be asked for")

// peers talks to peers.
type peers interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// members says which routers are live.
type members interface {
	Home(key uint64, centres []string) (gossiper.Member, bool)
	Suspect(id uint64)
	Self() gossiper.Member
}

// keeper decides for the cells that this router is home to.
type keeper interface {
	Ask(now time.Time, entry uint64, w wire.Ask) (wire.Verdict, error)
	Release(now time.Time, entry uint64, w wire.Release)
	Report(now time.Time, w wire.Report)
	Sync(now time.Time, entry uint64, w wire.Sync)
}

// pauses knows when this process stood still.
type pauses interface {
	Stalled(since time.Time) bool
}

// Request is what a place is asked for.
type Request struct {
	Cell     *matcher.Cell
	Rule     uint32
	Customer uint32
	Chat     uint64
	Prompt   int
	Hint     uint32
	Excluded []uint32
	// Waited is how long the request has waited for its place.
	Waited time.Duration
	// Sent says that another cell's home sent the request to this cell.
	Sent bool
}

// Place is the answer, with what is needed to give the place back. When the
// request is sent elsewhere, Target is the cell to ask.
type Place struct {
	Reason     granter.Reason
	Target     uint32
	Returned   bool
	RetryAfter time.Duration

	cell *matcher.Cell
	seq  uint32
	// tell says that the home wants a report.
	tell bool
}

// Asker keeps the list of this router's grants. It is safe for concurrent use.
type Asker struct {
	peers   peers
	members members
	keeper  keeper
	counter *counter.Counter
	pauses  pauses
	timeout time.Duration

	mu     sync.Mutex
	seq    uint32
	asking map[uint32]bool
	cells  map[uint32]*cell
	// told is what the homes were told of targets, and when.
	told map[uint32]telling
}

type telling struct {
	state tracker.State
	at    time.Time
}

// cell holds this router's grants in one cell, and the home that knows them.
type cell struct {
	cell   *matcher.Cell
	home   uint64
	grants map[uint32]wire.Grant
}

// New returns an Asker without grants. The timeout bounds one ask.
func New(m peers, l members, k keeper, n *counter.Counter, p pauses, timeout time.Duration) *Asker {
	return &Asker{
		peers: m, members: l, keeper: k, counter: n, pauses: p, timeout: timeout,
		asking: make(map[uint32]bool), cells: make(map[uint32]*cell), told: make(map[uint32]telling),
	}
}

// Run sends each cell's home the list of this router's grants from time to
// time, until the context ends.
func (a *Asker) Run(c context.Context) {
	t := time.NewTicker(syncEvery)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			a.SyncAll(c)
		case <-c.Done():
			return
		}
	}
}

// Ask asks the cell's home for a place. When the home can't be asked it asks
// the next one, and then decides by what this router knows itself: its own
// requests and the targets' reports.
func (a *Asker) Ask(c context.Context, r Request) (Place, error) {
	w := a.number(r)
	defer a.numbered(w.Seq)

	for range tries {
		h, ok := a.away(r.Cell)
		if !ok {
			return a.here(c, r, w)
		}

		a.moved(c, r.Cell, h)

		b := time.Now()

		v, err := a.call(c, h, w)
		if err == nil {
			return a.take(r, w, v), nil
		}

		if c.Err() != nil {
			return Place{}, errors.Mark(c.Err(), ErrNoPlace)
		}

		// A home that answers that it does not know the cell or the rule is a
		// revision behind, or ahead. It is well, and its other cells need it.
		if errors.Is(err, messenger.ErrRefused) {
			break
		}

		a.counter.Add(counter.AsksFailed, 1)
		logrus.WithFields(logrus.Fields{"event": "askFailed", "peer": h.Address, "error": err}).Warn()
		a.suspect(h, b, err)
	}

	a.counter.Add(counter.AskedHere, 1)

	return a.here(c, r, w)
}

// here decides at this router, be it the cell's home or not.
func (a *Asker) here(c context.Context, r Request, w wire.Ask) (Place, error) {
	a.moved(c, r.Cell, a.members.Self())

	v, err := a.keeper.Ask(time.Now(), a.members.Self().ID, w)
	if err != nil {
		return Place{}, errors.Mark(err, ErrNoPlace)
	}

	return a.take(r, w, v), nil
}

// Release gives a place back.
func (a *Asker) Release(p Place, o granter.Outcome) {
	a.mu.Lock()
	if x, ok := a.cells[p.cell.ID]; ok {
		delete(x.grants, p.seq)
	}
	a.mu.Unlock()

	w := wire.Release{Seq: p.seq, Cell: p.cell.ID, OK: o.OK, NeverSent: o.NeverSent}

	h, ok := a.away(p.cell)
	if !ok {
		a.keeper.Release(time.Now(), a.members.Self().ID, w)

		return
	}

	// A lost release is made good by the next list of grants.
	a.send(h, wire.KindRelease, &w)
}

// Report tells the home what a target said of itself as its answer began, when
// the home wants to know or it is news. It must not wait for the answer's end: a
// target that says that it leaves would get new work until then.
func (a *Asker) Report(p Place, requests int, s tracker.State) {
	n := a.news(p.Target, s)
	if !p.tell && !n {
		return
	}

	w := wire.Report{Cell: p.cell.ID, Target: p.Target, Requests: int32(min(requests, math.MaxInt32))} //nolint:gosec // Bounded.
	if n {
		w.Incarnation = s.Incarnation
		w.Leaving = s.Leaving
	}

	h, ok := a.away(p.cell)
	if !ok {
		a.keeper.Report(time.Now(), w)

		return
	}

	a.send(h, wire.KindReport, &w)
}

// away returns the home of a cell when it is another router.
func (a *Asker) away(x *matcher.Cell) (gossiper.Member, bool) {
	h, ok := a.members.Home(uint64(x.ID), x.DataCentres)

	return h, ok && h.ID != a.members.Self().ID
}

func (a *Asker) send(h gossiper.Member, k wire.Kind, m msgp.Marshaler) {
	c, stop := context.WithTimeout(context.Background(), sendTimeout)
	defer stop()

	b := time.Now()

	if err := a.peers.Send(c, h.Address, k, m); err != nil {
		a.suspect(h, b, err)
	}
}

// suspect passes a home over to which a message failed that was begun at a time.
//
// A process that stands still finds on waking that its asks have run out of time. Each
// of their homes would be passed over for seconds, and meanwhile this router would
// decide in their place by what it knows itself, beside homes that are well.
func (a *Asker) suspect(h gossiper.Member, begun time.Time, err error) {
	if detector.TimedOut(err) && a.pauses.Stalled(begun) {
		return
	}

	a.members.Suspect(h.ID)
}

// news says that a target's state is to be told to its home: when it changed,
// and from time to time, for a home that is new.
func (a *Asker) news(target uint32, s tracker.State) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	o := a.told[target]
	if s.Incarnation == 0 || (o.state == s && time.Since(o.at) < syncEvery) {
		return false
	}

	a.told[target] = telling{state: s, at: time.Now()}

	return true
}

// number gives a request its number among this router's.
func (a *Asker) number(r Request) wire.Ask {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.seq++
	a.asking[a.seq] = true

	return wire.Ask{
		Seq: a.seq, Cell: r.Cell.ID, Rule: r.Rule, Customer: r.Customer, Chat: r.Chat, Prompt: clamp(r.Prompt),
		Hint: r.Hint, Excluded: r.Excluded, WaitedMs: clamp(int(r.Waited.Milliseconds())),
		Sent: r.Sent,
	}
}

func (a *Asker) numbered(seq uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.asking, seq)
}

func (a *Asker) call(c context.Context, h gossiper.Member, w wire.Ask) (wire.Verdict, error) {
	x, stop := context.WithTimeout(c, a.timeout)
	defer stop()

	var v wire.Verdict

	err := a.peers.Call(x, h.Address, wire.KindAsk, &w, &v)

	return v, err
}

func (a *Asker) entry(x *matcher.Cell) *cell {
	e, ok := a.cells[x.ID]
	if !ok {
		e = &cell{grants: make(map[uint32]wire.Grant)}
		a.cells[x.ID] = e
	}

	e.cell = x

	return e
}

// take notes a grant.
func (a *Asker) take(r Request, w wire.Ask, v wire.Verdict) Place {
	p := Place{
		Reason: granter.Reason(v.Reason), Target: v.Target, Returned: v.Flags&wire.FlagReturned != 0, tell: v.Flags&wire.FlagTell != 0,
		RetryAfter: time.Duration(v.RetryAfterMs) * time.Millisecond, cell: r.Cell, seq: w.Seq,
	}

	if p.Reason != granter.Granted {
		return p
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	a.entry(r.Cell).grants[w.Seq] = wire.Grant{Seq: w.Seq, Target: v.Target, Customer: w.Customer}

	return p
}

func clamp(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxInt32))
}
