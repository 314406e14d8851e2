package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/pinner"
)

// streamBinder is a forwarder.StreamBinder that knows the versions by stream.
type streamBinder struct {
	mu    sync.Mutex
	bound []pinner.Note
	// version is that of all streams; zero if it is not known.
	version discoverer.Version
	asked   []pinner.Stream
	// joining are the versions at which no stream should begin.
	joining []discoverer.Version
}

func (b *streamBinder) Bind(_ string, n pinner.Note) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.bound = append(b.bound, n)
}

func (b *streamBinder) Find(_ context.Context, _ string, s pinner.Stream) (discoverer.Version, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.asked = append(b.asked, s)

	return b.version, b.version != 0
}

// Joining implements forwarder.StreamBinder.
func (b *streamBinder) Joining(string) []discoverer.Version {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.joining
}

// setVersions gives the targets software versions, in the order of their IDs; they are then in one data centre.
func (g *gateway) setVersions(l ...string) {
	g.update(func(e *discoverer.Discoverer) {
		for i, v := range l {
			x := *g.state.registry.Known["t"+string(rune('0'+i))]
			x.Version = v
			e.Set(x)
		}
	})
}

// breakAfterTwo sends two events of a new stream and closes the connection. It completes a stream that goes on.
func breakAfterTwo(n net.Conn, s received) {
	if s.header.Get("Last") != "" {
		answerEvents(5)(n, s)

		return
	}

	beginStream(n, s)
	chunk(n, event(1)+event(2))
	time.Sleep(20 * time.Millisecond)
	reset(n)
}

// Guards against an answer that holds events of two software versions, because a stream that broke off goes on at any target.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for name, x := range map[string]struct {
		versions []string
		complete bool
	}{
		"another target of the version": {[]string{"v1", "v2", "v2", "v1"}, true},
		"no other target of it":         {[]string{"v1", "v2", "v3", "v4"}, false},
		"unknown versions":              {[]string{"", "", "", ""}, false},
		"the others' is unknown":        {[]string{"v1", "", "", ""}, false},
	} {
		for route, delegated := range map[string]bool{"direct": false, "through another instance": true} {
			t.Run(name+", "+route, func(t *testing.T) {
				is := is.New(t)

				var l []*target
				for range x.versions {
					l = append(l, &target{answer: breakAfterTwo})
				}

				var g *gateway
				if delegated {
					g, _, _ = newDelegatingGateway(t, l...)
				} else {
					g = newGatewayWithDialer(t, &unboundedDialer{}, l...)
				}

				g.setVersions(x.versions...)

				o := g.call(t, http.MethodPost, "/resumable/", "x")
				is.Equal(o.status, http.StatusOK)
				is.Equal(o.err == nil, x.complete)

				if x.complete {
					is.Equal(o.body, events(1, 5))
				}

				calls, called := 0, make(map[string]bool)

				for i, y := range l {
					if calls += y.count(); y.count() > 0 {
						called[x.versions[i]] = true
					}
				}

				is.Equal(calls > 1, x.complete)
				is.Equal(len(called), 1)
			})
		}
	}
}

// Guards against a stream that a caller resumes and that goes on at another version than the one that began it.
func TestResumedStreamGoesOnAtItsVersion(t *testing.T) {
	for name, x := range map[string]struct {
		version, resumes string
		status, calls    int
	}{
		"known version":         {"v2", "call-0", http.StatusOK, 1},
		"version not known":     {"", "call-0", http.StatusServiceUnavailable, 0},
		"nobody serves it":      {"v3", "call-0", http.StatusServiceUnavailable, 0},
		"stream not stated":     {"v2", "", http.StatusOK, 1},
		"neither is, nor known": {"", "", http.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := &target{answer: answerEvents(5)}, &target{answer: answerEvents(5)}
			g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)
			s := &streamBinder{version: discoverer.VersionOf(x.version)}

			g.setVersions("v1", "v2")
			g.forwarder.SetBinder(s)

			o := g.call(t, http.MethodPost, "/resumable/", "x", "Last", "2", "Begun-By", x.resumes)
			is.Equal(o.status, x.status)
			is.Equal(a.count(), 0)
			is.Equal(b.count(), x.calls)
			is.Equal(len(s.asked), 1)
			is.Equal(s.asked[0] != 0, x.resumes != "")
		})
	}
}

