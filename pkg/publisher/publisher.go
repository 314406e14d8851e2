// Package publisher publishes configurations to a fleet of auburntray routers,
// and reads the configuration in force and the history.
package publisher

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/auburntray/auburntray/internal/differ"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/reducer"
)

// Outcome is the outcome of a publication.
type Outcome string

// The outcomes.
const (
	// Accepted means that the change was read back from the log as in force.
	Accepted Outcome = "accepted"
	// Stale means that another change was published first: the base is no longer
	// in force, and nothing was changed.
	Stale Outcome = "stale"
	// NoChange means that the document equals the configuration in force.
	NoChange Outcome = "noChange"
	// DryRun means that the change is valid and was not published.
	DryRun Outcome = "dryRun"
	// NotRun means that the change is certainly not in the log.
	NotRun Outcome = "notRun"
	// Unknown means that the change may be in the log. Publishing it again under
	// the same ID returns its outcome, and cannot apply it twice.
	Unknown Outcome = "unknown"
)

// Request is a document to publish.
type Request struct {
	Document []byte
	// Base is the revision that the document was made from. If another revision is in
	// force, the publication is stale.
	Base   uint64
	Author string
	// ID identifies the publication; empty means a new random ID.
	ID     string
	DryRun bool
}

// Result is the result of a publication.
type Result struct {
	Outcome  Outcome  `json:"outcome"`
	ID       string   `json:"id"`
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
}

// State is a configuration that is or was in force.
type State struct {
	Revision uint64          `json:"revision"`
	Base     uint64          `json:"base"`
	ID       string          `json:"id"`
	Author   string          `json:"author"`
	Time     time.Time       `json:"time"`
	Document json.RawMessage `json:"document"`
}

// Entry is one record of the history.
type Entry struct {
	Offset  uint64    `json:"offset"`
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Base    uint64    `json:"base"`
	Verdict string    `json:"verdict"`
	Changes []string  `json:"changes"`
}

const (
	readBackTimeout = 10 * time.Second
	retryInterval   = 250 * time.Millisecond
)

// log reads and appends to the platform's log.
type log interface {
	Read(c context.Context, stream string, from uint64, wait time.Duration) (recorder.Batch, error)
	Append(c context.Context, stream string, data [][]byte) (uint64, error)
}

// Publisher is a client for operators. It is safe for concurrent use.
type Publisher struct {
	log log
}

// New returns a Publisher for the platform at an address, and its clean-up function.
// centre is the data centre that this process runs in; it is sent to the platform with each
// request.
func New(platform netip.AddrPort, centre string) (*Publisher, func()) {
	r, f := recorder.New(platform, centre)

	return &Publisher{log: r}, f
}

// Publish publishes a document. It returns Accepted only after it has read its own
// record back from the log and applied it: the record of an acknowledged append may
// still be stale, if another publication was appended before it. It fails with
// ErrDocument, ErrUnavailable or ErrNoState; then nothing was published.
func (p *Publisher) Publish(c context.Context, r Request) (Result, error) {
	d, err := parser.Parse(r.Document)
	if err != nil {
		return Result{}, errors.Mark(err, ErrDocument)
	}

	if r.ID == "" {
		r.ID = uuid.NewString()
	}

	f := newConfigReader(p.log)
	if err := f.read(c); err != nil {
		return Result{}, err
	}

	if v, ok := f.verdicts[r.ID]; ok {
		return f.result(r.ID, v), nil
	}

	s := f.reducer.State()
	x := differ.Diff(&s.Document, d)
	o := Result{ID: r.ID, Revision: s.Revision, Changes: x.Lines()}

	switch {
	case r.Base != s.Revision:
		o.Outcome = Stale
	case x.Empty():
		o.Outcome = NoChange
	case r.DryRun:
		o.Outcome = DryRun
	default:
		return p.publish(c, f, r, x)
	}

	return o, nil
}

