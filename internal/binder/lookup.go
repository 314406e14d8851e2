package binder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// lookUpTimeout bounds a lookup, and askTimeout the requests in it, so that this instance may read the log after them. Within
	// a region a reply takes one or two milliseconds, and a caller that waits should be refused at once.
	lookUpTimeout = 40 * time.Millisecond
	askTimeout    = 30 * time.Millisecond
	// answerTimeout bounds the reading of the log for a request. It is shorter than askTimeout, so that the reply arrives.
	answerTimeout = 20 * time.Millisecond
	// readingTimeout bounds how long a stream waits for recorders that have just started and read the log. They are asked
	// again each askInterval.
	readingTimeout = 300 * time.Millisecond
	askInterval    = 50 * time.Millisecond
	// stallTimeout bounds how long a stream waits for a process that was stalled to catch up, and stallInterval is the time between two
	// looks. A process counts as stalled for 0.3 s after a stall.
	stallTimeout  = 600 * time.Millisecond
	stallInterval = 20 * time.Millisecond
	// maxAsking is the largest number of streams about which others are asked at a time. Beyond it a caller that
	// resumes streams at random would multiply its calls.
	maxAsking = 64
)

// The sources of what is known of a stream's version.
const (
	sourceOwn     = "own"     // A note of this instance.
	sourceSole    = "sole"    // The group has had one version for longer than streams last.
	sourceLog     = "log"     // What the log has.
	sourceReplies = "replies" // What other instances have replied.
	sourceNone    = "none"    // Nothing is certain.
)

// Find returns the version that began a stream of a group, and false if that is not certain.
func (b *Binder) Find(c context.Context, group string, s pinner.Stream) (discoverer.Version, bool) {
	b.catchUp(c)

	own := b.view(group, s)
	if v, ok := b.known(group, own); ok || own.Found {
		b.meter.StreamLookup(sourceOf(own))

		return v, ok
	}

	x, stop := context.WithTimeout(c, readingTimeout)
	defer stop()

	for {
		v, source, waiting := b.lookUp(x, group, s)
		if source == sourceNone && waiting && x.Err() == nil {
			sleeper.Sleep(x, askInterval)

			continue
		}

		b.meter.StreamLookup(source)

		return v, source != sourceNone
	}
}

// catchUp waits for a short time until this process has handled what arrived during a stall: notes on a stream that was begun again
// elsewhere, and versions that have appeared.
func (b *Binder) catchUp(c context.Context) {
	x, stop := context.WithTimeout(c, stallTimeout)
	defer stop()

	for x.Err() == nil && b.settings.Stalled() {
		sleeper.Sleep(x, stallInterval)
	}
}

// lookUp finds the version of a stream with the help of the log and other instances. It reports whether it may be known soon,
// since a recorder that has just started still reads the log.
func (b *Binder) lookUp(c context.Context, group string, s pinner.Stream) (v discoverer.Version, source string, waiting bool) {
	x, stop := context.WithTimeout(c, lookUpTimeout)
	defer stop()

	read := b.isRecorder() && b.refresh(x)

	own := b.view(group, s)
	if v, ok := b.known(group, own); ok {
		return v, sourceLog, false
	}

	replies, reading := b.ask(x, group, s)
	b.learn(group, replies)
	b.recordAsked(group)

	// The recorders may all have been killed, and the others have not noticed yet.
	if len(replies) == 0 && !read && b.refresh(x) {
		own = b.view(group, s)
		if v, ok := b.known(group, own); ok {
			return v, sourceLog, false
		}
	}

	fresh := b.settings.Fresh()
	source = sourceReplies

	v, ok := pinner.Decide(own, replies, b.settings.Centres, fresh)
	if !ok {
		source = sourceNone
		waiting = reading || b.isReading()
	}

	logrus.WithFields(logrus.Fields{
		"event": "streamLookedUp", "group": group, "source": source, "versionsInUse": len(own.Versions), "complete": own.Complete,
		"read": read, "replies": len(replies), "found": countFound(replies), "fresh": fresh,
	}).Info()

	return v, source, waiting
}

// known returns the version of a stream if this instance needs nobody else for it. A process that has just started asks others
// once, whatever the log has: instances of the earlier release do not write to it.
func (b *Binder) known(group string, own pinner.View) (discoverer.Version, bool) {
	b.mu.Lock()
	asked := b.asked[group] || b.pinner.Settled(time.Now())
	b.mu.Unlock()

	if !own.Found && (!own.Complete || !asked || !b.settings.Fresh()) {
		return 0, false
	}

	return pinner.Decide(own, nil, nil, true)
}

// recordAsked records that other instances were asked about a group.
func (b *Binder) recordAsked(group string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.asked[group] = true
}

func sourceOf(own pinner.View) string {
	if own.Found {
		return sourceOwn
	}

	return sourceSole
}

// countFound returns how many replies have the version of the stream.
func countFound(l []pinner.View) int {
	n := 0

	for _, v := range l {
		if v.Found {
			n++
		}
	}

	return n
}

// HandleRequest answers what this instance knows of a stream. If it is a recorder and does not know the stream, it reads
// the log first.
func (b *Binder) HandleRequest(c context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	v, err := b.answer(c, body, true)
	if err != nil {
		return nil, err
	}

	o := &wire.StreamVersionReply{Found: v.Found, Complete: v.Complete, Version: uint64(v.Note.Version), Attempt: attempt(v.Note)}
	for _, x := range v.Versions {
		o.Versions = append(o.Versions, uint64(x))
	}

	return o, nil
}

