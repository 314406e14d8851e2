package supervisor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/wire"
)

// handlerRegistry registers handlers of messages.
type handlerRegistry interface {
	Handle(k wire.Kind, h messenger.Handler)
}

// Register registers the handlers for messages of other routers.
func (s *Supervisor) Register(r handlerRegistry) {
	r.Handle(wire.KindSlotRequest, s.handleReserve)
	r.Handle(wire.KindRelease, oneWay(func(from uint64, w *wire.Release) { s.Release(time.Now(), from, *w) }))
	r.Handle(wire.KindReport, oneWay(func(_ uint64, w *wire.Report) { s.Report(time.Now(), *w) }))
	r.Handle(wire.KindBackoff, oneWay(func(_ uint64, w *wire.Backoff) { s.StartBackoff(time.Now(), *w) }))
	r.Handle(wire.KindSync, oneWay(func(from uint64, w *wire.Sync) { s.Sync(time.Now(), from, *w) }))
	r.Handle(wire.KindCellLoad, oneWay(func(_ uint64, w *wire.CellLoad) { s.ReportCell(time.Now(), *w) }))
	r.Handle(wire.KindHandOver, oneWay(func(from uint64, w *wire.HandOver) { s.HandOver(time.Now(), from, *w) }))
}

func (s *Supervisor) handleReserve(_ context.Context, from uint64, b []byte) (msgp.Marshaler, error) {
	var w wire.SlotRequest
	if _, err := w.UnmarshalMsg(b); err != nil {
		return nil, errors.Mark(err, ErrMessage)
	}

	v, err := s.Reserve(time.Now(), from, w)
	if err != nil {
		return nil, err
	}

	return &v, nil
}

// oneWay returns a handler of messages that have no reply. It fails with ErrMessage.
func oneWay[T any, P interface {
	*T
	msgp.Unmarshaler
}](f func(uint64, P)) messenger.Handler {
	return func(_ context.Context, from uint64, b []byte) (msgp.Marshaler, error) {
		w := P(new(T))
		if _, err := w.UnmarshalMsg(b); err != nil {
			return nil, errors.Mark(err, ErrMessage)
		}

		f(from, w)

		return nil, nil
	}
}
