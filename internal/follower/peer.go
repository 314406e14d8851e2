package follower

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/reducer"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/wire"
)

// logDelay is how long a peer's newer revision may take to arrive from the log
// before it is fetched from the peer.
const logDelay = time.Second

// ErrState marks failures to exchange a configuration with a peer: a failed
// call, or a request or state that can't be decoded or encoded.
var ErrState = errors.New("could not exchange the configuration with a peer")

// messenger sends requests to peers.
type messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
}

// CatchUp fetches the configuration from a peer that has reported a newer one by its Order,
// unless the log delivers it within a second. In this way a data centre that is
// partitioned from the platform receives changes. CatchUp blocks until the log or the
// peer has delivered the configuration, or the fetch has failed. When another call is
// in progress, it does nothing.
func (f *Follower) CatchUp(c context.Context, a netip.AddrPort, newer uint64) {
	f.mu.Lock()
	b := f.fetching
	f.fetching = true
	f.mu.Unlock()

	if b {
		return
	}

	defer func() {
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
	}()

	// A router without a configuration can't serve calls, so it does not wait for the log.
	if f.Revision() > 0 {
		sleeper.Sleep(c, logDelay)
	}

	if f.Order() >= newer {
		return
	}

	if err := f.fetch(c, a); err != nil {
		logrus.WithFields(logrus.Fields{"event": "configFetchFailed", "peer": a, "error": err}).Warn()
	}
}

// AnswerState handles a peer's wire.StateRequest. The reply is empty when this router has
// no newer revision, or has missed records of the log. It fails with ErrState.
func (f *Follower) AnswerState(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.StateRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrState)
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	s := f.reducer.State()
	if order(s) <= q.Newer || !f.reducer.Complete() {
		return &wire.StateReply{}, nil
	}

	b, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Mark(err, ErrState)
	}

	return &wire.StateReply{Next: f.reducer.Next(), Body: b}, nil
}

// fetch requests the configuration from a peer and applies it when it is newer. It fails with ErrState.
func (f *Follower) fetch(c context.Context, a netip.AddrPort) error {
	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	var r wire.StateReply
	if err := f.messenger.Call(x, a, wire.KindState, &wire.StateRequest{Newer: f.Order()}, &r); err != nil {
		return errors.Mark(err, ErrState)
	}

	if len(r.Body) == 0 {
		return nil
	}

	var s reducer.State
	if err := json.Unmarshal(r.Body, &s); err != nil {
		return errors.Mark(err, ErrState)
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if s.Era < f.era {
		return nil
	}

	if s.Era > f.era {
		f.beginEra(s.Era)
		f.onRewind()
	}

	if f.reducer.Restore(s, r.Next) == reducer.Restored {
		f.activate("peer")
	}

	return nil
}
