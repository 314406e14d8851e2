// Package advertiser advertises to the other instances which targets have which prompts in their cache, and
// how many calls they run.
//
// Each instance sees only a share of the calls. Without the updates of the others it would treat a target
// as not having a prompt that a call of another instance left there, and have the prompt processed a second
// time elsewhere; and it would not know the load of a target to which it has sent no calls for a while.
package advertiser

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/broadcaster"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrUpdate marks an update that cannot be decoded.
var ErrUpdate = errors.New("invalid update")

const (
	// minInterval is the shortest interval between two updates. Shorter intervals are not needed, since the
	// next request of a chat follows only seconds later.
	minInterval = 100 * time.Millisecond
	// intervalPerInstance times the number of live instances is the interval in fleets where that is
	// longer, so that an instance receives about 60 messages a second regardless of the size of the fleet.
	intervalPerInstance = 16 * time.Millisecond
	// maxEntries bounds the entries of each kind in a message; an entry takes 12 bytes.
	maxEntries = 1024
)

// kinds are the message kinds of updates.
var kinds = broadcaster.Kinds{Direct: wire.KindUpdate, Relay: wire.KindUpdateRelay} //nolint:gochecknoglobals // A constant.

// Targets is what this instance knows of targets.
type Targets interface {
	Update() selector.Update
	ApplyUpdate(n selector.Update)
	// MarkGone records that processes are gone.
	MarkGone(l []discoverer.Process)
	// MarkLeaving records that processes announced that they leave.
	MarkLeaving(l []discoverer.Process)
	// ApplyRefusal records that a brittle target has refused a call.
	ApplyRefusal(r selector.Refusal)
}

// Advertiser sends and receives updates on targets. It is safe for concurrent use.
type Advertiser struct {
	broadcaster *broadcaster.Broadcaster
	members     broadcaster.Members
	targets     Targets
}

// New returns an advertiser. It sends no updates until Run is called.
func New(m broadcaster.Messenger, x broadcaster.Members, k Targets) *Advertiser {
	return &Advertiser{broadcaster: broadcaster.New(m, x), members: x, targets: k}
}

// Run sends updates to the other instances until the context ends.
func (i *Advertiser) Run(c context.Context) {
	for c.Err() == nil {
		i.advertise(c)

		t := time.NewTimer(max(minInterval, time.Duration(len(i.members.Live()))*intervalPerInstance))

		select {
		case <-t.C:
		case <-c.Done():
			t.Stop()
		}
	}
}

// HandleUpdate applies an update of another instance. It fails with ErrUpdate.
func (i *Advertiser) HandleUpdate(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Update
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrUpdate)
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

	i.targets.ApplyUpdate(n)

	return nil, nil //nolint:nilnil // Updates have no reply.
}

// NotifyGone notifies the other instances immediately that a process is gone. Each of them would otherwise find
// out with a call of its own, and hundreds of calls would be rejected when several targets crash.
//
// The notification names the process and not only the target: it may arrive after the target list has shown
// that the target restarted, and would then exclude the new process for seconds.
func (i *Advertiser) NotifyGone(p discoverer.Process) {
	i.notifyProcess(wire.KindGone, p)
}

// NotifyLeaving notifies the other instances immediately that a process announced that it leaves.
func (i *Advertiser) NotifyLeaving(p discoverer.Process) {
	i.notifyProcess(wire.KindLeaving, p)
}

// NotifyRefusal notifies the other instances immediately that a brittle target has refused a call.
func (i *Advertiser) NotifyRefusal(r selector.Refusal) {
	i.broadcaster.Direct(context.Background(), wire.KindCapacity, &wire.Capacity{
		Target: r.Process.ID, StartMs: r.Process.Start.UnixMilli(), Calls: uint32(max(r.Calls, 0)), MaxRefusals: uint32(max(r.MaxRefusals, 0)), //nolint:gosec // Within uint32.
	})
}

// HandleCapacity applies a notification that a brittle target has refused a call. It fails with ErrUpdate.
func (i *Advertiser) HandleCapacity(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Capacity
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrUpdate)
	}

	i.targets.ApplyRefusal(selector.Refusal{
		Process: discoverer.Process{ID: w.Target, Start: time.UnixMilli(w.StartMs)}, Calls: int(w.Calls), MaxRefusals: int(w.MaxRefusals),
	})

	return nil, nil //nolint:nilnil // Notifications have no reply.
}

func (i *Advertiser) notifyProcess(k wire.Kind, p discoverer.Process) {
	i.broadcaster.Direct(context.Background(), k, &wire.Gone{
		Targets: []string{p.ID}, StartsMs: []int64{p.Start.UnixMilli()},
	})
}

// HandleGone applies a notification that processes are gone. It fails with ErrUpdate.
func (i *Advertiser) HandleGone(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	l, err := decodeProcesses(body)
	if err == nil {
		i.targets.MarkGone(l)
	}

	return nil, err
}

// HandleLeaving applies a notification that processes announced that they leave. It fails with ErrUpdate.
func (i *Advertiser) HandleLeaving(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	l, err := decodeProcesses(body)
	if err == nil {
		i.targets.MarkLeaving(l)
	}

	return nil, err
}

// decodeProcesses decodes the processes named in a notification. It fails with ErrUpdate.
func decodeProcesses(body []byte) ([]discoverer.Process, error) {
	var w wire.Gone
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrUpdate)
	}

	if len(w.Targets) != len(w.StartsMs) {
		return nil, errors.Wrapf(ErrUpdate, "it has %d targets but %d start times", len(w.Targets), len(w.StartsMs))
	}

	l := make([]discoverer.Process, len(w.Targets))
	for k, id := range w.Targets {
		l[k] = discoverer.Process{ID: id, Start: time.UnixMilli(w.StartsMs[k])}
	}

	return l, nil
}

// HandleRelay applies an update of an instance of another data centre and forwards it to the other instances
// of its own data centre. If the update cannot be decoded, it fails with ErrUpdate and forwards nothing.
func (i *Advertiser) HandleRelay(c context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	if _, err := i.HandleUpdate(c, from, body); err != nil {
		return nil, err
	}

	// The connection on which the update arrived may close before all instances are notified.
	i.broadcaster.Local(context.WithoutCancel(c), kinds, msgp.Raw(body))

	return nil, nil //nolint:nilnil // Updates have no reply.
}

// advertise sends what has changed to all other instances. An update that does not arrive is not repeated;
// its entries are sent again the next time that they are used.
func (i *Advertiser) advertise(c context.Context) {
	n := i.targets.Update()
	if len(n.Placements) == 0 && len(n.Loads) == 0 {
		return
	}

	b := time.Now()

	var w wire.Update

	for _, p := range n.Placements[:min(len(n.Placements), maxEntries)] {
		w.Holders = append(w.Holders, wire.Holder{Key: p.Key, Target: uint32(p.Target)})
	}

	for _, x := range n.Loads[:min(len(n.Loads), maxEntries)] {
		w.Loads = append(w.Loads, wire.LoadReport{
			Target: uint32(x.Target), Calls: uint32(max(x.Calls, 0)), AgeMs: uint32(b.Sub(x.At).Milliseconds()), //nolint:gosec // Within uint32.
		})
	}

	i.broadcaster.All(c, kinds, &w)
}
