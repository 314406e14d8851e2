package replicator

import (
	"context"
	"slices"
	"sync"
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
	// homeTimeout bounds a request to the home (home node) of a subject, the one instance responsible for it.
	// An answer takes one or two milliseconds within a region, and up to a hundred from another one. Without an
	// answer a suspected call is sent: it may not be the cause of the crashes, and the data centre of its home may
	// be partitioned.
	homeTimeout = 150 * time.Millisecond
	// trialPollInterval is the interval between two requests while another trial of the call is running.
	trialPollInterval = 50 * time.Millisecond
	// A suspected call waits for another trial of it at most maxTrialWait, and at most 1/trialWaitDivisor of
	// the time left until its deadline. A call that crashes targets does so within a few hundred milliseconds.
	maxTrialWait     = time.Second
	trialWaitDivisor = 3
)

// Admit reports whether a call with a deadline may be sent to a target, given the call and the parts of its prompt as subjects.
// A call with a suspected subject waits while another trial of the subject is running. The returned function must be called when
// the target has answered or crashed.
func (r *Replicator) Admit(c context.Context, subjects []digester.Digest, deadline time.Time) (quarantiner.Verdict, bool, func()) {
	r.awaitExchange(c)

	b := time.Now()
	until := b.Add(min(maxTrialWait, deadline.Sub(b)/trialWaitDivisor))

	for {
		v, l := r.checkAll(subjects)
		if v.Status == quarantiner.Quarantined && !v.TrialDue {
			return v, false, func() {}
		}

		denied, end := r.requestTrials(c, l)
		if denied.Subject == 0 {
			return v, true, end
		}

		if denied.Status == quarantiner.Quarantined || c.Err() != nil || time.Now().Add(trialPollInterval).After(until) {
			return denied, false, func() {}
		}

		sleeper.Sleep(c, trialPollInterval)
	}
}

// awaitExchange waits until an instance that has just started knows what the others have quarantined. It would send such calls before.
func (r *Replicator) awaitExchange(c context.Context) {
	d := firstSyncTimeout - time.Since(r.started)
	if d <= 0 {
		return
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-r.exchanged:
	case <-t.C:
	case <-c.Done():
	}
}

// checkAll returns the verdict on a call with the given subjects, which is that on the most suspicious one, and the verdicts on
// those that need a trial. A call with two quarantined subjects is no trial of either: if it crashed a target, that would show
// nothing about the one that is innocent.
func (r *Replicator) checkAll(subjects []digester.Digest) (quarantiner.Verdict, []quarantiner.Verdict) {
	var (
		o           quarantiner.Verdict
		l           []quarantiner.Verdict
		quarantined int
	)

	for _, d := range subjects {
		v := r.Check(d)
		if v.Status > o.Status || v.Status == o.Status && o.TrialDue {
			o = v
		}

		if v.Status == quarantiner.Quarantined {
			quarantined++
		}

		if v.NeedsTrial() {
			l = append(l, v)
		}
	}

	if quarantined > 1 {
		o.TrialDue = false
	}

	return o, l
}

// requestTrials requests a trial for each verdict from the home of its subject. It returns the verdict whose trial was denied, or
// else a zero one and the function that ends the trials.
func (r *Replicator) requestTrials(c context.Context, l []quarantiner.Verdict) (quarantiner.Verdict, func()) {
	homes, granted := make([]gossiper.Member, len(l)), make([]bool, len(l))

	var g sync.WaitGroup

	for i, v := range l {
		homes[i] = r.home(v.Subject)

		g.Go(func() { granted[i] = r.requestTrial(c, homes[i], v) })
	}

	g.Wait()

	end := func() {
		for i, v := range l {
			if granted[i] {
				r.reportTrialEnd(homes[i], v.Subject)
			}
		}
	}

	if i := slices.Index(granted, false); i >= 0 {
		end()

		return l[i], func() {}
	}

	return quarantiner.Verdict{}, end
}

