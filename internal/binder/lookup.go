package binder

import (
	"context"
	"slices"
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
	own := b.view(group, s)
	if v, ok := b.known(own); ok || own.Found {
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

// lookUp finds the version of a stream with the help of the log and other instances. It reports whether it may be known soon,
// since a recorder that has just started still reads the log.
func (b *Binder) lookUp(c context.Context, group string, s pinner.Stream) (v discoverer.Version, source string, waiting bool) {
	x, stop := context.WithTimeout(c, lookUpTimeout)
	defer stop()

	read := b.isRecorder() && b.refresh(x)

	own := b.view(group, s)
	if v, ok := b.known(own); ok {
		return v, sourceLog, false
	}

	replies := b.ask(x, group, s)
	b.learn(group, replies)

	// The recorders may all have been killed, and the others have not noticed yet.
	if len(replies) == 0 && !read && b.refresh(x) {
		own = b.view(group, s)
		if v, ok := b.known(own); ok {
			return v, sourceLog, false
		}
	}

	fresh := b.settings.Fresh()
	source = sourceReplies

	v, ok := pinner.Decide(own, replies, b.settings.Centres, fresh)
	if !ok {
		source = sourceNone
		waiting = b.isReading() || slices.ContainsFunc(replies, func(v pinner.View) bool { return !v.Complete })
	}

	logrus.WithFields(logrus.Fields{
		"event": "streamLookedUp", "group": group, "source": source, "versionsInUse": len(own.Versions), "complete": own.Complete,
		"read": read, "replies": len(replies), "found": countFound(replies), "fresh": fresh,
	}).Info()

	return v, source, waiting
}

// known returns the version of a stream if this instance needs nobody else for it.
func (b *Binder) known(own pinner.View) (discoverer.Version, bool) {
	if !own.Found && (!own.Complete || !b.settings.Fresh()) {
		return 0, false
	}

	return pinner.Decide(own, nil, nil, true)
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

// learn records which versions of a group were in use before this process started, once another instance has told that.
func (b *Binder) learn(group string, replies []pinner.View) {
	n := time.Now()

	b.mu.Lock()

	var l []pinner.Note

	for _, v := range replies {
		if v.Complete {
			l = append(l, b.recent(n, b.pinner.Learn(n, map[string][]discoverer.Version{group: v.Versions}))...)
		}
	}

	b.mu.Unlock()
	b.tell(l)
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

	if v.Found || v.Complete && len(v.Versions) <= 1 || !read || !b.isRecorder() {
		return v, nil
	}

	x, stop := context.WithTimeout(c, answerTimeout)
	defer stop()

	b.refresh(x)

	return b.view(q.Group, s), nil
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

// isReading reports whether this instance reads the log.
func (b *Binder) isReading() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.archive.reading != nil
}

// ask asks the recorders of a stream. It returns the replies that arrive in time, and those so far as soon as one has the
// stream's version. It asks nobody while it asks about many streams.
func (b *Binder) ask(c context.Context, group string, s pinner.Stream) []pinner.View {
	select {
	case b.asking <- struct{}{}:
		defer func() { <-b.asking }()
	default:
		return nil
	}

	c, stop := context.WithTimeout(c, askTimeout)
	defer stop()

	b.mu.Lock()
	l, _ := b.selectRecorders(time.Now()).Of(s)
	b.mu.Unlock()

	replies := make(chan pinner.View, len(l))
	failed := make(chan struct{}, len(l))

	// Each request runs in a goroutine, since it may block beyond its time-out while another message waits for a
	// connection to the same instance.
	for _, m := range l {
		go func() {
			var w wire.StreamVersionReply
			if err := b.messenger.Call(c, m.Address, wire.KindStreamVersion, &wire.VersionRequest{Stream: uint64(s), Group: group}, &w); err != nil {
				failed <- struct{}{}

				return
			}

			replies <- viewOf(m, s, &w)
		}()
	}

	var o []pinner.View

	for range l {
		select {
		case v := <-replies:
			if o = append(o, v); v.Found {
				return o
			}
		case <-failed:
		case <-c.Done():
			return o
		}
	}

	return o
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