// Guards against homes that don't know a stream when its instance is killed: they must be told before the first event, and
// of each further target at which the stream may begin.
func TestStreamIsBoundBeforeItBegins(t *testing.T) {
	is := is.New(t)
	s := &streamBinder{}

	told := func(n int) bool {
		s.mu.Lock()
		defer s.mu.Unlock()

		return len(s.bound) == n
	}

	before := make(chan bool, 2)

	a := &target{answer: func(n net.Conn, _ received) { before <- told(1); reset(n) }}
	b := &target{answer: func(n net.Conn, r received) {
		if r.header.Get("Last") == "" {
			before <- told(2)
		}

		answerEvents(5)(n, r)
	}}
	g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)

	g.setVersions("v1", "v2")
	g.forwarder.SetBinder(s)

	is.Equal(g.call(t, http.MethodPost, "/resumable/", "x").body, events(1, 5))
	is.True(<-before)
	is.True(<-before)
	is.Equal([]discoverer.Version{s.bound[0].Version, s.bound[1].Version}, []discoverer.Version{discoverer.VersionOf("v1"), discoverer.VersionOf("v2")})
	is.Equal(s.bound[0].Stream, s.bound[1].Stream)
	is.True(s.bound[0].Attempt < s.bound[1].Attempt)

	// Whoever resumes it states its ID and is bound to the version of its first event, also further on.
	s.version = s.bound[1].Version
	is.Equal(g.call(t, http.MethodPost, "/resumable/", "x", "Id", "call-2", "Last", "2", "Begun-By", "call-1").body, events(3, 5))
	is.Equal(s.asked[0], s.bound[0].Stream)
	is.Equal(s.bound[2].Stream, s.bound[0].Stream)
	is.Equal(s.bound[2].Version, s.version)

	// A stream that can't be resumed is not told.
	g.call(t, http.MethodPost, "/stream/", "x")
	is.Equal(len(s.bound), 3)
}

// Guards against a stream of which others know the version of a first attempt in vain, and not yet that of the second one.
func TestRetryPrefersVersionBegunAt(t *testing.T) {
	is := is.New(t)
	s := &streamBinder{}

	a := &target{answer: func(n net.Conn, _ received) { reset(n) }}
	b, c := &target{answer: answerEvents(5)}, &target{answer: answerEvents(5)}
	g := newGatewayWithDialer(t, &unboundedDialer{}, a, b, c)

	g.setVersions("v1", "v1", "v2")
	g.forwarder.SetBinder(s)

	for n := range 12 {
		is.Equal(g.call(t, http.MethodPost, "/resumable/", "x", "Id", strconv.Itoa(n)).body, events(1, 5))
	}

	began := make(map[pinner.Stream]discoverer.Version)
	retries := 0

	for _, n := range s.bound {
		if v, ok := began[n.Stream]; ok {
			retries++

			is.Equal(n.Version, v)
		}

		began[n.Stream] = n.Version
	}

	is.True(retries > 0)
}

// Guards against streams that begin at a version that has just joined: an instance that does not know of it would have them go on at
// another one.
func TestStreamsBeginAtKnownVersions(t *testing.T) {
	for name, x := range map[string]struct {
		path string
		// versions are those of the targets, of which v2 has just joined.
		versions []string
		refusing bool
		want     string
	}{
		"another version serves":         {"/resumable/", []string{"v2", "v1"}, false, "t1"},
		"no other version":               {"/resumable/", []string{"v2", "v2"}, false, "t0"},
		"the other version refuses":      {"/resumable/", []string{"v2", "v1"}, true, "t0"},
		"a stream that can't be resumed": {"/stream/", []string{"v2", "v1"}, false, "t0"},
		"no stream":                      {"/idempotent/", []string{"v2", "v1"}, false, "t0"},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			var last atomic.Pointer[string]

			serve := func(n net.Conn, s received) {
				last.Store(&s.target)

				if x.path == "/idempotent/" {
					answerOK(n, s)
				} else {
					answerEvents(2)(n, s)
				}
			}
			a, b := &target{answer: serve}, &target{answer: serve}

			if x.refusing {
				b.answer = answerWith("503 Service Unavailable", "", "Not-Run: 1")
			}

			g := newGateway(t, a, b)
			g.setVersions(x.versions...)
			g.forwarder.SetBinder(&streamBinder{joining: []discoverer.Version{discoverer.VersionOf("v2")}})

			o := g.call(t, http.MethodPost, x.path+"x", "x")
			i.NoErr(o.err)
			i.Equal(o.status, http.StatusOK)
			i.Equal(*last.Load(), x.want)
		})
	}
}
