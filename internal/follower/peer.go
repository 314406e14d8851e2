package follower

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/folder"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/wire"
)

// aheadAfter is how long a peer's newer revision may take to arrive from
// the log before the peer is asked for it.
const aheadAfter = time.Second

// ErrState marks a peer's state that can't be read.
var ErrState = errors.New("the peer's configuration can't be read")

// messenger asks peers.
type messenger interface {
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
}

// Ahead is told that a peer holds a newer revision. When the log doesn't bring
// it, as in a data centre that is cut off from the platform, the peer does.
func (f *Follower) Ahead(c context.Context, a netip.AddrPort, revision uint64) {
	f.mu.Lock()
	b := f.asking
	f.asking = true
	f.mu.Unlock()

	if b {
		return
	}

	defer func() {
		f.mu.Lock()
		f.asking = false
		f.mu.Unlock()
	}()

	// A router without any configuration has nothing to lose by asking now.
	if f.Revision() > 0 {
		sleeper.Sleep(c, aheadAfter)
	}

	if f.Revision() >= revision {
		return
	}

	if err := f.fetch(c, a); err != nil {
		logrus.WithFields(logrus.Fields{"event": "configFetchFailed", "peer": a, "error": err}).Warn()
	}
}

// State answers a peer that asks for a newer configuration.
func (f *Follower) State(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.StateRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrState)
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	s := f.folder.State()
	if s.Revision <= q.Newer || !f.folder.Anchored() {
		return &wire.StateReply{}, nil
	}

	b, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Mark(err, ErrState)
	}

	return &wire.StateReply{Next: f.folder.Next(), Body: b}, nil
}

func (f *Follower) fetch(c context.Context, a netip.AddrPort) error {
	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	var r wire.StateReply
	if err := f.messenger.Call(x, a, wire.KindState, &wire.StateRequest{Newer: f.Revision()}, &r); err != nil {
		return errors.Mark(err, ErrState)
	}

	if len(r.Body) == 0 {
		return nil
	}

	var s folder.State
	if err := json.Unmarshal(r.Body, &s); err != nil {
		return errors.Mark(err, ErrState)
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.folder.Restore(s, r.Next) == folder.Restored {
		f.enforce("peer")
	}

	return nil
}
