package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/selector"
)

// leftAlone returns the IDs of the targets that are left alone.
func (g *gateway) leftAlone() []string {
	o := []string{}

	for _, v := range g.forwarder.Views() {
		if v.Excluded {
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

			fresh := []selector.View{{Target: g.facts.Roster().Known["t0"]}, {Target: g.facts.Roster().Known["t1"]}}
			is.Equal(g.forwarder.Views(), fresh) // Nothing runs at the new one.

			close(restarted)
			w.Wait()

			is.Equal(a.status, x.status)
			is.Equal(y.count()+z.count(), 1)
			is.Equal(g.forwarder.Views(), fresh)
		})
	}
}

// dialled remembers the connections that it made.
type dialled struct {
	net.Dialer

	mu    sync.Mutex
	conns []*watched
}

// watched tells when its connection is closed on this side.
type watched struct {
	net.Conn

	closed chan struct{}
	once   sync.Once
}

func (n *watched) Close() error {
	n.once.Do(func() { close(n.closed) })

	return n.Conn.Close()
}

func (d *dialled) DialContext(c context.Context, network, address string) (net.Conn, error) {
	n, err := d.Dialer.DialContext(c, network, address)
	if err != nil {
		return nil, err
	}

	x := &watched{Conn: n, closed: make(chan struct{})}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.conns = append(d.conns, x)

	return x, nil
}

func (d *dialled) made() []*watched {
	d.mu.Lock()
	defer d.mu.Unlock()

	return slices.Clone(d.conns)
}

// kept says that a connection is still open.
func kept(n *watched) bool {
	select {
	case <-n.closed:
		return false
	default:
		return true
	}
}

// A target crashed with its machine's network and started again under its ID at its address.
// No end of the old connections came through: a call on one of those that were kept waits
// for an answer until its time is up. They are closed when the list shows the new process,
// also one that a call still uses, once it is done.
func TestKeptConnectionsEndWithTheirProcess(t *testing.T) {
	for name, x := range map[string]struct {
		change func(g *gateway)
		kept   bool
	}{
		"started again": {func(g *gateway) { g.list(g.restarted("t0")) }, false},
		"left":          {func(g *gateway) { g.enroller.Remove(time.Unix(1000, 0), "t0"); g.list() }, false},
		"a heartbeat":   {func(g *gateway) { g.list(*g.facts.Roster().Known["t0"]) }, true},
		"drains": {func(g *gateway) {
			y := *g.facts.Roster().Known["t0"]
			y.Draining = true
			g.list(y)
		}, true},
		"another started again": {func(g *gateway) { g.list(g.restarted("t1")) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &dialled{}
			reached, changed := make(chan struct{}), make(chan struct{})
			g := frontBy(t, d, &target{answer: func(n net.Conn, s seen) {
				if s.path == "/again/held" {
					close(reached)
					<-changed
				}

				ok(n, s)
			}}, &target{answer: ok})

			is.Equal(g.call(t, http.MethodGet, "/again/", "").body, "from t0")

			l := d.made()
			is.Equal(len(l), 1)

			var w sync.WaitGroup

			w.Go(func() { is.Equal(g.call(t, http.MethodGet, "/again/held", "").body, "from t0") }) // On the kept one.
			<-reached
			is.Equal(len(d.made()), 1)
			x.change(g)
			is.True(kept(l[0])) // A call uses it.
			close(changed)
			w.Wait()

			is.Equal(g.call(t, http.MethodGet, "/again/", "").status, http.StatusOK)

			if !x.kept {
				is.Equal(len(d.made()), 2)
				<-l[0].closed

				return
			}

			is.True(kept(l[0]))
		})
	}
}

// As above, for a connection that is idle when the list changes.
func TestIdleConnectionsEndWithTheirProcess(t *testing.T) {
	is := is.New(t)
	d := &dialled{}
	g := frontBy(t, d, &target{answer: ok}, &target{answer: ok})

	is.Equal(g.call(t, http.MethodGet, "/again/", "").body, "from t0")
	g.list(g.restarted("t0"))
	is.Equal(g.call(t, http.MethodGet, "/again/", "").body, "from t0")
	is.Equal(len(d.made()), 2) // A new one, to the new process.
	<-d.made()[0].closed
}
