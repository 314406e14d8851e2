package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

// quarantine remembers in memory what it was told.
type quarantine struct {
	mu     sync.Mutex
	q      *quarantiner.Quarantiner
	served int
	ended  []enroller.Name
	came   []digester.Digest
	// out is how many sendings were let out and are not over.
	out int
}

func newQuarantine(ends int) *quarantine {
	s := quarantiner.DefaultSettings()
	s.Ends, s.Apart = ends, 0

	return &quarantine{q: quarantiner.New(s)}
}

func (x *quarantine) Try(_ context.Context, d digester.Digest, _ time.Time) (quarantiner.Verdict, bool, func()) {
	x.mu.Lock()
	defer x.mu.Unlock()

	x.came = append(x.came, d)
	v := x.q.Come(time.Now(), d)
	x.out++

	return v, v.Standing != quarantiner.Held, func() {
		x.mu.Lock()
		defer x.mu.Unlock()

		x.out--
	}
}

func (x *quarantine) Ended(d digester.Digest, p enroller.Name) quarantiner.Verdict {
	x.mu.Lock()
	defer x.mu.Unlock()

	x.ended = append(x.ended, p)
	v, _ := x.q.Ended(time.Now(), d, p)

	return v
}

func (x *quarantine) Served(d digester.Digest) {
	x.mu.Lock()
	defer x.mu.Unlock()

	x.served++
	x.q.Served(d)
}

// A caller sends a call that ends each target that begins to run it again and again. After
// three targets have ended under it, it is refused at once, with the true word that it was not
// run and when to come back; other calls are served as before.
func TestCallThatEndsTargetsIsRefused(t *testing.T) {
	for name, path := range map[string]string{"once": "/once/x", "idempotent": "/again/x", "stream": "/stream/x", "resumable": "/resumable/x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var l []*target

			for range 6 {
				y := &target{}
				y.answer = func(n net.Conn, s seen) {
					if s.body == "fatal" {
						y.end()
						reset(n)

						return
					}

					ok(n, s)
				}
				l = append(l, y)
			}

			g := front(t, l...)
			q := newQuarantine(3)
			g.forwarder.UseQuarantine(q)

			reached := func() (n int) {
				for _, y := range l {
					n += y.count()
				}

				return n
			}

			var a answer
			for i := range 10 {
				a = g.call(t, http.MethodPost, path, "fatal", "Id", "call-"+strconv.Itoa(i))
			}

			is.Equal(reached(), 3)
			is.Equal(q.out, 0)
			is.Equal(a.status, http.StatusServiceUnavailable)

			w, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(w >= 45 && w <= 75)

			is.Equal(g.call(t, http.MethodPost, "/again/x", "other").status, http.StatusOK)
		})
	}
}

// A connection to a target breaks. Only when the target's process is gone is that held against
// the call: a target that goes on has survived it, and taken for an end, calls whose answers
// get lost would be refused.
func TestWhatCountsAsAnEnd(t *testing.T) {
	for name, x := range map[string]struct {
		fault string
		gone  bool
		ends  int
		// served says that the call did its target no harm.
		served int
	}{
		"answered":                     {fault: "ok", served: 1},
		"turned away":                  {fault: "notRun"},
		"another process":              {fault: "moved"},
		"an error":                     {fault: "error", served: 1},
		"reset":                        {fault: "reset"},
		"closed":                       {fault: "closed"},
		"cut short":                    {fault: "short"},
		"no answer in the protocol":    {fault: "garbage"},
		"reset, and gone":              {fault: "reset", gone: true, ends: 1},
		"closed, and gone":             {fault: "closed", gone: true, ends: 1},
		"cut short, and gone":          {fault: "short", gone: true, ends: 1},
		"answered, and gone after it":  {fault: "ok", gone: true, served: 1},
		"turned away by one that goes": {fault: "notRun", gone: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			y := &target{}
			y.answer = func(n net.Conn, s seen) {
				if x.gone {
					y.end()
				}

				faults()[x.fault](n, s)
			}

			g := front(t, y)
			q := newQuarantine(3)
			g.forwarder.UseQuarantine(q)
			g.call(t, http.MethodPost, "/once/", "x")

			is.Equal(len(q.ended), x.ends)
			is.Equal(q.served, x.served)

			for _, p := range q.ended {
				is.Equal(p, g.facts.Roster().Known["t0"].Key().Name())
			}
		})
	}
}

// A data centre is cut off, and the cut resets what is open and refuses what is new. Seen from
// there all targets elsewhere ended under the calls that were in flight, which would be held back.
func TestCutThatRefusesIsNoEnd(t *testing.T) {
	is := is.New(t)
	y, z := &target{}, &target{answer: ok}
	y.answer = func(n net.Conn, _ seen) {
		y.end()
		z.end()
		reset(n)
	}

	g := front(t, y, z)
	q := newQuarantine(3)
	g.forwarder.UseQuarantine(q)
	g.call(t, http.MethodPost, "/once/", "x")

	is.Equal(y.count(), 1)
	is.Equal(len(q.ended), 0)
}

// A caller leaves, which closes its connection to the target, just as the target ends. What
// broke there is the caller's doing and no sign of an end.
func TestCallersThatLeaveAreNoSign(t *testing.T) {
	is := is.New(t)
	y := &target{}
	c, leave := context.WithCancel(t.Context())
	y.answer = func(_ net.Conn, s seen) {
		y.end()
		leave()
		<-s.gone
	}

	g := front(t, y)
	q := newQuarantine(1)
	g.forwarder.UseQuarantine(q)
	g.callWith(t, c, http.MethodPost, "/once/", "x")
	g.Close() // Waits for the call's end.

	is.Equal(len(q.ended), 0)
}

// The same call comes under another ID, with other headers, or going on with a stream: it is
// known for the same.
func TestTheSameCallIsKnown(t *testing.T) {
	for name, x := range map[string]struct {
		method, path, body string
		headers            []string
		same               bool
	}{
		"again":           {http.MethodPost, "/open/a?b=c", "x", nil, true},
		"another ID":      {http.MethodPost, "/open/a?b=c", "x", []string{"Id", "call-2"}, true},
		"goes on":         {http.MethodPost, "/open/a?b=c", "x", []string{"Last", "3"}, true},
		"another header":  {http.MethodPost, "/open/a?b=c", "x", []string{"Other", "3"}, true},
		"another method":  {http.MethodPut, "/open/a?b=c", "x", nil, false},
		"another path":    {http.MethodPost, "/open/b?b=c", "x", nil, false},
		"another query":   {http.MethodPost, "/open/a?b=d", "x", nil, false},
		"another body":    {http.MethodPost, "/open/a?b=c", "y", nil, false},
		"another's":       {http.MethodPost, "/once/a?b=c", "x", nil, false},
		"without a query": {http.MethodPost, "/open/a", "x", nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := front(t, &target{answer: ok})
			q := newQuarantine(3)
			g.forwarder.UseQuarantine(q)

			g.call(t, http.MethodPost, "/open/a?b=c", "x")
			g.call(t, x.method, x.path, x.body, x.headers...)

			is.Equal(len(q.came), 2)
			is.Equal(q.came[0] == q.came[1], x.same)
		})
	}
}
