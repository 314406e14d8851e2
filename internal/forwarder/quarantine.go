package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/prober"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/selector"
)

// Quarantine records the calls that were running when targets crashed, across all instances. It is
// implemented by replicator.Replicator.
type Quarantine interface {
	// Admit reports whether a call with a deadline may be sent to a target, and the verdict on it. The subjects are the call
	// and the parts of its prompt. The returned function must be called when the target has answered or crashed.
	Admit(c context.Context, subjects []digester.Digest, deadline time.Time) (quarantiner.Verdict, bool, func())
	// RecordCrash records that a process crashed while a call with the given subjects was running there, and returns the new
	// verdict on the most suspicious of them.
	RecordCrash(subjects []digester.Digest, p discoverer.Name) quarantiner.Verdict
	// RecordServed records that a call with the given subjects was answered in full.
	RecordServed(subjects []digester.Digest)
	// CauseOf returns the quarantined part of prompts that explains the crash of a process, or zero.
	CauseOf(p discoverer.Name) digester.Digest
}

// SetQuarantine sets the quarantine. It must be called before the first call is served.
func (f *Forwarder) SetQuarantine(q Quarantine) {
	f.quarantine = q
}

// checkQuarantine refuses a quarantined call, which targets have repeatedly crashed while running,
// before any work is done for it. If it were forwarded, it would crash each target that runs it, and
// all other calls there would fail.
func (f *Forwarder) checkQuarantine(x *exchange) error {
	v, ok := f.quarantineAllows(x)

	switch {
	case ok:
		return nil
	case x.request.Context().Err() != nil:
		return errCallerLeft
	default:
		return refuse(http.StatusServiceUnavailable, Quarantined, v.RetryAfter(), "%s", v.Reason(time.Now()))
	}
}

// quarantineAllows decides whether a call may be sent to a target now. It ends the previous
// trial of the call, if there is one.
func (f *Forwarder) quarantineAllows(x *exchange) (quarantiner.Verdict, bool) {
	if f.quarantine == nil {
		return quarantiner.Verdict{}, true
	}

	x.finishTrial()

	v, ok, end := f.quarantine.Admit(x.request.Context(), x.subjects(), x.deadline)
	x.endTrial = end
	x.quarantined = ok && v.Status == quarantiner.Quarantined

	return v, ok
}

// crashReportTime is the time within which a delegate has told all instances that a target crashed.
const crashReportTime = 200 * time.Millisecond

// holdTrial delays the end of the current trial until all instances know of a crash that a delegate has detected. Otherwise the home
// would grant the next trial before it knows that this one has failed.
func (x *exchange) holdTrial() {
	if f := x.endTrial; f != nil {
		x.endTrial = func() { time.AfterFunc(crashReportTime, f) }
	}
}

// finishTrial ends the current trial of the call. It does nothing if there is none.
func (x *exchange) finishTrial() {
	if x.endTrial != nil {
		x.endTrial()
		x.endTrial = nil
	}
}

// detectCrash determines from the result of an attempt whether the target's process crashed while
// running the call, and records either the crash or that the target survived the call. It reports
// whether the process crashed.
func (f *Forwarder) detectCrash(c context.Context, x *exchange, t selector.Choice, r result) bool {
	switch {
	case f.quarantine == nil || r.notRun:
		return false
	case r.answer != nil: // The target survived the call, and may not have begun to work on its prompt.
		f.quarantine.RecordServed([]digester.Digest{x.digest})

		return false
	case r.err == nil:
		f.quarantine.RecordServed(x.subjects())

		return false
	case t.Route == selector.Delegated: // The delegate detects it.
		x.holdTrial()

		return false
	case c.Err() != nil || !errors.Is(r.err, errBroken) || !f.client.prober.Crashed(c, t.Target.Address, f.witnesses(t.Target)):
		return false
	}

	v := f.quarantine.RecordCrash(x.subjects(), t.Target.Key().Name())

	f.mu.Lock()
	f.sharder.RecordCrash(time.Now(), t.Target, v.Repeated)
	f.mu.Unlock()

	logrus.WithFields(x.logFields()).WithFields(logrus.Fields{
		"event": "targetEnded", "target": t.Target.ID, "address": t.Target.Address, "suspect": v.Subject, "ends": v.Crashes,
		"standing": v.Status,
	}).Warn()

	return true
}

// RecordCrashes applies a notification from another instance that processes of targets crashed while
// running calls.
func (f *Forwarder) RecordCrashes(l []quarantiner.Occurrence) {
	f.mu.Lock()
	defer f.mu.Unlock()

	r := f.state.Registry()

	for _, e := range l {
		if t, ok := r.Names[e.Process]; ok {
			f.sharder.RecordCrash(e.At, t, e.Repeated)
		}
	}
}

// updateSharding reports whether the customers of a group are limited to their shards of its
// targets, and logs changes. Requires f.mu to be held.
func (f *Forwarder) updateSharding(now time.Time, group string, targets int) bool {
	o := f.sharder.Sharded(now, group, targets, f.causeOf)

	if o != f.sharded[group] {
		f.sharded[group] = o
		logrus.WithFields(logrus.Fields{"event": "customersConfined", "group": group, "targets": targets, "confined": o}).Warn()
	}

	return o
}

// causeOf returns the quarantined part of prompts that explains the crash of a process, or zero.
func (f *Forwarder) causeOf(k discoverer.Key) digester.Digest {
	if f.quarantine == nil {
		return 0
	}

	return f.quarantine.CauseOf(k.Name())
}

// witnesses returns the addresses of targets to connect to in order to distinguish a crash of the
// given target from a network partition: if the data centre of the target is reachable, so are they.
func (f *Forwarder) witnesses(t *discoverer.Target) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()

	var o []netip.AddrPort
	for _, x := range f.selector.Witnesses(time.Now(), f.state.Registry(), t) {
		o = append(o, x.Address)
	}

	return o
}

// dialOutcome determines from a failed connection attempt whether the target's process has crashed
// or can't be reached.
func (f *Forwarder) dialOutcome(c context.Context, t *discoverer.Target, err error) selector.Outcome {
	if prober.Refused(err) && f.client.prober.Reachable(c, f.witnesses(t)) {
		return selector.Crashed
	}

	return selector.Unreachable
}
