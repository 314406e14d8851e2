package warner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// homeTimeout bounds a question to a call's home. An answer takes a millisecond or two in
	// a region. Without one the call is sent: it may just as well be a bystander, and its
	// home's data centre may be cut off.
	homeTimeout = 30 * time.Millisecond
	// homeEvery is the time between two questions while another sending of the call is out.
	homeEvery = 50 * time.Millisecond
	// tryWait is how long a suspected call waits for another sending of it, and tryPart the
	// part of the time that is left to it that it waits at most. A call that ends targets does
	// so within some hundred milliseconds.
	tryWait = time.Second
	tryPart = 3
)

// Try says whether a call that is to be answered by a time may be sent to a target, and returns
// what is called when that has answered or ended. A suspected call waits while another sending of
// it is out.
func (w *Warner) Try(c context.Context, d digester.Digest, deadline time.Time) (quarantiner.Verdict, bool, func()) {
	b := time.Now()
	until := b.Add(min(tryWait, deadline.Sub(b)/tryPart))

	for {
		v := w.Come(d)
		if v.Status == quarantiner.Free {
			return v, true, func() {}
		}

		h := w.home(d)
		if (v.Status == quarantiner.Suspected || v.TrialDue) && w.begin(c, h, d, v) {
			return v, true, func() { w.over(h, d) }
		}

		if v.Status == quarantiner.Quarantined || c.Err() != nil || time.Now().Add(homeEvery).After(until) {
			return v, false, func() {}
		}

		sleeper.Sleep(c, homeEvery)
	}
}

// home returns the live instance that lets a call be tried: the first by rendezvous.
func (w *Warner) home(d digester.Digest) gossiper.Member {
	o := w.members.Self()
	best := hasher.Mix(uint64(d), o.ID)

	for _, m := range w.members.Live() {
		if k := hasher.Mix(uint64(d), m.ID); k > best {
			o, best = m, k
		}
	}

	return o
}

// begin asks a call's home whether it may be sent.
func (w *Warner) begin(c context.Context, h gossiper.Member, d digester.Digest, v quarantiner.Verdict) bool {
	if h.ID == w.members.Self().ID {
		return w.grant(d)
	}

	x, stop := context.WithTimeout(c, homeTimeout)
	defer stop()

	var r wire.TrialReply
	if err := w.messenger.Call(x, h.Address, wire.KindTrial, &wire.Trial{Call: uint64(d), Known: w.known(d)}, &r); err != nil {
		logrus.WithFields(logrus.Fields{"event": "trialUnanswered", "digest": d, "peer": h.Address, "error": err}).Debug()

		// One that is held back is sent on its home's word alone.
		return v.Status == quarantiner.Suspected
	}

	w.learn(&r.Known)

	return r.Granted
}

// known returns what is known of a call. With it a home does not let the next sending out
// before it has heard that a target ended under the last.
func (w *Warner) known(d digester.Digest) wire.Suspects {
	w.mu.Lock()
	defer w.mu.Unlock()

	return *encode(time.Now(), w.quarantiner.RecordsOf([]digester.Digest{d}))
}

// over tells a call's home that a sending is over.
func (w *Warner) over(h gossiper.Member, d digester.Digest) {
	if h.ID == w.members.Self().ID {
		w.end(d)

		return
	}

	x, stop := context.WithTimeout(context.Background(), homeTimeout)
	defer stop()

	if err := w.messenger.Send(x, h.Address, wire.KindTrial, &wire.Trial{Call: uint64(d), Over: true, Known: w.known(d)}); err != nil {
		logrus.WithFields(logrus.Fields{"event": "trialUntold", "digest": d, "peer": h.Address, "error": err}).Debug()
	}
}

func (w *Warner) grant(d digester.Digest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	n := time.Now()

	return w.trials.Begin(n, w.quarantiner.Check(n, d), d)
}

func (w *Warner) end(d digester.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.trials.End(d)
}

// Tried answers an instance that asks whether a call may be sent, or tells that it was.
func (w *Warner) Tried(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.Trial
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrSuspects)
	}

	d := digester.Digest(q.Call)
	w.learn(&q.Known)

	if q.Over {
		w.end(d)

		return nil, nil //nolint:nilnil // It has no reply.
	}

	return &wire.TrialReply{Granted: w.grant(d), Known: w.known(d)}, nil
}

// Release answers an operator who releases calls that are held back: they are as if they had
// been served.
func (w *Warner) Release(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.ReleaseRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrSuspects)
	}

	l := q.Calls

	if q.All {
		w.mu.Lock()
		for _, d := range w.quarantiner.Quarantined() {
			l = append(l, uint64(d))
		}
		w.mu.Unlock()
	}

	var r wire.ReleaseReply

	for _, d := range l {
		if w.excuse(digester.Digest(d)) {
			r.Calls = append(r.Calls, d)
			logrus.WithFields(logrus.Fields{"event": "callReleased", "digest": digester.Digest(d)}).Warn()
		}
	}

	return &r, nil
}
