// Package forwarder accepts calls from callers, forwards them to targets and relays the answers.
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

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/admitter"
	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/sharder"
	"github.com/auburntray/auburntray/internal/throttler"
)

// ClusterState is the state of the cluster as this instance knows it. It must be safe for concurrent use.
type ClusterState interface {
	// Catalog returns the catalog in force, or nil if none is known yet.
	Catalog() *cataloger.Catalog
	// Synced returns a channel that is closed once a catalog and the list of targets are known.
	Synced() <-chan struct{}
	// Fresh reports whether the catalog was recently confirmed, so that a rule or key that is
	// missing from it does not exist.
	Fresh() bool
	// Registry returns the known targets.
	Registry() *discoverer.Registry
	// MarkLeaving records that a process announced its shutdown, so that no calls are sent to it, and
	// reports whether this was new.
	MarkLeaving(p discoverer.Process) bool
	// Stalled reports whether this process was stalled at any time after since.
	Stalled(since time.Time) bool
	// Instances returns how many instances share the retry budget; zero means that this is not known yet.
	Instances() int
}

// Settings configures a Forwarder.
type Settings struct {
	// DataCentre is the data centre of this instance.
	DataCentre string
	// DefaultTimeout is the time-out of calls whose callers state none.
	DefaultTimeout time.Duration
	// MaxBody bounds a request body, in bytes, if the catalog sets no limit.
	MaxBody int64
	// Regions are the regions of the data centres, by data centre name.
	Regions map[string]string
}

// Forwarder serves calls. It is safe for concurrent use.
type Forwarder struct {
	settings Settings
	dialect  Dialect
	state    ClusterState
	tracer   trace.Tracer
	client   *client
	meter    Meter
	// servedLogs limits the rate of log lines about served calls.
	servedLogs *rate.Limiter
	// rejectedLogs limits the rate of log lines about calls that were refused before their bodies were read.
	rejectedLogs *rate.Limiter

	mu       sync.Mutex
	selector *selector.Selector
	budgeter *budgeter.Budgeter
	admitter *admitter.Admitter
	// narrow admits the calls that only targets of one software version may run.
	narrow *admitter.Narrow
	// awaiting has an element for each call that waits for a place among these.
	awaiting chan struct{}
	// sharder decides when the customers of a group are limited to their shards of its targets.
	// The map sharded is true for the groups in which customers are currently limited.
	sharder *sharder.Sharder
	sharded map[string]bool

	// cutOffSince is when this instance was found to be cut off; nil while it is not.
	cutOffSince atomic.Pointer[time.Time]

	// notifyGone notifies other instances that a process is gone.
	notifyGone func(p discoverer.Process)
	// notifyLeaving notifies other instances that a process announced its shutdown.
	notifyLeaving func(p discoverer.Process)
	// notifyRefusal notifies other instances that a brittle target has refused a call.
	notifyRefusal func(r selector.Refusal)
	// reserver reserves slots at the home nodes of targets; nil if slots are not reserved.
	reserver SlotReserver
	// delegates are the instances through which calls are sent to targets that this one does not reach; nil if there are
	// none.
	delegates Delegates
	// binder keeps the software versions that began streams; nil if streams may go on at any version.
	binder StreamBinder
	// memory bounds what is held for calls.
	memory *accountant.Accountant
	// quarantine records the calls that were running when targets crashed; nil disables it.
	quarantine Quarantine

	// unreached is the number of groups of which this instance reaches no target, as last logged.
	unreached atomic.Int64

	stopping chan struct{}
	stopOnce sync.Once
	// interrupted ends when Interrupt is called.
	interrupted context.Context //nolint:containedctx // That of all calls.
	interrupt   context.CancelFunc
}

// Meter records metrics. It is implemented by meter.Meter.
type Meter interface {
	Call(kind string, o meter.Outcome, took time.Duration)
	FirstPart(kind string, took time.Duration)
	Attempt(group, outcome string)
	Refusal(reason string)
	HealthChange(cause string, excluded bool)
	Reservation(group, outcome string)
	Delegated(result string)
	Unbuffered()
}

