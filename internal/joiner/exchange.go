package joiner

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/wire"
)

// HandleGossip handles a probe by another router, or a beat of one of an earlier release. It fails with ErrGossip if
// the message is invalid.
func (j *Joiner) HandleGossip(c context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Gossip
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrGossip)
	}

	j.mu.Lock()
	defer j.mu.Unlock()

	m := j.gossiper.Receive(time.Now(), from, w)
	j.noteChanges()

	a, ok := j.gossiper.Address(from)
	if ok && w.Revision > j.revision() {
		go j.onNewerRevision(a, w.Revision)
	}

	if ok && len(m) > 0 {
		go j.send(c, gossiper.Message{To: a, Gossip: wire.Gossip{Revision: j.revision(), Members: m}})
	}

	return j.gossiper.Reply(from, j.revision(), w), nil
}

// HandleMembers handles changes of the membership. It never returns a reply, and fails with ErrGossip if the message
// is invalid.
func (j *Joiner) HandleMembers(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.MemberList
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrGossip)
	}

	j.mu.Lock()
	defer j.mu.Unlock()

	j.gossiper.Merge(time.Now(), &w, true)
	j.noteChanges()

	return nil, nil //nolint:nilnil // Changes have no reply.
}

// HandleMembersRequest handles a request for the members in which the sender differs from this router. It fails with
// ErrGossip if the message is invalid.
func (j *Joiner) HandleMembersRequest(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.MembersRequest
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrGossip)
	}

	j.mu.Lock()
	defer j.mu.Unlock()

	return j.gossiper.Members(w.Digests), nil
}

// HandleProbe probes another router for the sender. It fails with ErrGossip if the message is invalid or if that
// router does not answer.
func (j *Joiner) HandleProbe(c context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.ProbeRequest
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrGossip)
	}

	a, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return nil, errors.Mark(err, ErrGossip)
	}

	x, stop := context.WithTimeout(c, gossiper.ProbeTimeout)
	defer stop()

	j.mu.Lock()
	g := j.gossiper.Greeting(j.revision())
	j.mu.Unlock()

	var r wire.GossipReply

	err = j.messenger.Call(x, a, wire.KindGossip, &g, &r)
	if errors.Is(err, messenger.ErrRefused) || err == nil && r.From == w.ID {
		return &wire.ProbeReply{}, nil
	}

	return nil, ErrGossip
}

// probe probes a router and applies the result.
func (j *Joiner) probe(c context.Context, p gossiper.Probe) {
	x, stop := context.WithTimeout(c, gossiper.ProbeTimeout)
	defer stop()

	var r wire.GossipReply

	b := time.Now()
	err := j.messenger.Call(x, p.To, wire.KindGossip, &p.Gossip, &r)

	switch {
	case err == nil:
		j.acknowledge(c, p, &r)
	case c.Err() != nil:
	case errors.Is(err, messenger.ErrRefused):
		j.mu.Lock()
		j.gossiper.AcknowledgeEarlier(time.Now(), p.ID)
		j.noteChanges()
		j.mu.Unlock()
	default:
		logrus.WithFields(logrus.Fields{"event": "probeFailed", "peer": p.To, "error": err}).Debug()
		j.fail(c, p, b)
	}
}

// acknowledge applies the reply to a probe, and requests the members that this router does not know.
func (j *Joiner) acknowledge(c context.Context, p gossiper.Probe, r *wire.GossipReply) {
	j.mu.Lock()
	j.gossiper.Acknowledge(time.Now(), p.ID, r)
	j.noteChanges()

	request := !j.requesting
	j.requesting = true
	j.mu.Unlock()

	if r.Revision > j.revision() {
		go j.onNewerRevision(p.To, r.Revision)
	}

	if request {
		j.requestMembers(c)
	}
}

