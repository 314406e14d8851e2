package keeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/tracker"
	"github.com/auburntray/auburntray/internal/wire"
)

// registry takes handlers of messages.
type registry interface {
	Handle(k wire.Kind, h messenger.Handler)
}

// Register makes the Keeper answer peers.
func (k *Keeper) Register(r registry) {
	r.Handle(wire.KindAsk, k.onAsk)
	r.Handle(wire.KindRelease, oneWay(func(w *wire.Release) { k.Release(time.Now(), *w) }))
	r.Handle(wire.KindSync, oneWay(func(w *wire.Sync) { k.Sync(time.Now(), *w) }))
	r.Handle(wire.KindHandOver, oneWay(func(w *wire.HandOver) { k.HandOver(time.Now(), *w) }))
	r.Handle(wire.KindTargetState, oneWay(func(w *wire.TargetState) {
		k.Observe(w.Target, tracker.State{Incarnation: w.Incarnation, Leaving: w.Leaving})
	}))
}

func (k *Keeper) onAsk(_ context.Context, b []byte) (msgp.Marshaler, error) {
	var w wire.Ask
	if _, err := w.UnmarshalMsg(b); err != nil {
		return nil, errors.Mark(err, ErrMessage)
	}

	v, err := k.Ask(time.Now(), w)
	if err != nil {
		return nil, err
	}

	return &v, nil
}

// oneWay returns a handler of messages that have no reply.
func oneWay[T any, P interface {
	*T
	msgp.Unmarshaler
}](f func(P)) messenger.Handler {
	return func(_ context.Context, b []byte) (msgp.Marshaler, error) {
		w := P(new(T))
		if _, err := w.UnmarshalMsg(b); err != nil {
			return nil, errors.Mark(err, ErrMessage)
		}

		f(w)

		return nil, nil //nolint:nilnil // No reply.
	}
}
