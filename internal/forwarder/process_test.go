package forwarder_test

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/chooser"
	"github.com/auburntray/auburntray/internal/enroller"
)

// leftAlone returns the IDs of the targets that are left alone.
func (g *gateway) leftAlone() []string {
	o := []string{}

	for _, v := range g.forwarder.Views() {
		if v.Left {
			o = append(o, v.Target.ID)
		}
	}

	return o
}

// One instance meets another target at an address and tells the others. By the time they
// hear of it the list has shown that the target started again, and the new process was left
// alone for ten seconds by all but one of them.
func TestAnothersWordIsOfOneProcess(t *testing.T) {
	is := is.New(t)
	g := front(t, &target{answer: ok}, &target{answer: ok})

	var told []enroller.Process

	g.forwarder.OnGone(func(p enroller.Process) { told = append(told, p) })

	old := g.facts.Roster().Known["t0"].Process()
	g.list(g.restarted("t0"))

	g.forwarder.LearnGone([]enroller.Process{old, {ID: "t0"}, {ID: "unknown"}})
	is.Equal(g.leftAlone(), []string{})

	g.forwarder.LearnGone([]enroller.Process{g.facts.Roster().Known["t0"].Process()})
	is.Equal(g.leftAlone(), []string{"t0"})
	is.Equal(len(told), 0) // Whoever said so told all.

	// It starts once more and is back at once.
	g.list(g.restarted("t0"))
	is.Equal(g.leftAlone(), []string{})
}

func TestOwnWordNamesTheProcess(t *testing.T) {
	is := is.New(t)
	g := front(t, &target{answer: func(n net.Conn, s seen) {
		reply(n, s, "421 Misdirected Request", "", "Not-Run: 1")
	}}, &target{answer: ok})

	var told []enroller.Process

	g.forwarder.OnGone(func(p enroller.Process) { told = append(told, p) })

	is.Equal(g.call(t, http.MethodGet, "/again/", "").status, http.StatusOK)
	is.Equal(told, []enroller.Process{g.facts.Roster().Known["t0"].Process()})
}

// A target starts again while calls run at its earlier process. Each ran, or may have run,
// there, and is not sent again; how it ended is not held against the new process.
func TestCallsInProgressAtTheEarlierProcess(t *testing.T) {
	for name, x := range map[string]struct {
		path   string
		end    func(n net.Conn, s seen)
		status int
	}{
		"answers in full": {"/once/", ok, http.StatusOK},
		"breaks":          {"/once/", func(n net.Conn, _ seen) { reset(n) }, http.StatusBadGateway},
		"fails": {"/once/", func(n net.Conn, s seen) {
			reply(n, s, "500 Internal Server Error", "")
		}, http.StatusInternalServerError},
		"is another by now": {"/open/", func(n net.Conn, s seen) {
			reply(n, s, "421 Misdirected Request", "", "Not-Run: 1")
		}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reached, restarted := make(chan struct{}), make(chan struct{})
			y := &target{answer: func(n net.Conn, s seen) {
				close(reached)
				<-restarted
				x.end(n, s)
			}}
			z := &target{answer: ok}
			g := front(t, y, z)

			var w sync.WaitGroup

			var a answer

			w.Go(func() { a = g.call(t, http.MethodPost, x.path, "") })

			<-reached
			is.Equal(g.forwarder.Views()[0].Load, 1.0)
			g.list(g.restarted("t0"))

			fresh := []chooser.View{{Target: g.facts.Roster().Known["t0"]}, {Target: g.facts.Roster().Known["t1"]}}
			is.Equal(g.forwarder.Views(), fresh) // Nothing runs at the new one.

			close(restarted)
			w.Wait()

			is.Equal(a.status, x.status)
			is.Equal(y.count()+z.count(), 1)
			is.Equal(g.forwarder.Views(), fresh)
		})
	}
}
