package registrar

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/claimer"
	"github.com/auburntray/auburntray/internal/streamer"
)

// expireEvery is the time between two sweeps of old keys.
const expireEvery = time.Minute

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

// Next is part of streamer.Fold.
func (p *partition) Next() uint64 { return p.claimer.Next() }

// Skip is part of streamer.Fold.
func (p *partition) Skip(oldest uint64) { p.claimer.Skip(oldest) }

// Record is part of streamer.Fold. A record that can't be read is folded as one
// that changes nothing, by every reader alike.
func (p *partition) Record(offset uint64, at time.Time, data []byte) {
	var r claimer.Record
	if err := json.Unmarshal(data, &r); err != nil {
		r = claimer.Record{Settled: claimer.NotRun}
	}

	p.claimer.Fold(offset, at, r)

	if at.Sub(p.expired) > expireEvery {
		p.expired = at
		p.claimer.Expire(at)
	}
}

func (p *partition) append(c context.Context, r claimer.Record) (uint64, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Mark(err, ErrMessage)
	}

	return p.Append(c, b)
}

// look says how a claim stands by what was folded.
func (p *partition) look(key, id, body uint64) (o claimer.Outcome, a claimer.Answer, d time.Duration) {
	p.View(func(now time.Time) { o, a, d = p.claimer.Look(now, key, id, body) })

	return o, a, d
}
