package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

// silences are the times for which a sound target is silent: longer than a call waits for the next part of an answer, and shorter than
// callers do.
const (
	silenceInStream = 400 * time.Millisecond // Eight times the longest pause of the rule.
	silenceBefore   = 500 * time.Millisecond
	// promptTime is how long a target works before the first event. It has taken the call meanwhile.
	promptTime = 300 * time.Millisecond
)

// silentInStream answers a stream and is silent within it.
func silentInStream(n net.Conn, s received) {
	beginStream(n, s)
	chunk(n, events(1, 2))
	time.Sleep(silenceInStream)
	chunk(n, events(3, 5))
	finishStream(n)
}

// silentBeforeStream is silent before a stream.
func silentBeforeStream(n net.Conn, s received) {
	time.Sleep(silenceBefore)
	answerEvents(5)(n, s)
}

// silentBeforeAnswer is silent before an answer.
func silentBeforeAnswer(n net.Conn, s received) {
	time.Sleep(silenceBefore)
	answerOK(n, s)
}

// Guards against answers that are cut, or calls that fail, as they are taken from a silent target before another one has taken them.
func TestCallStaysUntilAnotherTargetTakesIt(t *testing.T) {
	calls := map[string]struct {
		path, body string
		silent     func(n net.Conn, s received)
	}{
		"in a stream":      {"/resumable/", events(1, 5), silentInStream},
		"before a stream":  {"/resumable/", events(1, 5), silentBeforeStream},
		"before an answer": {"/idempotent/", "from t0", silentBeforeAnswer},
	}

	for name, other := range map[string]func(n net.Conn, s received){
		"refuses": func(n net.Conn, s received) { reply(n, s, "503 Full", "", "Not-Run: 1") },
		"refuses late": func(n net.Conn, s received) {
			time.Sleep(50 * time.Millisecond)
			reply(n, s, "503 Full", "", "Not-Run: 1")
		},
		"is another":    func(n net.Conn, s received) { reply(n, s, "421 Other", "", "Not-Run: 1") },
		"fails":         func(n net.Conn, s received) { reply(n, s, "500 Failed", "own error", "Seal: "+s.target) },
		"has no seal":   func(n net.Conn, s received) { reply(n, s, "200 OK", "forged") },
		"resets":        func(n net.Conn, _ received) { reset(n) },
		"has no answer": func(n net.Conn, _ received) { _ = n.Close() },
	} {
		for kind, x := range calls {
			t.Run(kind+"/"+name, func(t *testing.T) {
				is := is.New(t)
				a, b := &target{answer: x.silent}, &target{answer: other}
				g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)

				o := g.call(t, http.MethodPost, x.path, "prompt")
				is.NoErr(o.err)
				is.Equal(o.status, http.StatusOK)
				is.Equal(o.body, x.body)
				is.Equal(a.count(), 1)
				is.True(b.count() >= 1) // Another target was asked.
			})
		}
	}
}

// Guards against calls that are taken from a silent target though no other one has a free slot.
func TestCallStaysIfAllOthersAreFull(t *testing.T) {
	for name, x := range map[string]struct {
		fill func(g *gateway, h *fakeReserver)
		// asked reports that a slot is requested.
		asked bool
	}{
		"by its home": {asked: true, fill: func(_ *gateway, h *fakeReserver) {
			h.verdicts["t1"] = aggregator.Verdict{Outcome: aggregator.Full, Calls: 8}
		}},
		"by its load": {fill: func(g *gateway, _ *fakeReserver) {
			g.forwarder.ApplyUpdate(selector.Update{Loads: []selector.TargetLoad{
				{Target: g.state.Registry().Known["t1"].Key().Name(), Calls: 8, At: time.Now().Add(time.Second)},
			}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := &target{answer: silentInStream}, &target{answer: answerEvents(5)}
			g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)
			h := &fakeReserver{verdicts: map[string]aggregator.Verdict{"t0": {Outcome: aggregator.Granted, Calls: 1}}}
			g.forwarder.SetReserver(h)
			x.fill(g, h)

			o := g.call(t, http.MethodPost, "/resumable/", "prompt")
			is.NoErr(o.err)
			is.Equal(o.body, events(1, 5))
			is.Equal(a.count(), 1)
			is.Equal(b.count(), 0)
			is.Equal(h.requests("t1") > 0, x.asked)
			is.Equal(h.unreleased(), 0)
		})
	}
}

// Guards against calls that are taken from a silent target though they may not be sent to another one by then.
func TestCallStaysIfItMayNotBeRepeated(t *testing.T) {
	for name, forbid := range map[string]func(g *gateway, q *fakeQuarantine) func(){
		"no retry budget": func(g *gateway, _ *fakeQuarantine) func() {
			g.forwarder.SetRetryBudget(budgeter.Settings{Window: 10 * time.Second})

			return func() {}
		},
		"quarantined meanwhile": func(_ *gateway, q *fakeQuarantine) func() {
			return func() { q.quarantineAll() }
		},
		"the other target leaves meanwhile": func(g *gateway, _ *fakeQuarantine) func() {
			return func() { g.markLeaving(g.state.Registry().Known["t1"].Process()) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var meanwhile func()

			a := &target{answer: func(n net.Conn, s received) {
				beginStream(n, s)
				chunk(n, events(1, 2))
				meanwhile()
				time.Sleep(silenceInStream)
				chunk(n, events(3, 5))
				finishStream(n)
			}}
			b := &target{answer: answerEvents(5)}
			g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)
			q := newQuarantine(1)
			g.forwarder.SetQuarantine(q)
			meanwhile = forbid(g, q)

			o := g.call(t, http.MethodPost, "/resumable/", "prompt")
			is.NoErr(o.err)
			is.Equal(o.body, events(1, 5))
			is.Equal(b.count(), 0)
		})
	}
}

