package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

// fakeQuarantine is an in-memory forwarder.Quarantine.
type fakeQuarantine struct {
	mu       sync.Mutex
	q        *quarantiner.Quarantiner
	served   int
	crashed  []discoverer.Name
	received []digester.Digest
	// trials is the number of calls of Admit whose returned function was not called yet.
	trials int
	// granted makes Admit permit quarantined calls, as trials.
	granted bool
}

func newQuarantine(crashes int) *fakeQuarantine {
	s := quarantiner.DefaultSettings()
	s.CrashThreshold, s.MinSeparation = crashes, 0

	return &fakeQuarantine{q: quarantiner.New(s)}
}

func (x *fakeQuarantine) Admit(_ context.Context, subjects []digester.Digest, _ time.Time) (quarantiner.Verdict, bool, func()) {
	x.mu.Lock()
	defer x.mu.Unlock()

	x.received = append(x.received, subjects[0])
	x.trials++

	var v quarantiner.Verdict

	for _, d := range subjects {
		if y := x.q.Check(time.Now(), d); y.Status >= v.Status {
			v = y
		}
	}

	return v, x.granted || v.Status != quarantiner.Quarantined, func() {
		x.mu.Lock()
		defer x.mu.Unlock()

		x.trials--
	}
}

func (x *fakeQuarantine) RecordCrash(subjects []digester.Digest, p discoverer.Name) quarantiner.Verdict {
	x.mu.Lock()
	defer x.mu.Unlock()

	x.crashed = append(x.crashed, p)

	var v quarantiner.Verdict
	for _, d := range subjects {
		v, _ = x.q.RecordCrash(time.Now(), d, p)
	}

	return v
}

func (x *fakeQuarantine) RecordServed(subjects []digester.Digest) {
	x.mu.Lock()
	defer x.mu.Unlock()

	x.served++

	for _, d := range subjects {
		x.q.RecordServed(d)
	}
}

// crashCount returns the number of crashes that were recorded.
func (x *fakeQuarantine) crashCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()

	return len(x.crashed)
}

func (x *fakeQuarantine) CauseOf(p discoverer.Name) digester.Digest {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.q.CauseOf(p)
}

// Guards against a call that its caller repeats and that crashes each target that runs it. After
// three crashes it must be refused at once, as not run and with a time to retry; other calls are
// served as before.
func TestCallThatCrashesTargetsIsRefused(t *testing.T) {
	for name, path := range map[string]string{"once": "/once/x", "idempotent": "/idempotent/x", "stream": "/stream/x", "resumable": "/resumable/x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var l []*target

			for range 6 {
				y := &target{}
				y.answer = func(n net.Conn, s received) {
					if s.body == "fatal" {
						y.refuseConnections()
						reset(n)

						return
					}

					answerOK(n, s)
				}
				l = append(l, y)
			}

			g := newGateway(t, l...)
			q := newQuarantine(3)
			g.forwarder.SetQuarantine(q)

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
			is.Equal(q.trials, 0)
			is.Equal(a.status, http.StatusServiceUnavailable)

			w, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(w >= 45 && w <= 75)

			is.Equal(g.call(t, http.MethodPost, "/idempotent/x", "other").status, http.StatusOK)
		})
	}
}

// Guards against broken connections that are taken for crashes. Only a crash of the target's
// process counts against a call; otherwise calls whose answers are lost would be refused.
func TestCrashDetection(t *testing.T) {
	for name, x := range map[string]struct {
		fault   string
		crashed bool
		crashes int
		// served is the number of calls that are recorded as served, one if the target survived the
		// call.
		served int
	}{
		"answered":                     {fault: "ok", served: 1},
		"refused":                      {fault: "notRun"},
		"misdirected":                  {fault: "misdirected"},
		"error answer":                 {fault: "error", served: 1},
		"connection reset":             {fault: "reset"},
		"connection closed":            {fault: "closed"},
		"answer cut short":             {fault: "short"},
		"invalid HTTP":                 {fault: "garbage"},
		"connection reset by a crash":  {fault: "reset", crashed: true, crashes: 1},
		"connection closed by a crash": {fault: "closed", crashed: true, crashes: 1},
		"answer cut short by a crash":  {fault: "short", crashed: true, crashes: 1},
		"answered before a crash":      {fault: "ok", crashed: true, served: 1},
		"unframed answer":              {fault: "unframed", served: 1},
		"unframed answer and a crash":  {fault: "unframed", crashed: true, crashes: 1},
		"refused before a crash":       {fault: "notRun", crashed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			y := &target{}
			y.answer = func(n net.Conn, s received) {
				if x.crashed {
					y.refuseConnections()
				}

				faults()[x.fault](n, s)
			}

			g := newGateway(t, y)
			q := newQuarantine(3)
			g.forwarder.SetQuarantine(q)
			g.call(t, http.MethodPost, "/once/", "x")

			is.Equal(len(q.crashed), x.crashes)
			is.Equal(q.served, x.served)

			for _, p := range q.crashed {
				is.Equal(p, g.state.Registry().Known["t0"].Key().Name())
			}
		})
	}
}