// servedLogsPerSecond bounds the log lines about served calls. It is four times the usual load of
// an instance.
const servedLogsPerSecond = 150

// rejectedLogsPerSecond bounds the log lines about rejected calls. It is the usual load of an
// instance.
const rejectedLogsPerSecond = 40

// Dialer makes connections. It is implemented by net.Dialer.
type Dialer interface {
	DialContext(c context.Context, network, address string) (net.Conn, error)
}

// New returns a Forwarder and its clean-up function, which closes the pooled connections to
// targets.
func New(s Settings, d Dialect, f ClusterState, t trace.Tracer, m Meter, x Dialer, c *selector.Selector, b *budgeter.Budgeter) (*Forwarder, func()) {
	k := newClient(x)
	n, interrupt := context.WithCancel(context.Background())

	return &Forwarder{
			settings: s, dialect: d, state: f, tracer: t, client: k, selector: c, budgeter: b, admitter: admitter.New(), narrow: admitter.NewNarrow(), awaiting: make(chan struct{}, maxAwaiting), notifyGone: func(discoverer.Process) {}, notifyLeaving: func(discoverer.Process) {}, notifyRefusal: func(selector.Refusal) {},
			sharder: sharder.New(), sharded: make(map[string]bool), memory: accountant.New(0),
			meter: m, servedLogs: rate.NewLimiter(servedLogsPerSecond, servedLogsPerSecond),
			rejectedLogs: rate.NewLimiter(rejectedLogsPerSecond, rejectedLogsPerSecond), stopping: make(chan struct{}),
			interrupted: n, interrupt: interrupt,
		}, func() {
			interrupt()
			k.close()
		}
}

// Stop makes each answer from now on close its connection, so that callers continue at other
// instances. It may be called more than once.
func (f *Forwarder) Stop() {
	f.stopOnce.Do(func() { close(f.stopping) })
}

// Interrupt ends all calls in progress, because the process is about to exit. A call whose answer has not begun is answered, since its
// caller can't tell a lost connection from a lost call.
func (f *Forwarder) Interrupt() {
	f.interrupt()
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
	f.complete(x, err)
}

// serve processes a call step by step. Each step may end the call with a refusal.
func (f *Forwarder) serve(c context.Context, x *exchange) error {
	defer x.finishTrial()

	k, err := f.reserveCall()
	if err != nil {
		return err
	}
	defer k.Close()

	defer x.dropBody()
	defer x.dropAnswer()

	for _, s := range []func(*exchange) error{f.readCall, f.matchRule, f.authorize, f.readBody, f.checkQuarantine} {
		if err := s(x); err != nil {
			return err
		}
	}

	d, stop := context.WithDeadline(c, x.deadline)
	defer stop()
	defer context.AfterFunc(f.interrupted, stop)()

	return f.runAttempts(d, x)
}

// complete writes the refusal of a call that was not answered, and logs and counts how the call
// ended.
func (f *Forwarder) complete(x *exchange, err error) {
	var r *Refusal

	o := meter.Served
	l := logrus.WithFields(x.logFields())

	switch {
	case err == nil:
		// Under high load the lines about served calls are dropped first.
		if f.servedLogs.Allow() {
			l.WithField("event", "callServed").Info()
		}
	case errors.Is(err, errCallerLeft):
		o = meter.Disconnected

		l.WithFields(logrus.Fields{"event": "callerLeft", "error": err}).Info()
	case errors.As(err, &r) && !x.relayed:
		o = meter.Refused

		// Anybody may send calls that are refused before their bodies are read, so their lines are limited.
		if x.digest != 0 || f.rejectedLogs.Allow() {
			l.WithFields(logrus.Fields{
				"event": "callRefused", "status": r.Status, "wait": r.Wait, "reason": r.Reason, "detail": r.Message,
			}).Info()
		}

		f.meter.Refusal(string(r.Reason))
		r.write(x.writer)
	default:
		o = meter.Broken

		l.WithFields(logrus.Fields{"event": "callBroken", "error": err}).Warn()
	}

	f.meter.Call(x.kindLabel(), o, time.Since(x.start))

	if o == meter.Broken || o == meter.Disconnected {
		// Abort the connection without ending the answer: an incomplete answer must not appear
		// complete. A caller that has closed only its own direction still reads. Events received together with the
		// failure are still buffered. They are flushed first, because a caller that resumes the stream needs them.
		_ = http.NewResponseController(x.writer).Flush() // The caller may have left.

		panic(http.ErrAbortHandler)
	}
}

