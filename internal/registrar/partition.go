package registrar

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/claimer"
	"github.com/auburntray/auburntray/internal/streamer"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// expireEvery is the time between two sweeps of old keys.
	expireEvery = time.Minute
	// settleGap is how long after the last append the record of an ended call
	// waits for a claim to go along with. On a busy partition it halves the
	// appends.
	settleGap = 50 * time.Millisecond
)

// partition is one stream of claims with what this router has folded of it.
type partition struct {
	*streamer.Streamer

	claimer *claimer.Claimer
	expired time.Time
}

func newPartition(l streamer.Log, stream string, window time.Duration) *partition {
	p := &partition{claimer: claimer.New(window)}
	p.Streamer = streamer.New(l, stream, p)

	return p
}

// ApplyRecord is part of streamer.Fold. A record that can't be read is folded as one
// that changes nothing, by every reader alike.
func (p *partition) ApplyRecord(offset uint64, at time.Time, data []byte) {
	var w wire.ClaimRecord

	r := claimer.Record{Settled: claimer.NotRun}
	if _, err := w.UnmarshalMsg(data); err == nil {
		r = fromWire(w)
	}

	p.claimer.Fold(offset, at, r)

	if at.Sub(p.expired) > expireEvery {
		p.expired = at
		p.claimer.Expire(at)
	}
}

// append puts a claim into the stream, or how one was settled.
func (p *partition) append(c context.Context, r claimer.Record) (uint64, error) {
	w := toWire(r)

	b, err := w.MarshalMsg(nil)
	if err != nil {
		return 0, errors.Mark(err, ErrMessage)
	}

	if r.Settled != claimer.Unclaimed {
		return p.AppendAfter(c, b, settleGap)
	}

	return p.Append(c, b)
}

func toWire(r claimer.Record) wire.ClaimRecord {
	w := wire.ClaimRecord{
		Key: r.Key, ID: r.ID, Body: r.Body, LifetimeMs: r.Lifetime.Milliseconds(), Settled: uint8(r.Settled),
	}

	if a := r.Answer; a != nil {
		w.Status, w.ContentType, w.Answer, w.Truncated = a.Status, a.ContentType, a.Body, a.Truncated
	}

	return w
}

func fromWire(w wire.ClaimRecord) claimer.Record {
	r := claimer.Record{
		Key: w.Key, ID: w.ID, Body: w.Body, Lifetime: time.Duration(w.LifetimeMs) * time.Millisecond,
		Settled: claimer.Outcome(w.Settled),
	}

	if r.Settled == claimer.Ran {
		r.Answer = &claimer.Answer{Status: w.Status, ContentType: w.ContentType, Body: w.Answer, Truncated: w.Truncated}
	}

	return r
}

// look says how a claim stands by what was folded.
func (p *partition) look(key, id, body uint64) (o claimer.Outcome, a claimer.Answer, d time.Duration) {
	p.View(func(now time.Time) { o, a, d = p.claimer.Look(now, key, id, body) })

	return o, a, d
}
