package forwarder

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

// heldWait is when to come back with a call that is held back. Whoever comes back sooner is
// refused again, at no cost to a target.
const heldWait = time.Minute

// Quarantine remembers under which calls targets have ended, at all instances; a warner.Warner
// does.
type Quarantine interface {
	// Come returns what a call may do that has come, or is to be sent once more.
	Come(d digester.Digest) quarantiner.Verdict
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
// Sent on, it ends each target that begins to run it, and all other calls there break: 46
// targets ended under one in 40 s on a recorded day.
func (f *Forwarder) isolate(x *exchange) error {
	if f.quarantine == nil {
		return nil
	}

	v := f.quarantine.Come(x.digest)
	if v.Standing != quarantiner.Held {
		return nil
	}

	return refuse(http.StatusServiceUnavailable, HeldBack, heldWait,
		"%d targets have ended while they ran this call, the last %v ago; it is held back", v.Ends, time.Since(v.Last).Round(time.Millisecond))
}

// held says that a call that may have been sent is to be sent to no further target.
func (f *Forwarder) held(x *exchange) bool {
	return f.quarantine != nil && f.quarantine.Come(x.digest).Standing == quarantiner.Held
}

// learnEnd takes from the result of an attempt whether the target's process has ended under
// the call, or has survived it.
func (f *Forwarder) learnEnd(c context.Context, x *exchange, t *enroller.Target, r result) {
	switch {
	case f.quarantine == nil || r.notRun:
	case r.err == nil || r.answer != nil:
		f.quarantine.Served(x.digest)
	case c.Err() == nil && errors.Is(r.err, errBroken) && f.client.ended(c, t):
		v := f.quarantine.Ended(x.digest, t.Key().Name())

		logrus.WithFields(x.fields()).WithFields(logrus.Fields{
			"event": "targetEnded", "target": t.ID, "address": t.Address, "ends": v.Ends, "standing": v.Standing,
		}).Warn()
	}
}

// ended says that a target's process is gone: its address refuses connections.
//
// A connection that breaks tells less. It may have been reset alone, by the target or on the
// way, while the target goes on; taken for its end, calls of which answers get lost would be
// held back. Calls that broke together ask once.
func (k *client) ended(c context.Context, t *enroller.Target) bool {
	v, _, _ := k.asked.Do(t.Process().ID+t.Address.String(), func() (any, error) {
		n, err := k.dial(context.WithoutCancel(c), "tcp", t.Address.String())
		if err == nil {
			_ = n.Close() // Nothing was sent.
		}

		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	gone, _ := v.(bool)

	return gone
}
