package forwarder

import (
	"context"
	"math"
	"net/http"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/selector"
)

// settledAttempt is the attempt of a note on a stream whose first event the caller has.
const settledAttempt = math.MaxInt32

// StreamBinder keeps the software versions that began streams, together with other instances. It is implemented by
// binder.Binder.
type StreamBinder interface {
	// Bind records that a stream of a group is about to begin at a target. It must not block.
	Bind(group string, n pinner.Note)
	// Joining returns the versions of a group at which no stream should begin yet, if it can begin elsewhere.
	Joining(group string) []discoverer.Version
	// Find returns the version that began a stream, and false if that is not certain.
	Find(c context.Context, group string, s pinner.Stream) (discoverer.Version, bool)
}

// SetBinder sets the binder of streams. It must be called before the first call is served. Without one, a stream that a
// caller resumes may go on at any version.
func (f *Forwarder) SetBinder(b StreamBinder) {
	f.binder = b
}

// findVersion finds the software version at which a stream that the caller resumes must go on. A stream whose version is not
// certain is refused at once: the caller may ask another instance or begin anew.
func (f *Forwarder) findVersion(c context.Context, x *exchange) error {
	if f.binder == nil || x.rule.Kind != cataloger.Stream {
		return nil
	}

	if x.call.LastEvent == "" {
		x.stream = streamOf(x, x.call.ID)

		return nil
	}

	if x.call.Resumes != "" {
		x.stream = streamOf(x, x.call.Resumes)
	}

	v, ok := f.binder.Find(c, x.group, x.stream)
	if !ok {
		return refuse(http.StatusServiceUnavailable, UnknownVersion, rejectWait, "the software version that began the stream is not known")
	}

	x.version = v

	if x.stream != 0 {
		f.binder.Bind(x.group, pinner.Note{Stream: x.stream, Version: v, Attempt: settledAttempt})
	}

	return nil
}

// streamOf identifies the stream that a call began. Streams of other customers and groups differ, whatever ID they state.
func streamOf(x *exchange, id string) pinner.Stream {
	return pinner.Stream(max(hasher.Key(id, x.customer, x.group), 1))
}

// bindStream records the version of the target at which a stream is about to begin. Its recorders must know it
// before the caller has the first event, since they are asked when this instance is gone.
func (f *Forwarder) bindStream(x *exchange, t selector.Choice) {
	if x.stream != 0 && x.rule.Resumable && x.lastEvent == "" {
		x.begunAt = t.Target.SoftwareVersion()
		f.binder.Bind(x.group, pinner.Note{Stream: x.stream, Version: t.Target.SoftwareVersion(), Attempt: len(x.tried)})
	}
}

// joiningVersions returns the versions at which the stream of a call should not begin.
func (f *Forwarder) joiningVersions(x *exchange) []discoverer.Version {
	if x.stream == 0 || !x.rule.Resumable || x.lastEvent != "" {
		return nil
	}

	return f.binder.Joining(x.group)
}

// mayGoOn reports whether the stream of a call may go on at another target: nothing was relayed, or it is known at
// which version.
func (x *exchange) mayGoOn() bool {
	return x.lastEvent == "" || !x.relayed || x.version != 0
}