// HandleEarlierRequest answers a request of an instance of the earlier release, from what this instance knows.
func (b *Binder) HandleEarlierRequest(c context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	v, err := b.answer(c, body, false)
	if err != nil {
		return nil, err
	}

	o := &wire.VersionReply{Found: v.Found, Version: uint64(v.Note.Version), Attempt: attempt(v.Note)}
	for _, x := range v.Versions {
		o.Versions = append(o.Versions, uint64(x))
	}

	return o, nil
}

func (b *Binder) answer(c context.Context, body []byte, read bool) (pinner.View, error) {
	var q wire.VersionRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return pinner.View{}, errors.Mark(err, ErrBinding)
	}

	s := pinner.Stream(q.Stream)
	v := b.view(q.Group, s)

	if v.Found || v.Complete && (len(v.Versions) <= 1 || s == 0) || !read || !b.mayRead(s) {
		return v, nil
	}

	x, stop := context.WithTimeout(c, answerTimeout)
	defer stop()

	b.refresh(x)
	v = b.view(q.Group, s)

	// It knows nothing yet, and may be asked again.
	if !v.Complete && b.isReading() {
		v.Versions = nil
	}

	return v, nil
}

// view returns what this instance knows.
func (b *Binder) view(group string, s pinner.Stream) pinner.View {
	n := time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	o := pinner.View{DataCentre: b.members.Self().DataCentre, Versions: b.pinner.Versions(n, group), Complete: b.pinner.Complete(n, group)}
	if s != 0 {
		o.Note, o.Found = b.pinner.Find(n, s)
	}

	return o
}

func (b *Binder) isRecorder() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.selectRecorders(time.Now()).Recording()
}

// mayRead reports whether this instance reads the log to answer about a stream, or about no stream in particular if s is zero.
func (b *Binder) mayRead(s pinner.Stream) bool {
	n := time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	return b.selectRecorders(n).Recording() && (s != 0 || b.started(n) && !b.archive.position.IsRead())
}

// isReading reports whether this instance reads the log.
func (b *Binder) isReading() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.archive.reading != nil
}

// ask asks the recorders of a stream. It returns the replies that arrive in time, and those so far as soon as one has the
// stream's version, and whether a recorder still reads the log. It asks nobody while it asks about many streams.
func (b *Binder) ask(c context.Context, group string, s pinner.Stream) (o []pinner.View, reading bool) {
	select {
	case b.asking <- struct{}{}:
		defer func() { <-b.asking }()
	default:
		return nil, false
	}

	c, stop := context.WithTimeout(c, askTimeout)
	defer stop()

	b.mu.Lock()
	l, _ := b.selectRecorders(time.Now()).Of(s)
	b.mu.Unlock()

	requests := len(l) * len(requestKinds)
	replies := make(chan reply, requests)
	failed := make(chan struct{}, requests)

	// Each request runs in a goroutine, since it may block beyond its time-out while another message waits for a
	// connection to the same instance.
	for _, m := range l {
		for _, k := range requestKinds {
			go func() {
				v, err := b.request(c, m, k, &wire.VersionRequest{Stream: uint64(s), Group: group})
				if err != nil {
					failed <- struct{}{}

					return
				}

				replies <- reply{v, k}
			}()
		}
	}

	for range requests {
		select {
		case r := <-replies:
			reading = reading || r.kind == wire.KindStreamVersion && !r.Complete && len(r.Versions) == 0

			if o = append(o, r.View); r.Found {
				return o, reading
			}
		case <-failed:
		case <-c.Done():
			return o, reading
		}
	}

	return o, reading
}

// reply is a reply to a request of a kind.
type reply struct {
	pinner.View

	kind wire.Kind
}

// requestKinds are the kinds of requests for a stream's version: instances of the earlier release answer only the second.
var requestKinds = [...]wire.Kind{wire.KindStreamVersion, wire.KindVersion} //nolint:gochecknoglobals // A constant.

// request sends a request of a kind and returns what the other instance has replied. A reply of the earlier kind is never taken
// for complete.
func (b *Binder) request(c context.Context, m gossiper.Member, k wire.Kind, q *wire.VersionRequest) (pinner.View, error) {
	var w wire.StreamVersionReply

	if k == wire.KindVersion {
		var e wire.VersionReply
		if err := b.messenger.Call(c, m.Address, k, q, &e); err != nil {
			return pinner.View{}, err
		}

		w = wire.StreamVersionReply{Found: e.Found, Version: e.Version, Attempt: e.Attempt, Versions: e.Versions}
	} else if err := b.messenger.Call(c, m.Address, k, q, &w); err != nil {
		return pinner.View{}, err
	}

	return viewOf(m, pinner.Stream(q.Stream), &w), nil
}

// viewOf returns what another instance has replied.
func viewOf(m gossiper.Member, s pinner.Stream, w *wire.StreamVersionReply) pinner.View {
	o := pinner.View{
		DataCentre: m.DataCentre, Found: w.Found, Complete: w.Complete,
		Note: pinner.Note{Stream: s, Version: discoverer.Version(w.Version), Attempt: int(w.Attempt)},
	}
	for _, x := range w.Versions {
		o.Versions = append(o.Versions, discoverer.Version(x))
	}

	return o
}
