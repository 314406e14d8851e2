package forwarder

import (
	"context"
	"time"

	"github.com/auburntray/auburntray/internal/admitter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/sleeper"
)

const (
	// placeWait is how long a call that is bound to a software version waits for a place before it is refused, and placeInterval the
	// time between two attempts to take one. Most calls that wait to begin do so within that.
	placeWait     = 300 * time.Millisecond
	placeInterval = 20 * time.Millisecond
	// maxAwaiting is the largest number of calls that wait for a place at a time. Each attempt selects a target again.
	maxAwaiting = 32
)

// scope identifies the targets that may run a call that is bound to a software version.
func (x *exchange) scope() admitter.Scope {
	return admitter.Scope{Group: x.group, Version: x.version}
}

// waitingID identifies a call that is bound to a software version whenever it comes: by the stream that it resumes or, if it
// does not state that, by its content.
func (x *exchange) waitingID() uint64 {
	if x.stream != 0 {
		return uint64(x.stream)
	}

	return uint64(x.digest)
}

// takePlace takes a place for a call that is bound to a software version of which not all targets of the group are, at the target
// that was selected. It reports false, and reverts the choice, if there is none. Requires f.mu to be held.
func (f *Forwarder) takePlace(now time.Time, x *exchange, t selector.Choice) bool {
	x.place = nil

	n := max(t.Usable, t.Crowded)
	x.room = admitter.Room{Targets: n, Places: t.Bound * float64(n), Instances: f.state.Instances(), Within: abandonFactor * x.rule.Latency / 2}

	if t.Target == nil || !t.Narrowed || x.version == 0 || x.relayed {
		return true
	}

	x.room.Slots = t.Target.Slots

	if x.place = f.narrow.Admit(now, x.scope(), hasher.Name(x.customer), x.waitingID(), x.room); x.place == nil {
		f.selector.StartChoice(now, t)
		f.selector.Withdraw(now, t)

		return false
	}

	return true
}

// awaitPlace waits until a call for which there was no place may try again, and reports whether it should. A call whose deadline comes
// first is refused at once: it would be held until then.
func (f *Forwarder) awaitPlace(c context.Context, x *exchange, since time.Time) bool {
	if !x.noPlace || time.Since(since) >= placeWait || time.Until(x.deadline) < placeWait {
		return false
	}

	select {
	case f.awaiting <- struct{}{}:
		defer func() { <-f.awaiting }()
	default:
		return false
	}

	sleeper.Sleep(c, placeInterval)

	return c.Err() == nil
}

// endPlace records that an attempt of a call is over.
func (f *Forwarder) endPlace(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()

	x.place.End(time.Now())
}

// returnTime returns the Retry-After of a call that the few targets that may run it have no room for.
func (f *Forwarder) returnTime(x *exchange) time.Duration {
	if x.version == 0 {
		return noTargetWait
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	return f.narrow.Refuse(time.Now(), x.scope(), hasher.Name(x.customer), x.waitingID(), x.room)
}