// Drain publishes the configuration in force with the drain flag of one target set or
// cleared. It fails with ErrNoTarget, and as Publish does.
func (p *Publisher) Drain(c context.Context, target, author string, drain bool) (Result, error) {
	f := newConfigReader(p.log)
	if err := f.read(c); err != nil {
		return Result{}, err
	}

	s := f.reducer.State()

	t, ok := s.Document.Targets[target]
	if !ok {
		return Result{}, errors.Mark(errors.Newf("target %q", target), ErrNoTarget)
	}

	t.Drain = drain
	d := differ.Apply(&s.Document, differ.Change{SetTargets: map[string]parser.Target{target: t}})

	b, err := json.Marshal(d)
	if err != nil {
		return Result{}, errors.Mark(err, ErrDocument)
	}

	return p.Publish(c, Request{Document: b, Base: s.Revision, Author: author})
}

// Show returns the configuration in force. Revision 0 means that there is none. It fails
// with ErrUnavailable or ErrNoState.
func (p *Publisher) Show(c context.Context) (State, error) {
	f := newConfigReader(p.log)
	if err := f.read(c); err != nil {
		return State{}, err
	}

	return state(f.reducer.State())
}

// History returns the publications that the log retains, the oldest first. It fails with
// ErrUnavailable or ErrNoState.
func (p *Publisher) History(c context.Context) ([]Entry, error) {
	f := newConfigReader(p.log)
	if err := f.read(c); err != nil {
		return nil, err
	}

	return f.history, nil
}

// Watch calls f with the configuration in force, and then with each one that comes into
// force, until the context is done. While the log cannot be read it retries.
func (p *Publisher) Watch(c context.Context, f func(State)) error {
	r := newConfigReader(p.log)
	n := uint64(0)

	for c.Err() == nil {
		if err := r.readBatch(c, readBackTimeout); err != nil {
			waitRetry(c)

			continue
		}

		if s := r.reducer.State(); s.Revision != n {
			n = s.Revision

			x, err := state(s)
			if err != nil {
				return err
			}

			f(x)
		}
	}

	return nil
}

// publish appends a change and reads it back. It repeats the append while its effect is
// uncertain. The change is applied at most once nevertheless: once one of the records is
// accepted, the base of the others is stale.
func (p *Publisher) publish(c context.Context, f *configReader, r Request, x differ.Change) (Result, error) {
	b, err := json.Marshal(reducer.Record{ID: r.ID, Author: r.Author, Time: time.Now(), Base: r.Base, Change: &x})
	if err != nil {
		return Result{}, errors.Mark(err, ErrDocument)
	}

	o := Result{Outcome: NotRun, ID: r.ID, Changes: x.Lines()}

	c, stop := context.WithTimeout(c, readBackTimeout)
	defer stop()

	for c.Err() == nil {
		_, err := p.log.Append(c, follower.Stream, [][]byte{b})
		if err == nil || errors.Is(err, recorder.ErrUncertain) {
			o.Outcome = Unknown
		}

		if f.read(c) == nil {
			if v, ok := f.verdicts[r.ID]; ok {
				y := f.result(r.ID, v)
				y.Changes = o.Changes

				return y, nil
			}
		}

		if errors.Is(err, recorder.ErrAnswer) {
			return o, errors.Mark(errors.Wrap(err, ErrUnavailable.Error()), ErrUnavailable)
		}

		waitRetry(c)
	}

	return o, nil
}

func state(s *reducer.State) (State, error) {
	b, err := json.MarshalIndent(s.Document, "", "  ")
	if err != nil {
		return State{}, errors.Mark(err, ErrDocument)
	}

	return State{Revision: s.Revision, Base: s.Base, ID: s.ID, Author: s.Author, Time: s.Time, Document: b}, nil
}

// waitRetry waits for the retry interval or until the context is done.
func waitRetry(c context.Context) {
	t := time.NewTimer(retryInterval)
	defer t.Stop()

	select {
	case <-t.C:
	case <-c.Done():
	}
}
