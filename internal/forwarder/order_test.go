package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stream with an event that is missing or comes twice because its target goes on elsewhere than after the last event.
func TestResumedStreamContinuesExactly(t *testing.T) {
	for name, x := range map[string]struct {
		last string // What the caller has.
		sent string // What the target answers.
		want string
		ok   bool
	}{
		"next event":                {"3", event(4) + event(5), events(4, 5), true},
		"event that the caller has": {"3", event(3) + event(4), "", false},
		"earlier event":             {"3", event(1), "", false},
		"skipped event":             {"3", event(5), "", false},
		"zero":                      {"0", event(1), event(1), true},
		"skipped within":            {"3", event(4) + event(6), event(4), false},
		"twice within":              {"3", event(4) + event(4), event(4), false},
		"no number within":          {"3", event(4) + "id: x\n\n", event(4), false},
		"signed number within":      {"3", event(4) + "id: +6\n\n", event(4), false},
		"malformed by caller":       {"x", event(1) + event(3), event(1), false},
		"nothing left":              {"5", "", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := func(n net.Conn, s received) {
				beginStream(n, s)

				if x.sent != "" {
					chunk(n, x.sent)
				}

				finishStream(n)
			}
			g := newGatewayWithDialer(t, &unboundedDialer{}, &target{answer: f})

			o := g.call(t, http.MethodPost, "/resumable/x", "x", "Last", x.last)
			i.Equal(o.err == nil && o.status == http.StatusOK, x.ok)

			if o.status == http.StatusOK {
				i.Equal(o.body, x.want)
			}
		})
	}
}

// Guards against an attempt that is abandoned as slow and whose events are relayed beside those of the next one.
func TestAbandonedAttemptRelaysNothing(t *testing.T) {
	i := is.New(t)
	a := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, event(1)+event(2))
		time.Sleep(400 * time.Millisecond) // Longer than six times the longest pause.
		chunk(n, event(3)+event(4)+event(5))
		finishStream(n)
	}}
	b := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, event(3))
		time.Sleep(150 * time.Millisecond)
		chunk(n, events(4, 5))
		finishStream(n)
	}}
	g := newGatewayWithDialer(t, &unboundedDialer{}, a, b)

	o := g.call(t, http.MethodPost, "/resumable/x", "x")
	i.NoErr(o.err)
	i.Equal(o.body, events(1, 5))
	i.Equal(b.calls[0].header.Get("Last"), "2")
}

// Guards against an attempt of a stream at a process that was not selected: each states the process, those that go on too.
func TestEachAttemptStatesItsProcess(t *testing.T) {
	for route, delegated := range map[string]bool{"direct": false, "through another instance": true} {
		t.Run(route, func(t *testing.T) {
			i := is.New(t)

			var l []*target
			for range 3 {
				l = append(l, &target{answer: breakAfterTwo})
			}

			var g *gateway
			if delegated {
				g, _, _ = newDelegatingGateway(t, l...)
			} else {
				g = newGatewayWithDialer(t, &unboundedDialer{}, l...)
			}

			o := g.call(t, http.MethodPost, "/resumable/x", "x", "Incarnation", "another")
			i.NoErr(o.err)
			i.Equal(o.body, events(1, 5))

			n := 0

			for _, y := range l {
				for _, s := range y.calls {
					i.Equal(s.header["Incarnation"], []string{y.id})

					n++
				}
			}

			i.Equal(n, 2)
		})
	}
}

// reuseDialer counts dials.
type reuseDialer struct {
	unboundedDialer

	dials int
}

func (d *reuseDialer) DialContext(c context.Context, network, address string) (net.Conn, error) {
	d.dials++

	return d.unboundedDialer.DialContext(c, network, address)
}

// Guards against events of an earlier call, in an extra answer on a kept connection, in the stream of the next call.
func TestExtraAnswerOnKeptConnection(t *testing.T) {
	i := is.New(t)
	d := &reuseDialer{}
	a := &target{answer: func(n net.Conn, s received) {
		if s.header.Get("Id") == "call-2" {
			s.header.Set("Id", "call-1") // The extra answer arrives in place of that to the second call.
		}

		answerEvents(3)(n, s)
	}}
	b := &target{answer: func(n net.Conn, s received) {
		beginStream(n, s)
		chunk(n, fmt.Sprintf("id: 1\ndata: %s\n\n", s.header.Get("Id")))
		finishStream(n)
	}}
	g := newGatewayWithDialer(t, d, a, b)

	i.Equal(g.call(t, http.MethodPost, "/resumable/x", "x").body, events(1, 3))
	i.Equal(g.call(t, http.MethodPost, "/resumable/x", "x", "Id", "call-2").body, "id: 1\ndata: call-2\n\n")
	i.Equal(a.count(), 2)
	i.Equal(d.dials, 2) // The second call went out on the connection of the first one, and was repeated on another.
}
