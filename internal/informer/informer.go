// Package informer tells the other instances where prompts are cached and how
// loaded targets are.
//
// Each instance sees a sliver of the calls. Without the others' word it would
// take a target to be without a prompt that another instance's call left there,
// and have it read a second time elsewhere; and it would not know the load of a
// target that it has sent nothing for a while.
package informer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/spreader"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrNews marks news that can't be read.
var ErrNews = errors.New("the news is not valid")

const (
	// leastEvery is the time between two tellings. A chat returns after seconds.
	leastEvery = 100 * time.Millisecond
	// eachEvery is added for each instance that is told, so that an instance takes
	// some 60 messages a second however many there are.
	eachEvery = 16 * time.Millisecond
	// maxList bounds one message; 12 bytes each.
	maxList = 1024
)

// ways are the kinds of news on its ways.
var ways = spreader.Kinds{Direct: wire.KindNews, Relay: wire.KindRelay} //nolint:gochecknoglobals // A constant.

// Knowledge is what this instance knows of targets.
type Knowledge interface {
	Update() selector.Update
	ApplyUpdate(n selector.Update)
	// ReportGone takes that processes are gone.
	MarkGone(l []discoverer.Process)
	// MarkLeaving takes that processes said that they leave.
	MarkLeaving(l []discoverer.Process)
}

// Informer tells and is told. It is safe for concurrent use.
type Informer struct {
	spreader  *spreader.Spreader
	members   spreader.Members
	knowledge Knowledge
}

// New returns an Informer.
func New(m spreader.Messenger, x spreader.Members, k Knowledge) *Informer {
	return &Informer{spreader: spreader.New(m, x), members: x, knowledge: k}
}

// Run tells the others until the context ends.
func (i *Informer) Run(c context.Context) {
	for c.Err() == nil {
		i.tell(c)

		t := time.NewTimer(max(leastEvery, time.Duration(len(i.members.Live()))*eachEvery))

		select {
		case <-t.C:
		case <-c.Done():
			t.Stop()
		}
	}
}

// Told takes what another instance tells.
func (i *Informer) Told(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.News
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrNews)
	}

	b := time.Now()

	var n selector.Update

	for _, h := range w.Holders {
		n.Placements = append(n.Placements, selector.Placement{Key: h.Key, Target: discoverer.Name(h.Target)})
	}

	for _, l := range w.Loads {
		n.Loads = append(n.Loads, selector.TargetLoad{
			Target: discoverer.Name(l.Target), Calls: int(l.Calls), At: b.Add(-time.Duration(l.AgeMs) * time.Millisecond),
		})
	}

	i.knowledge.ApplyUpdate(n)

	return nil, nil //nolint:nilnil // News has no reply.
}

// Gone tells the others at once that a process is gone. Each of them would otherwise find
// out with a call of its own, and hundreds would be turned away when some targets crash.
//
// It names the process and not just the target: the word may come after the list has shown
// that the target started again, and would have the new process left alone for seconds.
func (i *Informer) Gone(p discoverer.Process) {
	i.tellOf(wire.KindGone, p)
}

// Leaving tells the others at once that a process said that it leaves.
func (i *Informer) Leaving(p discoverer.Process) {
	i.tellOf(wire.KindLeaving, p)
}

func (i *Informer) tellOf(k wire.Kind, p discoverer.Process) {
	i.spreader.Each(context.Background(), k, &wire.Gone{
		Targets: []string{p.ID}, StartsMs: []int64{p.Start.UnixMilli()},
	})
}

// ToldGone takes what another instance tells of processes that are gone.
func (i *Informer) ToldGone(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	l, err := processes(body)
	if err == nil {
		i.knowledge.MarkGone(l)
	}

	return nil, err
}

// ToldLeaving takes what another instance tells of processes that said that they leave.
func (i *Informer) ToldLeaving(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	l, err := processes(body)
	if err == nil {
		i.knowledge.MarkLeaving(l)
	}

	return nil, err
}

// processes reads the names of processes. It fails with ErrNews.
func processes(body []byte) ([]discoverer.Process, error) {
	var w wire.Gone
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrNews)
	}

	if len(w.Targets) != len(w.StartsMs) {
		return nil, errors.Wrapf(ErrNews, "%d targets have %d starts", len(w.Targets), len(w.StartsMs))
	}

	l := make([]discoverer.Process, len(w.Targets))
	for k, id := range w.Targets {
		l[k] = discoverer.Process{ID: id, Start: time.UnixMilli(w.StartsMs[k])}
	}

	return l, nil
}

// Relayed takes what an instance of another data centre tells, and passes it on in the own
// one. What can't be read goes no further.
func (i *Informer) Relayed(c context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	if _, err := i.Told(c, from, body); err != nil {
		return nil, err
	}

	// The connection over which it came may end before all are told.
	i.spreader.Near(context.WithoutCancel(c), ways, msgp.Raw(body))

	return nil, nil //nolint:nilnil // News has no reply.
}

// tell sends what is new to all others. What does not arrive is told again
// when it is used later.
func (i *Informer) tell(c context.Context) {
	n := i.knowledge.Update()
	if len(n.Placements) == 0 && len(n.Loads) == 0 {
		return
	}

	b := time.Now()

	var w wire.News

	for _, p := range n.Placements[:min(len(n.Placements), maxList)] {
		w.Holders = append(w.Holders, wire.Holder{Key: p.Key, Target: uint32(p.Target)})
	}

	for _, x := range n.Loads[:min(len(n.Loads), maxList)] {
		w.Loads = append(w.Loads, wire.Load{
			Target: uint32(x.Target), Calls: uint32(max(x.Calls, 0)), AgeMs: uint32(b.Sub(x.At).Milliseconds()), //nolint:gosec // Small.
		})
	}

	i.spreader.All(c, ways, &w)
}