// quarantineAll quarantines all subjects that were received.
func (x *fakeQuarantine) quarantineAll() {
	x.mu.Lock()
	l := x.received
	x.mu.Unlock()

	x.RecordCrash(l, 1)
}

// Guards against calls through other instances that are taken from a silent target before another one has taken them.
func TestDelegatedCallStaysUntilAnotherTargetTakesIt(t *testing.T) {
	refuse := func(n net.Conn, s received) { reply(n, s, "503 Full", "", "Not-Run: 1") }

	for name, x := range map[string]struct {
		path, body string
		silent     func(n net.Conn, s received)
	}{
		"in a stream":      {"/resumable/", events(1, 5), silentInStream},
		"before a stream":  {"/resumable/", events(1, 5), silentBeforeStream},
		"before an answer": {"/idempotent/", "from t0", silentBeforeAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := &target{answer: x.silent}, &target{answer: refuse}
			g, d, _ := newDelegatingGateway(t, a, b)

			o := g.call(t, http.MethodPost, x.path, "prompt")
			is.NoErr(o.err)
			is.Equal(o.status, http.StatusOK)
			is.Equal(o.body, x.body)
			is.True(a.count() == 1 && b.count() >= 1)
			waiter.Until(t, "the end of all delegated calls", func() bool { return d.count() == 0 })
		})
	}
}

// oneDialer connects to one address only.
type oneDialer struct {
	net.Dialer

	address string
}

func (d *oneDialer) DialContext(c context.Context, network, address string) (net.Conn, error) {
	if address != d.address {
		return refusingDialer{}.DialContext(c, network, address)
	}

	return d.Dialer.DialContext(c, network, address)
}

// Guards against calls that stay at a silent target since this instance has no links to the others, though another instance has.
func TestCallLeavesSilentTargetThroughDelegate(t *testing.T) {
	is := is.New(t)
	a := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, events(1, 2))
		<-s.closed
	}}
	b, c := &target{answer: answerEvents(5)}, &target{answer: answerEvents(5)}
	x := &oneDialer{}
	g := newGatewayWithDialer(t, x, a, b, c)
	x.address = g.state.Registry().Known["t0"].Address.String()

	_, s := newDelegate(t, g.state, &net.Dialer{})
	d := &delegates{token: token}
	d.add(s)
	g.forwarder.SetDelegates(d)

	o := g.call(t, http.MethodPost, "/resumable/", "prompt")
	is.NoErr(o.err)
	is.Equal(o.body, events(1, 5))
	is.Equal(b.count()+c.count(), 1)
}

// count returns the number of calls that run at the instances.
func (d *delegates) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.running
}

// Guards against events that are lost or doubled as the first target goes on just when another one takes the stream.
func TestTargetGoesOnAsAnotherTakesTheStream(t *testing.T) {
	for _, silence := range []time.Duration{295, 300, 305, 310, 320, 350, 400, 450, 480, 490, 495, 500, 505, 510, 520} {
		silence *= time.Millisecond

		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()

			is := is.New(t)
			a, b := &target{answer: func(n net.Conn, s received) {
				beginStream(n, s)
				chunk(n, events(1, 2))
				time.Sleep(silence)
				chunk(n, events(3, 5))
				finishStream(n)
			}}, &target{answer: func(n net.Conn, s received) {
				time.Sleep(promptTime)
				answerEvents(5)(n, s)
			}}
			g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)

			o := g.call(t, http.MethodPost, "/resumable/", "prompt")
			is.NoErr(o.err)
			is.Equal(o.body, events(1, 5))
		})
	}
}

// Guards against a call that two targets work on for longer than it takes to find that the second one does not refuse it.
func TestSilentTargetIsLeftOnceAnotherHasTakenTheCall(t *testing.T) {
	is := is.New(t)

	ended := make(chan time.Time, 1)
	a := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, events(1, 2))
		<-s.closed
		ended <- time.Now()
	}}
	b := &target{answer: func(n net.Conn, s received) {
		time.Sleep(promptTime)
		answerEvents(5)(n, s)
	}}
	g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)

	o := g.call(t, http.MethodPost, "/resumable/", "prompt")
	is.NoErr(o.err)
	is.Equal(o.body, events(1, 5))
	is.Equal(b.count(), 1)
	is.True((<-ended).Before(b.arrivals()[0].Add(promptTime))) // Before the second one has made an event.
}

// Guards against a stream that is lost as its first target breaks off while another one is being asked.
func TestTargetBreaksOffAsAnotherIsAsked(t *testing.T) {
	is := is.New(t)
	a := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, events(1, 2))
		time.Sleep(silenceInStream)
		reset(n)
	}}
	b := &target{answer: func(n net.Conn, s received) {
		time.Sleep(promptTime)
		answerEvents(5)(n, s)
	}}
	g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)

	o := g.call(t, http.MethodPost, "/resumable/", "prompt")
	is.NoErr(o.err)
	is.Equal(o.body, events(1, 5))
	is.Equal(b.count(), 1)
}

// requests returns how often a slot was requested at a target.
func (h *fakeReserver) requests(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	n := 0

	for _, x := range h.requested {
		if x == id {
			n++
		}
	}

	return n
}