// requestMembers requests members from all sources, one after the other.
func (j *Joiner) requestMembers(c context.Context) {
	for {
		j.mu.Lock()

		s, ok := j.gossiper.NextSource()
		if !ok {
			j.requesting = false
		}

		q := wire.MembersRequest{Digests: j.gossiper.Digests()}
		j.mu.Unlock()

		if !ok {
			return
		}

		var r wire.MemberList
		if err := j.requestList(c, s.Address, &q, &r); err != nil {
			logrus.WithFields(logrus.Fields{"event": "membersFailed", "peer": s.Address, "error": err}).Debug()

			continue
		}

		j.mu.Lock()
		j.gossiper.Requested(s, j.gossiper.Merge(time.Now(), &r, false))
		j.noteChanges()
		j.mu.Unlock()
	}
}

func (j *Joiner) requestList(c context.Context, a netip.AddrPort, q *wire.MembersRequest, r *wire.MemberList) error {
	x, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	return j.messenger.Call(x, a, wire.KindMembersRequest, q, r)
}

// fail applies that a router did not answer a probe. If it was one too many and no other router reaches it either, it
// is declared dead.
func (j *Joiner) fail(c context.Context, p gossiper.Probe, sent time.Time) {
	j.mu.Lock()
	l, last := j.gossiper.Fail(time.Now(), sent, p.ID)
	j.mu.Unlock()

	if !last {
		return
	}

	if j.inquire(c, l, p) {
		j.mu.Lock()
		j.gossiper.AcknowledgeIndirect(p.ID)
		j.mu.Unlock()

		return
	}

	j.mu.Lock()
	d := j.gossiper.Declare(time.Now(), p.ID)
	j.noteChanges()
	j.mu.Unlock()

	if d {
		logrus.WithFields(logrus.Fields{"event": "memberDead", "peer": p.To, "id": p.ID, "asked": len(l)}).Info()
	}
}

// inquire reports whether any of the given routers reaches another one.
func (j *Joiner) inquire(c context.Context, l []gossiper.Member, p gossiper.Probe) bool {
	x, stop := context.WithTimeout(c, gossiper.InquiryTimeout)
	defer stop()

	o := make(chan error, len(l))
	q := wire.ProbeRequest{ID: p.ID, Address: p.To.String()}

	for _, m := range l {
		go func() { o <- j.messenger.Call(x, m.Address, wire.KindProbe, &q, &wire.ProbeReply{}) }()
	}

	for range l {
		if <-o == nil {
			return true
		}
	}

	return false
}

// noteChanges makes Run send the changes of the membership, if there are any. The caller holds the lock.
func (j *Joiner) noteChanges() {
	if !j.gossiper.HasChanges() {
		return
	}

	select {
	case j.changed <- struct{}{}:
	default: // Run was notified already.
	}
}

// sendChanges sends the changes of the membership to the neighbors.
func (j *Joiner) sendChanges(c context.Context) {
	j.mu.Lock()
	w, l := j.gossiper.Changes()
	j.mu.Unlock()

	for _, a := range l {
		go func() {
			x, stop := context.WithTimeout(c, sendTimeout)
			defer stop()

			if err := j.messenger.Send(x, a, wire.KindMembers, w); err != nil {
				logrus.WithFields(logrus.Fields{"event": "changesFailed", "peer": a, "error": err}).Debug()
			}
		}()
	}
}

// send sends a beat to a router of an earlier release.
func (j *Joiner) send(c context.Context, m gossiper.Message) {
	x, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	if err := j.messenger.Send(x, m.To, wire.KindGossip, &m.Gossip); err != nil {
		logrus.WithFields(logrus.Fields{"event": "gossipFailed", "peer": m.To, "error": err}).Debug()
	}
}

// Register registers the handlers of the messages about the membership.
func (j *Joiner) Register(m *messenger.Messenger) {
	m.Handle(wire.KindGossip, j.HandleGossip)
	m.Handle(wire.KindMembers, j.HandleMembers)
	m.Handle(wire.KindMembersRequest, j.HandleMembersRequest)
	m.Handle(wire.KindProbe, j.HandleProbe)
}
