//go:build review

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/auburntray/auburntray/platform"
)

// server is a stand-in of a server of the platform. It runs as many requests as it has slots, queues a few more, and
// rejects the others as not run.
type server struct {
	rig              *rig
	id, service      string
	zone, address    string
	slots, queue     int
	work, eventPause time.Duration
	// version is that of its software.
	version string
	// keeps is set if the server goes on with a request whose channel was closed.
	keeps bool

	mu      sync.Mutex
	running int
	waiting int
	// silentFrom and silentTo are the time in which no event of a stream is made.
	silentFrom, silentTo time.Time
	arrivals             []arrival
}

// arrival is a request that reached a server.
type arrival struct {
	id string
	at time.Time
	// ended is when the server stopped work on it; zero while it works.
	ended time.Time
	// outcome is what the server did with it.
	outcome string
}

// newServer starts a server and registers it in the store.
func (r *rig) newServer(s *server) (*server, error) {
	var err error

	s.rig, s.version = r, cmp.Or(s.version, "v1")
	if s.address, err = r.serve(s); err != nil {
		return nil, err
	}

	return s, s.register("ready")
}

// newServerBehind starts a server behind a path that can be cut, and registers the address of the path.
func (r *rig) newServerBehind(s *server) (*proxy, error) {
	a, err := r.serve(s)
	if err != nil {
		return nil, err
	}

	p, err := r.newProxy(a)
	if err != nil {
		return nil, err
	}

	s.rig, s.address, s.version = r, p.address, cmp.Or(s.version, "v1")

	return p, s.register("ready")
}

// register writes the server's entry.
func (s *server) register(state string) error {
	b, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": s.rig.start.UnixMilli(),
	})
	if err != nil {
		return err
	}

	s.rig.store.Put(platform.TargetsStream, s.id, b)

	return nil
}

// silence has the server make no events for a time.
func (s *server) silence(from time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.silentFrom, s.silentTo = from, from.Add(d)
}

// enter records an arrival and returns its index, and whether the request may run.
func (s *server) enter(id, expected string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := "ran"

	switch {
	case expected != "" && expected != s.id:
		o = "misdirected"
	case s.running >= s.slots && s.waiting >= s.queue:
		o = "full"
	case s.running >= s.slots:
		o = "waiting"
		s.waiting++
	default:
		s.running++
	}

	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now(), outcome: o})

	return len(s.arrivals) - 1, o == "ran" || o == "waiting"
}

// await waits for a slot if the request is queued, and reports whether it may run.
func (s *server) await(q *http.Request, i int) bool {
	const step = 5 * time.Millisecond

	for {
		s.mu.Lock()

		if s.arrivals[i].outcome == "ran" {
			s.mu.Unlock()

			return true
		}

		if s.running < s.slots {
			s.waiting, s.running = s.waiting-1, s.running+1
			s.arrivals[i].outcome = "ran"
		}

		s.mu.Unlock()

		if s.seen()[i].outcome != "ran" && !s.wait(q, step) {
			s.mu.Lock()
			defer s.mu.Unlock()

			s.waiting--
			s.arrivals[i].outcome, s.arrivals[i].ended = "left the queue", time.Now()

			return false
		}
	}
}

func (s *server) leave(i int, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.running--
	s.arrivals[i].outcome, s.arrivals[i].ended = outcome, time.Now()
}

// seen returns the arrivals so far.
func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]arrival(nil), s.arrivals...)
}

// logRuns writes which requests have reached servers.
func (r *rig) logRuns(l []*server) {
	for _, s := range l {
		for _, a := range s.seen() {
			r.logf("server %s (%s): request %s arrived at %.3f: %s until %.3f", s.id, s.version, a.id, r.since(a.at), a.outcome, r.since(a.ended))
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	id := q.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	h.Set("X-Instance-Id", s.id)

	b, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}

	n, ok := s.enter(id, q.Header.Get("X-Expect-Instance"))
	if !ok {
		h.Set("X-Not-Executed", "1")
		h.Set("X-Server-Load", s.load())

		if s.seen()[n].outcome == "misdirected" {
			w.WriteHeader(http.StatusMisdirectedRequest)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}

		return
	}

	if !s.await(q, n) {
		panic(http.ErrAbortHandler)
	}

	o := "cut by the caller"
	defer func() { s.leave(n, o) }()

	if s.keeps {
		q = q.WithContext(context.WithoutCancel(q.Context()))
	}

	if !s.wait(q, s.work) {
		panic(http.ErrAbortHandler)
	}

	h.Set("X-Response-Seal", "seal."+s.id+"."+id)
	h.Set("X-Server-Load", s.load())

	if events := eventsOf(q); events > 0 {
		s.stream(w, q, events)
	} else {
		f := fnv.New64a()
		_, _ = f.Write(b)
		_, _ = fmt.Fprintf(w, "%s %s %x", id, q.URL.Path, f.Sum64())
	}

	o = "answered"
}

// eventsOf returns how many events the answer to a request has; zero if it is no stream.
func eventsOf(q *http.Request) int {
	_, t, _ := strings.Cut(q.Header.Get("X-Token-Usage"), ",")
	n, _ := strconv.Atoi(t)

	return n
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

// stream sends the events after the one that the caller has.
func (s *server) stream(w http.ResponseWriter, q *http.Request, events int) {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))

	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)

	for i := last + 1; i <= events; i++ {
		if !s.wait(q, s.eventPause) || !s.wait(q, s.silentFor()) {
			panic(http.ErrAbortHandler)
		}

		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, q.Header.Get("X-Attempt-Id"), i)
		_ = http.NewResponseController(w).Flush() // The next wait notices that the caller has left.
	}
}

// silentFor returns how long the server makes no events from now on.
func (s *server) silentFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := time.Now()
	if n.Before(s.silentFrom) || n.After(s.silentTo) {
		return 0
	}

	return s.silentTo.Sub(n)
}

// wait waits for a time, and reports whether the caller is still there.
func (s *server) wait(q *http.Request, d time.Duration) bool {
	const step = 5 * time.Millisecond

	for b := time.Now(); time.Since(b) < d; {
		select {
		case <-q.Context().Done():
			return false
		case <-time.After(min(step, d-time.Since(b))):
		}
	}

	return true
}
