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
	// expireInterval is the time between two removals of expired keys, by the log's clock.
	expireInterval = time.Minute
	// settleDelay is how long a settlement may wait after the previous append, so that it shares
	// an append with the next claim. This halves the appends on a busy partition.
	settleDelay = 50 * time.Millisecond
)

// partition is one claims stream with the claims that this router has read from it.
type partition struct {
	*streamer.Streamer

	claimer *claimer.Claimer
	// lastExpiry is when expired keys were last dropped, by the log's clock.
	lastExpiry time.Time
}

func newPartition(l streamer.Log, stream string, window time.Duration) *partition {
	p := &partition{claimer: claimer.New(window)}
	p.Streamer = streamer.New(l, stream, p)

	return p
}

// ApplyRecord implements streamer.Reducer. A record that can't be decoded is applied as one without
// effect, so that all readers agree.
func (p *partition) ApplyRecord(offset uint64, at time.Time, data []byte) {
	var w wire.ClaimRecord

	r := claimer.Record{Settled: claimer.NotRun}
	if _, err := w.UnmarshalMsg(data); err == nil {
		r = fromWire(w)
	}

	p.claimer.Apply(offset, at, r)

	if at.Sub(p.lastExpiry) > expireInterval {
		p.lastExpiry = at
		p.claimer.Expire(at)
	}
}

// Rewind implements streamer.Reducer.
func (p *partition) Rewind(uint64) { p.claimer.Rewind() }

// restore appends the known claims that the log lacks since it has come back from a copy. It fails as the log does.
func (p *partition) restore(c context.Context) error {
	if err := p.CatchUp(c, 0); err != nil {
		return err
	}

	var l []claimer.Record

	p.View(func(now time.Time) { l = p.claimer.Lost(now) })

	for _, r := range l {
		if _, err := p.append(c, r); err != nil {
			return err
		}
	}

	return p.CatchUp(c, 0)
}

// isEmpty reports whether no claim is known.
func (p *partition) isEmpty() (empty bool) {
	p.View(func(time.Time) { empty = p.claimer.Len() == 0 })

	return empty
}

// append appends a claim or a settlement to the stream and returns the offset after it.
func (p *partition) append(c context.Context, r claimer.Record) (uint64, error) {
	w := toWire(r)

	b, err := w.MarshalMsg(nil)
	if err != nil {
		return 0, errors.Mark(err, ErrMessage)
	}

	if r.Settled != claimer.Unclaimed {
		return p.AppendAfter(c, b, settleDelay)
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

// lookup returns the outcome of a claim by the records that were read.
func (p *partition) lookup(key, id, body uint64) (o claimer.Outcome, a claimer.Answer, d time.Duration) {
	p.View(func(now time.Time) { o, a, d = p.claimer.Lookup(now, key, id, body) })

	return o, a, d
}