// home returns the live instance that is responsible for granting trials of a subject: the highest by
// rendezvous hashing.
func (r *Replicator) home(d digester.Digest) gossiper.Member {
	o := r.members.Self()
	best := hasher.Mix(uint64(d), o.ID)

	for _, m := range r.members.Live() {
		if k := hasher.Mix(uint64(d), m.ID); k > best {
			o, best = m, k
		}
	}

	return o
}

// requestTrial requests a trial of a subject from its home, and returns whether the call may be sent.
func (r *Replicator) requestTrial(c context.Context, h gossiper.Member, v quarantiner.Verdict) bool {
	d := v.Subject

	if h.ID == r.members.Self().ID {
		return r.grantTrial(d)
	}

	x, stop := context.WithTimeout(c, homeTimeout)
	defer stop()

	var p wire.TrialReply
	if err := r.messenger.Call(x, h.Address, wire.KindTrial, &wire.Trial{Call: uint64(d), Known: r.recordOf(d)}, &p); err != nil {
		logrus.WithFields(logrus.Fields{"event": "trialUnanswered", "digest": d, "peer": h.Address, "error": err}).Debug()

		// A quarantined subject is only sent when its home grants the trial.
		return v.Status == quarantiner.Suspected
	}

	r.merge(&p.Known)

	return p.Granted
}

// recordOf returns the record of a subject. It is sent with each message to the subject's home, so that the home
// knows if the last trial crashed a target before it grants the next one.
func (r *Replicator) recordOf(d digester.Digest) wire.Suspects {
	r.mu.Lock()
	defer r.mu.Unlock()

	return *encode(time.Now(), r.quarantiner.RecordsOf([]digester.Digest{d}))
}

// reportTrialEnd notifies the home of a subject that a trial is over.
func (r *Replicator) reportTrialEnd(h gossiper.Member, d digester.Digest) {
	if h.ID == r.members.Self().ID {
		r.endTrialHere(d)

		return
	}

	x, stop := context.WithTimeout(context.Background(), homeTimeout)
	defer stop()

	if err := r.messenger.Send(x, h.Address, wire.KindTrial, &wire.Trial{Call: uint64(d), Finished: true, Known: r.recordOf(d)}); err != nil {
		logrus.WithFields(logrus.Fields{"event": "trialUntold", "digest": d, "peer": h.Address, "error": err}).Debug()
	}
}

// grantTrial decides on a request for a trial of a subject whose home is this instance.
func (r *Replicator) grantTrial(d digester.Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	n := time.Now()

	return r.trials.Begin(n, r.quarantiner.Check(n, d), d)
}

// endTrialHere ends a trial of a subject whose home is this instance.
func (r *Replicator) endTrialHere(d digester.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.trials.End(d)
}

// HandleTrial handles a request for a trial, or the notification that one is over. It fails with ErrSuspects.
func (r *Replicator) HandleTrial(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.Trial
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrSuspects)
	}

	d := digester.Digest(q.Call)
	r.merge(&q.Known)

	if q.Finished {
		r.endTrialHere(d)

		return nil, nil //nolint:nilnil // Without reply.
	}

	return &wire.TrialReply{Granted: r.grantTrial(d), Known: r.recordOf(d)}, nil
}

// HandleRelease handles the request of an operator to release quarantined subjects: they are treated as if they had
// been served. It fails with ErrSuspects.
func (r *Replicator) HandleRelease(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.ReleaseRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrSuspects)
	}

	l := q.Calls

	if q.All {
		r.mu.Lock()
		for _, d := range r.quarantiner.Quarantined() {
			l = append(l, uint64(d))
		}
		r.mu.Unlock()
	}

	var o wire.ReleaseReply

	for _, d := range l {
		if r.clearCrashes(digester.Digest(d)) {
			o.Calls = append(o.Calls, d)
			logrus.WithFields(logrus.Fields{"event": "callReleased", "digest": digester.Digest(d)}).Warn()
		}
	}

	return &o, nil
}
