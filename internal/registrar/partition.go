package registrar

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/claimer"
	"github.com/auburntray/auburntray/internal/recorder"
)

const (
	appendTimeout = 2 * time.Second
	readTimeout   = 2 * time.Second
	// maxGroup is how many records go in one append.
	maxGroup = 500
	// expireEvery is the time between two sweeps of old keys.
	expireEvery = time.Minute
)

// log reads and appends to the platform's log.
type log interface {
	Read(c context.Context, stream string, from uint64, wait time.Duration) (recorder.Batch, error)
	Append(c context.Context, stream string, data [][]byte) (uint64, error)
}

// partition is one stream of claims with what this router has folded of it.
type partition struct {
	log    log
	stream string

	// writing is held by the caller that appends for all that wait.
	writing sync.Mutex

	mu      sync.Mutex
	claimer *claimer.Claimer
	queue   []*pending
	// clock is the log's clock at a time of this router's own clock.
	clock, read time.Time
	expired     time.Time
}

// pending is a record that waits for its append.
type pending struct {
	data []byte
	done chan struct{}
	next uint64
	err  error
}

func newPartition(l log, stream string, window time.Duration) *partition {
	return &partition{log: l, stream: stream, claimer: claimer.New(window)}
}

// append puts a record into the stream, together with those of other callers
// that come meanwhile: while one append is under way the others gather for the
// next, so the appends a second stay few however many claims come. It returns
// the offset after the record.
func (p *partition) append(c context.Context, r claimer.Record) (uint64, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Mark(err, ErrMessage)
	}

	x := &pending{data: b, done: make(chan struct{})}

	p.mu.Lock()
	p.queue = append(p.queue, x)
	p.mu.Unlock()

	p.writing.Lock()
	p.flush(c)
	p.writing.Unlock()

	<-x.done

	return x.next, x.err
}

// flush appends what waits. The caller holds writing.
func (p *partition) flush(c context.Context) {
	p.mu.Lock()
	q := p.queue[:min(len(p.queue), maxGroup)]
	p.queue = p.queue[len(q):]
	p.mu.Unlock()

	if len(q) == 0 {
		return
	}

	d := make([][]byte, len(q))
	for i, x := range q {
		d[i] = x.data
	}

	// The group holds other callers' records, so it doesn't end with the
	// context of the one that appends it.
	x, stop := context.WithTimeout(context.WithoutCancel(c), appendTimeout)
	defer stop()

	o, err := p.log.Append(x, p.stream, d)

	for i, y := range q {
		y.next = o + uint64(i) + 1
		y.err = err
		close(y.done)
	}
}

// catchUp folds the stream until the given offset, or to its present end when
// the offset is zero.
func (p *partition) catchUp(c context.Context, until uint64) error {
	for {
		p.mu.Lock()
		n := p.claimer.Next()
		p.mu.Unlock()

		if until > 0 && n >= until {
			return nil
		}

		e, err := p.step(c, n)
		if err != nil {
			return err
		}

		if e && until == 0 {
			return nil
		}
	}
}

// step reads once and says whether the end was reached.
func (p *partition) step(c context.Context, from uint64) (bool, error) {
	x, stop := context.WithTimeout(c, readTimeout)
	defer stop()

	b, err := p.log.Read(x, p.stream, from, 0)
	if err != nil {
		return false, err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.clock = b.Now
	p.read = time.Now()
	p.claimer.Skip(b.Oldest)

	for _, r := range b.Records {
		var y claimer.Record
		if err := json.Unmarshal(r.Data, &y); err != nil {
			y = claimer.Record{Settled: claimer.NotRun}
		}

		p.claimer.Fold(r.Offset, r.Time, y)
	}

	if p.read.Sub(p.expired) > expireEvery {
		p.expired = p.read
		p.claimer.Expire(b.Now)
	}

	return p.claimer.Next() >= b.Next, nil
}

// look says how a claim stands by what was folded.
func (p *partition) look(key, id, body uint64) (claimer.Outcome, claimer.Answer, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.claimer.Look(p.clock.Add(time.Since(p.read)), key, id, body)
}
