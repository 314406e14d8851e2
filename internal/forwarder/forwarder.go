// Package forwarder takes calls from callers, sends them to targets and brings
// back their answers.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"github.com/auburntray/auburntray/internal/admitter"
	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/confiner"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/throttler"
)

// Facts is what is known of the world when a call comes.
type Facts interface {
	// Catalog returns the catalog in force, nil while none is known.
	Catalog() *cataloger.Catalog
	// Known is closed when a catalog and the list of targets are known.
	Known() <-chan struct{}
	// Fresh says that the catalog was confirmed lately: what it does not hold is
	// not there.
	Fresh() bool
	// Roster returns the targets.
	Roster() *enroller.Roster
	// Leave notes that a process said that it leaves, so that the roster has no calls for it, and
	// says whether that was news.
	Leave(p enroller.Process) bool
	// Stalled says that this process stood still at some time after since.
	Stalled(since time.Time) bool
	// Instances returns how many instances share the retry budget.
	Instances() int
}

// Settings bounds a Forwarder.
type Settings struct {
	// DataCentre is where this instance is.
	DataCentre string
	// Patience is how long callers wait that do not say.
	Patience time.Duration
	// MaxBody bounds a body where the catalog does not.
	MaxBody int64
	// Regions are the regions of data centres, by name.
	Regions map[string]string
}

// Forwarder serves calls. It is safe for concurrent use.
type Forwarder struct {
	settings Settings
	dialect  Dialect
	facts    Facts
	tracer   trace.Tracer
	client   *client
	meter    Meter
	// ordinary bounds the lines about calls that went well.
	ordinary *rate.Limiter
	// turned bounds the lines about calls that were not taken.
	turned *rate.Limiter

	mu       sync.Mutex
	chooser  *selector.Selector
	budgeter *budgeter.Budgeter
	admitter *admitter.Admitter
	// confiner says when customers keep to a part of the targets, and confined in which groups
	// they do.
	confiner *confiner.Confiner
	confined map[string]bool

	// cutSince is when it was found that this instance is cut off; nil while it is not.
	cutSince atomic.Pointer[time.Time]

	// gone tells other instances of a process that is gone.
	gone func(p enroller.Process)
	// leaving tells other instances of a process that said that it leaves.
	leaving func(p enroller.Process)
	// homes count the calls of all instances; nil where there are none.
	homes Homes
	// quarantine remembers under which calls targets ended; nil remembers nothing.
	quarantine Quarantine

	stopping chan struct{}
	stopOnce sync.Once
}

// Meter counts what happens; a meter.Meter does.
type Meter interface {
	Call(kind string, o meter.Outcome, took time.Duration)
	Began(kind string, took time.Duration)
	Attempt(group, outcome string)
	Refusal(reason string)
	Left(cause string, out bool)
	Reserved(group, outcome string)
}

// ordinaryLines is how many calls a second are logged that went well, four times
// those of an instance at its usual load.
const ordinaryLines = 150

// turnedLines is how many calls a second are logged that were not taken: as many as come to an
// instance at its usual load.
const turnedLines = 40

// Dialer makes connections; a net.Dialer does.
type Dialer interface {
	DialContext(c context.Context, network, address string) (net.Conn, error)
}

// New returns a Forwarder and its clean-up function, which closes the kept
// connections to targets.
func New(s Settings, d Dialect, f Facts, t trace.Tracer, m Meter, x Dialer, c *selector.Selector, b *budgeter.Budgeter) (*Forwarder, func()) {
	k := newClient(x)

	return &Forwarder{
		settings: s, dialect: d, facts: f, tracer: t, client: k, chooser: c, budgeter: b, admitter: admitter.New(), gone: func(enroller.Process) {}, leaving: func(enroller.Process) {},
		confiner: confiner.New(), confined: make(map[string]bool),
		meter: m, ordinary: rate.NewLimiter(ordinaryLines, ordinaryLines),
		turned: rate.NewLimiter(turnedLines, turnedLines), stopping: make(chan struct{}),
	}, func() { k.kept.forget(&enroller.Roster{}) }
}

// Stop makes each answer from now on end its connection, so that callers go on
// at other instances.
func (f *Forwarder) Stop() {
	f.stopOnce.Do(func() { close(f.stopping) })
}

// ServeHTTP serves one call.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-f.stopping:
		w.Header().Set("Connection", "close")
	default:
		if f.CutOff() {
			w.Header().Set("Connection", "close")
		}
	}

	c, s := f.tracer.Start(r.Context(), "call")
	defer s.End()

	x := &exchange{writer: w, request: r, start: time.Now()}

	err := f.serve(c, x)
	s.SetAttributes(attribute.String("id", x.call.ID), attribute.Int("attempts", x.sent))
	f.end(x, err)
}

// serve takes the steps of a call. Each may end it with a refusal.
func (f *Forwarder) serve(c context.Context, x *exchange) error {
	defer x.endTrial()

	for _, s := range []func(*exchange) error{f.identify, f.match, f.authorize, f.accept, f.isolate} {
		if err := s(x); err != nil {
			return err
		}
	}

	d, stop := context.WithDeadline(c, x.deadline)
	defer stop()

	return f.attempts(d, x)
}