// Guards against a crash that is not detected because the targets that show whether its data centre is reachable have crashed as
// well, a moment before: what crashes one target after the other crashes more than it should.
func TestCrashBesideOtherCrashes(t *testing.T) {
	const (
		rounds  = 30
		targets = 12
		crashed = 4
	)

	is := is.New(t)

	for range rounds {
		l := make([]*target, targets)
		for n := range l {
			l[n] = &target{answer: answerOK}
		}

		l[0].answer = func(n net.Conn, _ received) {
			for _, y := range l[:crashed+1] {
				y.refuseConnections()
			}

			reset(n)
		}

		g := newGateway(t, l...)
		q := newQuarantine(3)
		g.forwarder.SetQuarantine(q)
		g.call(t, http.MethodPost, "/once/", "x")

		is.Equal(l[0].count(), 1)
		is.Equal(q.crashCount(), 1)
	}
}

// Guards against the trial of a quarantined call that crashes two targets: it is sent on to the second before this instance knows
// that the first has crashed, as with a delegate that detects it.
func TestTrialOfQuarantinedCallIsNotSentOn(t *testing.T) {
	for name, x := range map[string]struct {
		quarantined bool
		answer      func(n net.Conn, s received)
		want        int
	}{
		"quarantined, broken":  {true, func(n net.Conn, _ received) { reset(n) }, 1},
		"quarantined, not run": {true, faults()["notRun"], 2},
		"free, broken":         {false, func(n net.Conn, _ received) { reset(n) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := &target{answer: x.answer}, &target{answer: x.answer}
			g := newGateway(t, a, b)
			q := newQuarantine(1)
			q.granted = true
			g.forwarder.SetQuarantine(q)

			if x.quarantined {
				q.RecordCrash([]digester.Digest{digester.Of("customer-1", http.MethodPost, "/idempotent/x", []byte("y"))}, 1)
			}

			g.call(t, http.MethodPost, "/idempotent/x", "y")
			is.Equal(a.count()+b.count(), x.want)
		})
	}
}

// Guards against taking a network partition, which resets open connections and refuses new ones, for
// crashes. Seen from the data centre that is cut off, all other targets seem to have crashed, and the
// calls in flight at them would be quarantined.
func TestPartitionIsNotCrash(t *testing.T) {
	is := is.New(t)
	y, z := &target{}, &target{answer: answerOK}
	y.answer = func(n net.Conn, _ received) {
		y.refuseConnections()
		z.refuseConnections()
		reset(n)
	}

	g := newGateway(t, y, z)
	q := newQuarantine(3)
	g.forwarder.SetQuarantine(q)
	g.call(t, http.MethodPost, "/once/", "x")

	is.Equal(y.count(), 1)
	is.Equal(len(q.crashed), 0)
}

// Guards against a caller that disconnects, which closes its connection to the target, just as the
// target crashes. The broken connection is then no evidence of a crash.
func TestCallerDisconnectIsNotCrash(t *testing.T) {
	is := is.New(t)
	y := &target{}
	c, cancel := context.WithCancel(t.Context())
	y.answer = func(_ net.Conn, s received) {
		y.refuseConnections()
		cancel()
		<-s.closed
	}

	g := newGateway(t, y)
	q := newQuarantine(1)
	g.forwarder.SetQuarantine(q)
	g.callWith(t, c, http.MethodPost, "/once/", "x")
	g.Close() // Waits until the call has ended.

	is.Equal(len(q.crashed), 0)
}

// Guards against a call that escapes quarantine under another ID, with other headers, or by
// resuming a stream.
func TestCallDigest(t *testing.T) {
	for name, x := range map[string]struct {
		method, path, body string
		headers            []string
		same               bool
	}{
		"repeated":         {http.MethodPost, "/public/a?b=c", "x", nil, true},
		"another ID":       {http.MethodPost, "/public/a?b=c", "x", []string{"Id", "call-2"}, true},
		"resumed stream":   {http.MethodPost, "/public/a?b=c", "x", []string{"Last", "3"}, true},
		"another header":   {http.MethodPost, "/public/a?b=c", "x", []string{"Other", "3"}, true},
		"another method":   {http.MethodPut, "/public/a?b=c", "x", nil, false},
		"another path":     {http.MethodPost, "/public/b?b=c", "x", nil, false},
		"another query":    {http.MethodPost, "/public/a?b=d", "x", nil, false},
		"another body":     {http.MethodPost, "/public/a?b=c", "y", nil, false},
		"another customer": {http.MethodPost, "/once/a?b=c", "x", nil, false},
		"without a query":  {http.MethodPost, "/public/a", "x", nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGateway(t, &target{answer: answerOK})
			q := newQuarantine(3)
			g.forwarder.SetQuarantine(q)

			g.call(t, http.MethodPost, "/public/a?b=c", "x")
			g.call(t, x.method, x.path, x.body, x.headers...)

			is.Equal(len(q.received), 2)
			is.Equal(q.received[0] == q.received[1], x.same)
		})
	}
}