// Reject rejects a call that is not processed because the instance is stopping or has too many calls.
func (f *Forwarder) Reject(w http.ResponseWriter, r *http.Request, stopping bool) {
	x := refuse(http.StatusServiceUnavailable, Busy, rejectWait, "this instance has too many calls")
	if stopping {
		x = refuse(http.StatusServiceUnavailable, Stopping, rejectWait, "this instance is stopping")
	}

	f.meter.Refusal(string(x.Reason))

	// The log line allows operators to find the call by its ID. Under high load the line is omitted
	// and only the metric counts the call.
	if f.rejectedLogs.Allow() {
		f.logRejected(r, x)
	}

	x.write(w)
}

func (f *Forwarder) logRejected(r *http.Request, x *Refusal) {
	l := logrus.Fields{"event": "callRefused", "status": x.Status, "wait": x.Wait, "reason": x.Reason, "detail": x.Message}

	// The line is written even if the headers are invalid.
	if c, err := f.dialect.ReadCall(r.Header); err == nil {
		l["id"] = c.ID
	} else {
		l["error"] = err
	}

	logrus.WithFields(l).Info()
}

// SetRetryBudget replaces the bounds of the retry budget.
func (f *Forwarder) SetRetryBudget(s budgeter.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.budgeter.Set(s)
}

// SetThrottle replaces the bounds on calls to cold targets.
func (f *Forwarder) SetThrottle(s throttler.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.selector.SetThrottle(s)
}

// Running returns how many calls this instance has in flight at the targets of a data centre.
func (f *Forwarder) Running(centre string) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.selector.Running(centre)
}

// Prune discards the state of processes that a changed registry no longer lists, and closes the
// idle connections to them.
func (f *Forwarder) Prune(r *discoverer.Registry) {
	f.mu.Lock()
	f.selector.ApplyRegistry(time.Now(), r)
	f.mu.Unlock()

	f.client.pool.prune(r)
}

// ApplyUpdate applies an update from another instance.
func (f *Forwarder) ApplyUpdate(n selector.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.selector.ApplyUpdate(time.Now(), f.state.Registry(), n)
}

// TargetStates returns the targets as this instance sees them.
func (f *Forwarder) TargetStates() []selector.TargetState {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.selector.TargetStates(time.Now(), f.state.Registry())
}

// MarkGone applies a notification from another instance that processes of targets are gone.
func (f *Forwarder) MarkGone(l []discoverer.Process) {
	f.mu.Lock()

	for _, p := range l {
		f.selector.ReportGone(time.Now(), f.state.Registry(), p)
	}

	b := f.selector.HealthChanges()
	f.mu.Unlock()

	f.reportHealth(b, nil)
}

// OnGone sets the function that is called with a target's process that this instance finds gone. It
// must be called before the first call is served.
func (f *Forwarder) OnGone(g func(p discoverer.Process)) {
	f.notifyGone = g
}

// MarkLeaving applies a notification from another instance that processes of targets announced
// their shutdown.
func (f *Forwarder) MarkLeaving(l []discoverer.Process) {
	for _, p := range l {
		if f.state.MarkLeaving(p) {
			f.logLeaving(p, selector.Peer)
		}
	}
}

// OnLeaving sets the function that is called with a target's process that announced its shutdown to
// this instance. It must be called before the first call is served.
func (f *Forwarder) OnLeaving(g func(p discoverer.Process)) {
	f.notifyLeaving = g
}

// Update returns the update to send to other instances.
func (f *Forwarder) Update() selector.Update {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.selector.PendingUpdate()
}
