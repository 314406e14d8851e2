package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/prober"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/selector"
)

// Quarantine remembers under which calls targets have ended, at all instances; a warner.Warner
// does.
type Quarantine interface {
	// Try says whether a call that is to be answered by a time may be sent to a target, and
	// returns what is called when that has answered or ended.
	Try(c context.Context, d digester.Digest, deadline time.Time) (quarantiner.Verdict, bool, func())
	// Ended takes that a process ended while a call was in flight there, and returns what
	// the call may do from now on.
	Ended(d digester.Digest, p enroller.Name) quarantiner.Verdict
	// Served takes that a call was answered in full.
	Served(d digester.Digest)
}

// UseQuarantine sets who remembers under which calls targets have ended. It is called before
// the first call comes.
func (f *Forwarder) UseQuarantine(q Quarantine) {
	f.quarantine = q
}

// isolate refuses a call under which targets have ended again and again, at once and before it
// costs anything.
//
// Sent on, it ends each target that begins to run it, and all other calls there break.
func (f *Forwarder) isolate(x *exchange) error {
	v, ok := f.letOut(x)

	switch {
	case ok:
		return nil
	case x.request.Context().Err() != nil:
		return errCallerLeft
	default:
		return refuse(http.StatusServiceUnavailable, HeldBack, v.Wait(), "%s", v.Reason(time.Now()))
	}
}

// letOut says whether a call may be sent to a target now.
func (f *Forwarder) letOut(x *exchange) (quarantiner.Verdict, bool) {
	if f.quarantine == nil {
		return quarantiner.Verdict{}, true
	}

	x.endTrial()

	v, ok, end := f.quarantine.Try(x.request.Context(), x.digest, x.deadline)
	x.trial = end

	return v, ok
}

// endTrial tells that the sending that was let out is over. Without one it does nothing.
func (x *exchange) endTrial() {
	if x.trial != nil {
		x.trial()
		x.trial = nil
	}
}

// learnEnd takes from the result of an attempt whether the target's process has ended under
// the call, or has survived it, and says whether it has ended.
func (f *Forwarder) learnEnd(c context.Context, x *exchange, t *enroller.Target, r result) bool {
	switch {
	case f.quarantine == nil || r.notRun:
		return false
	case r.err == nil || r.answer != nil:
		f.quarantine.Served(x.digest)

		return false
	case c.Err() != nil || !errors.Is(r.err, errBroken) || !f.client.prober.Ended(c, t.Address, f.witnesses(t)):
		return false
	}

	v := f.quarantine.Ended(x.digest, t.Key().Name())

	f.mu.Lock()
	f.confiner.Ended(time.Now(), t)
	f.mu.Unlock()

	logrus.WithFields(x.fields()).WithFields(logrus.Fields{
		"event": "targetEnded", "target": t.ID, "address": t.Address, "ends": v.Ends, "standing": v.Standing,
	}).Warn()

	return true
}

// LearnEnds takes other instances' word that processes of targets have ended under calls.
func (f *Forwarder) LearnEnds(l []quarantiner.End) {
	f.mu.Lock()
	defer f.mu.Unlock()

	r := f.facts.Roster()

	for _, e := range l {
		if t, ok := r.Names[e.Process]; ok {
			f.confiner.Ended(e.At, t)
		}
	}
}

// confine says whether the customers of a group keep to their parts of its targets, and logs when
// that changes. The lock is held.
func (f *Forwarder) confine(now time.Time, group string, targets int) bool {
	o := f.confiner.Confined(now, group, targets)

	if o != f.confined[group] {
		f.confined[group] = o
		logrus.WithFields(logrus.Fields{"event": "customersConfined", "group": group, "targets": targets, "confined": o}).Warn()
	}

	return o
}

// witnesses returns the addresses of targets that are reached when a target is.
func (f *Forwarder) witnesses(t *enroller.Target) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()

	var o []netip.AddrPort
	for _, x := range f.chooser.Witnesses(time.Now(), f.facts.Roster(), t) {
		o = append(o, x.Address)
	}

	return o
}

// unmade returns what a connection that was not made says of its target: whether it has ended, or
// can't be reached.
func (f *Forwarder) unmade(c context.Context, t *enroller.Target, err error) selector.Outcome {
	if prober.Refused(err) && f.client.prober.Reached(c, f.witnesses(t)) {
		return selector.Crashed
	}

	return selector.Unreachable
}