// end answers a call that was given up on, and logs how it ended.
func (f *Forwarder) end(x *exchange, err error) {
	var r *Refusal

	o := meter.Served
	l := logrus.WithFields(x.fields())

	switch {
	case err == nil:
		// In a flood the lines of calls that went well go first.
		if f.ordinary.Allow() {
			l.WithField("event", "callServed").Info()
		}
	case errors.Is(err, errCallerLeft):
		o = meter.Left

		l.WithFields(logrus.Fields{"event": "callerLeft", "error": err}).Info()
	case errors.As(err, &r) && !x.relayed:
		o = meter.Refused

		l.WithFields(logrus.Fields{
			"event": "callRefused", "status": r.Status, "wait": r.Wait, "reason": r.Reason, "detail": r.Message,
		}).Info()
		f.meter.Refusal(string(r.Reason))
		r.write(x.writer)
	default:
		o = meter.Broken

		l.WithFields(logrus.Fields{"event": "callBroken", "error": err}).Warn()
	}

	f.meter.Call(x.kind(), o, time.Since(x.start))

	if o == meter.Broken {
		// The connection ends without the end of the answer: what the caller got
		// so far must not look whole. Events that came together with the break are
		// still held back for the next one; a caller that goes on with the stream
		// needs them, so they go out first.
		_ = http.NewResponseController(x.writer).Flush() // The caller may have left.

		panic(http.ErrAbortHandler)
	}
}

// Turn answers a call that is not taken, since the instance is stopping or has
// too many.
func (f *Forwarder) Turn(w http.ResponseWriter, r *http.Request, stopping bool) {
	x := refuse(http.StatusServiceUnavailable, Busy, turnWait, "this instance has too many calls")
	if stopping {
		x = refuse(http.StatusServiceUnavailable, Stopping, turnWait, "this instance is stopping")
	}

	f.meter.Refusal(string(x.Reason))

	// Who asks what became of a call finds it by its ID. In a flood the count is all there is.
	if f.turned.Allow() {
		f.logTurned(r, x)
	}

	x.write(w)
}

func (f *Forwarder) logTurned(r *http.Request, x *Refusal) {
	l := logrus.Fields{"event": "callRefused", "status": x.Status, "wait": x.Wait, "reason": x.Reason, "detail": x.Message}

	// Headers that can't be read are no reason to say less.
	if c, err := f.dialect.Read(r.Header); err == nil {
		l["id"] = c.ID
	} else {
		l["error"] = err
	}

	logrus.WithFields(l).Info()
}

// SetRetries replaces the bounds of the retry budget.
func (f *Forwarder) SetRetries(s budgeter.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.budgeter.Set(s)
}

// SetThrottle replaces the bound on the calls at cold targets.
func (f *Forwarder) SetThrottle(s throttler.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.chooser.SetThrottle(s)
}

// Running returns how many calls this instance has at the targets of a data centre.
func (f *Forwarder) Running(centre string) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.chooser.Running(centre)
}

// Forget takes a list of targets that has changed, and drops what is known of processes that
// are not on it, and the connections that are kept to them.
func (f *Forwarder) Forget(r *enroller.Roster) {
	f.mu.Lock()
	f.chooser.ApplyRegistry(time.Now(), r)
	f.mu.Unlock()

	f.client.kept.forget(r)
}

// Learn takes what another instance told.
func (f *Forwarder) Learn(n selector.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.chooser.ApplyUpdate(time.Now(), f.facts.Roster(), n)
}

// Views returns the targets as this instance sees them.
func (f *Forwarder) Views() []selector.View {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.chooser.Views(time.Now(), f.facts.Roster())
}

// ReportGone takes another instance's word that processes of targets are gone.
func (f *Forwarder) LearnGone(l []enroller.Process) {
	f.mu.Lock()

	for _, p := range l {
		f.chooser.ReportGone(time.Now(), f.facts.Roster(), p)
	}

	b := f.chooser.HealthChanges()
	f.mu.Unlock()

	f.tellBeliefs(b, nil)
}

// OnGone sets what is called with a process of a target that this instance finds gone. It
// is set before the first call comes.
func (f *Forwarder) OnGone(g func(p enroller.Process)) {
	f.gone = g
}

// LearnLeaving takes another instance's word that processes of targets said that they leave.
func (f *Forwarder) LearnLeaving(l []enroller.Process) {
	for _, p := range l {
		if f.facts.Leave(p) {
			f.logLeaving(p, selector.Peer)
		}
	}
}

// OnLeaving sets what is called with a process of a target that said to this instance that it leaves.
// It is set before the first call comes.
func (f *Forwarder) OnLeaving(g func(p enroller.Process)) {
	f.leaving = g
}

// News returns what other instances should be told.
func (f *Forwarder) News() selector.Update {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.chooser.PendingUpdate()
}