// Guards against a part of prompts that crashes targets in calls of which no two are alike. After three crashes each call with
// it must be refused at once; calls with the other parts of the same prompts are served, and so are those that have it last.
func TestPartThatCrashesTargetsIsRefused(t *testing.T) {
	is := is.New(t)

	var l []*target

	for range 6 {
		y := &target{}
		y.answer = func(n net.Conn, s received) {
			if strings.HasPrefix(s.header.Get("Prompt"), "fatal,") || strings.Contains(s.header.Get("Prompt"), ",fatal,") {
				y.refuseConnections()
				reset(n)

				return
			}

			answerOK(n, s)
		}
		l = append(l, y)
	}

	g := newGateway(t, l...)
	q := newQuarantine(3)
	g.forwarder.SetQuarantine(q)

	for i := range 10 {
		n := strconv.Itoa(i)
		g.call(t, http.MethodPost, "/once/"+n, n, "Id", "call-"+n, "Prompt", "a,fatal,"+n)
		is.Equal(g.call(t, http.MethodPost, "/once/"+n, "sound "+n, "Id", "sound-"+n, "Prompt", "a,b,"+n).status, http.StatusOK)
	}

	is.Equal(q.crashCount(), 3)
	is.Equal(g.call(t, http.MethodPost, "/once/x", "x", "Prompt", "fatal,y").status, http.StatusServiceUnavailable)
	is.Equal(g.call(t, http.MethodPost, "/once/x", "x", "Prompt", "a,fatal").status, http.StatusOK)

	g.Close() // Waits until the calls have ended.
	is.Equal(q.trials, 0)
}

// Guards against a part that is taken for harmless because a target has refused a call with it for another reason, with an error
// answer.
func TestErrorAnswerDoesNotClearParts(t *testing.T) {
	is := is.New(t)
	g := newGateway(t, &target{answer: faults()["error"]})
	q := newQuarantine(3)
	g.forwarder.SetQuarantine(q)

	p, d := digester.OfPart("a"), digester.Digest(1)
	q.RecordCrash([]digester.Digest{p, d}, 1)
	g.call(t, http.MethodPost, "/once/x", "x", "Prompt", "a,b")

	g.Close() // Waits until the call has ended.
	is.Equal(q.q.Check(time.Now(), p).Status, quarantiner.Suspected)
}

// Guards against an answer that has neither a length nor chunks and looks complete because the process of the target ended in
// the middle of it. Its caller would take a part for the whole, and the call that crashed the target would be cleared.
func TestUnframedAnswerEndedByCrash(t *testing.T) {
	for name, x := range map[string]struct {
		path, body string
		crashed    bool
		// want is the body that the caller has, and complete whether the answer looks complete to it.
		want     string
		complete bool
	}{
		"answer":                {path: "/once/x", body: "whole", want: "whole", complete: true},
		"answer, crash":         {path: "/once/x", body: "who", crashed: true, complete: true},
		"stream":                {path: "/stream/x", body: event(1) + event(2), want: event(1) + event(2), complete: true},
		"stream, crash":         {path: "/stream/x", body: event(1) + event(2), crashed: true, want: event(1) + event(2)},
		"stream, in an event":   {path: "/stream/x", body: event(1) + "id: 2", want: event(1)},
		"resumable, crash":      {path: "/resumable/x", body: event(1), crashed: true, want: event(1)},
		"stream without events": {path: "/stream/x", crashed: true, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			y := &target{}
			y.answer = func(n net.Conn, s received) {
				if x.crashed {
					y.refuseConnections()
				}

				_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\n\r\n%s", s.header.Get("Id"), s.target, x.body)
				_ = n.Close()
			}

			g := newGateway(t, y)
			q := newQuarantine(3)
			g.forwarder.SetQuarantine(q)
			a := g.call(t, http.MethodPost, x.path, "x")

			if x.want == "" {
				i.Equal(a.status, http.StatusBadGateway)
			} else {
				i.Equal(a.body, x.want)
			}

			i.Equal(a.err == nil, x.complete)
			i.Equal(q.crashCount() > 0, x.crashed)
		})
	}
}
