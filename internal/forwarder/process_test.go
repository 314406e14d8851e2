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

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

// excluded returns the IDs of the excluded targets.
func (g *gateway) excluded() []string {
	o := []string{}

	for _, v := range g.forwarder.TargetStates() {
		if v.Excluded {
			o = append(o, v.Target.ID)
		}
	}

	return o
}

// Guards against excluding the new process of a restarted target. An instance finds another process
// at a target's address and notifies the others; by the time they receive this, the list shows that
// the target has restarted. The new process was excluded for ten seconds by all other instances.
func TestGoneReportConcernsOneProcess(t *testing.T) {
	is := is.New(t)
	g := newGateway(t, &target{answer: answerOK}, &target{answer: answerOK})

	var notified []discoverer.Process

	g.forwarder.OnGone(func(p discoverer.Process) { notified = append(notified, p) })

	old := g.state.Registry().Known["t0"].Process()
	g.setTargets(g.restarted("t0"))

	g.forwarder.MarkGone([]discoverer.Process{old, {ID: "t0"}, {ID: "unknown"}})
	is.Equal(g.excluded(), []string{})

	g.forwarder.MarkGone([]discoverer.Process{g.state.Registry().Known["t0"].Process()})
	is.Equal(g.excluded(), []string{"t0"})
	is.Equal(len(notified), 0) // The reporting instance has notified all others.

	// The target restarts once more and is readmitted at once.
	g.setTargets(g.restarted("t0"))
	is.Equal(g.excluded(), []string{})
}

func TestGoneNotificationNamesTheProcess(t *testing.T) {
	is := is.New(t)
	g := newGateway(t, &target{answer: func(n net.Conn, s received) {
		reply(n, s, "421 Misdirected Request", "", "Not-Run: 1")
	}}, &target{answer: answerOK})

	var notified []discoverer.Process

	g.forwarder.OnGone(func(p discoverer.Process) { notified = append(notified, p) })

	is.Equal(g.call(t, http.MethodGet, "/idempotent/", "").status, http.StatusOK)
	is.Equal(notified, []discoverer.Process{g.state.Registry().Known["t0"].Process()})
}

// Guards against calls that run at a target while it restarts. Each of them ran, or may have run,
// at the earlier process and must not be sent again; how it ends must not affect the health status
// of the new process.
func TestCallsInProgressAtReplacedProcess(t *testing.T) {
	for name, x := range map[string]struct {
		path   string
		end    func(n net.Conn, s received)
		status int
	}{
		"full answer":       {"/once/", answerOK, http.StatusOK},
		"broken connection": {"/once/", func(n net.Conn, _ received) { reset(n) }, http.StatusBadGateway},
		"target error": {"/once/", func(n net.Conn, s received) {
			reply(n, s, "500 Internal Server Error", "")
		}, http.StatusInternalServerError},
		"misdirected": {"/public/", func(n net.Conn, s received) {
			reply(n, s, "421 Misdirected Request", "", "Not-Run: 1")
		}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reached, restarted := make(chan struct{}), make(chan struct{})
			y := &target{answer: func(n net.Conn, s received) {
				close(reached)
				<-restarted
				x.end(n, s)
			}}
			z := &target{answer: answerOK}
			g := newGateway(t, y, z)

			var w sync.WaitGroup

			var a answer

			w.Go(func() { a = g.call(t, http.MethodPost, x.path, "") })

			<-reached
			is.Equal(g.forwarder.TargetStates()[0].Load, 1.0)
			g.setTargets(g.restarted("t0"))

			fresh := []selector.TargetState{{Target: g.state.Registry().Known["t0"]}, {Target: g.state.Registry().Known["t1"]}}
			is.Equal(g.forwarder.TargetStates(), fresh) // No call runs at the new process.

			close(restarted)
			w.Wait()

			is.Equal(a.status, x.status)
			is.Equal(y.count()+z.count(), 1)
			is.Equal(g.forwarder.TargetStates(), fresh)
		})
	}
}

// recordingDialer records the connections that it makes.
type recordingDialer struct {
	net.Dialer

	mu    sync.Mutex
	conns []*watchedConn
}

// watchedConn signals when its connection is closed locally.
type watchedConn struct {
	net.Conn

	closed chan struct{}
	once   sync.Once
}

func (n *watchedConn) Close() error {
	n.once.Do(func() { close(n.closed) })

	return n.Conn.Close()
}

func (d *recordingDialer) DialContext(c context.Context, network, address string) (net.Conn, error) {
	n, err := d.Dialer.DialContext(c, network, address)
	if err != nil {
		return nil, err
	}

	x := &watchedConn{Conn: n, closed: make(chan struct{})}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.conns = append(d.conns, x)

	return x, nil
}

func (d *recordingDialer) connections() []*watchedConn {
	d.mu.Lock()
	defer d.mu.Unlock()

	return slices.Clone(d.conns)
}

// isOpen reports whether a connection has not been closed locally.
func isOpen(n *watchedConn) bool {
	select {
	case <-n.closed:
		return false
	default:
		return true
	}
}

// Guards against calls on pooled connections to a process that no longer exists. When a machine
// crashes with its network, its connections are never closed, and after a restart under the same ID
// and address a call on one of them waits until its deadline. They must be closed when the list
// shows the new process; a connection in use must be closed when its call is done.
func TestPooledConnectionsEndWithTheirProcess(t *testing.T) {
	for name, x := range map[string]struct {
		change func(g *gateway)
		reused bool
	}{
		"restarted":             {func(g *gateway) { g.setTargets(g.restarted("t0")) }, false},
		"removed from the list": {func(g *gateway) { g.discoverer.Remove(time.Unix(1000, 0), "t0"); g.setTargets() }, false},
		"heartbeat":             {func(g *gateway) { g.setTargets(*g.state.Registry().Known["t0"]) }, true},
		"draining": {func(g *gateway) {
			y := *g.state.Registry().Known["t0"]
			y.Draining = true
			g.setTargets(y)
		}, true},
		"another target restarted": {func(g *gateway) { g.setTargets(g.restarted("t1")) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &recordingDialer{}
			reached, changed := make(chan struct{}), make(chan struct{})
			g := newGatewayWithDialer(t, d, &target{answer: func(n net.Conn, s received) {
				if s.path == "/idempotent/blocked" {
					close(reached)
					<-changed
				}

				answerOK(n, s)
			}}, &target{answer: answerOK})

			is.Equal(g.call(t, http.MethodGet, "/idempotent/", "").body, "from t0")

			l := d.connections()
			is.Equal(len(l), 1)

			var w sync.WaitGroup

			w.Go(func() { is.Equal(g.call(t, http.MethodGet, "/idempotent/blocked", "").body, "from t0") }) // On the pooled connection.
			<-reached
			is.Equal(len(d.connections()), 1)
			x.change(g)
			is.True(isOpen(l[0])) // In use by a call.
			close(changed)
			w.Wait()

			is.Equal(g.call(t, http.MethodGet, "/idempotent/", "").status, http.StatusOK)

			if !x.reused {
				is.Equal(len(d.connections()), 2)
				<-l[0].closed

				return
			}

			is.True(isOpen(l[0]))
		})
	}
}

// Guards against the same failure as TestPooledConnectionsEndWithTheirProcess, for a connection that is
// idle when the list changes.
func TestIdleConnectionsEndWithTheirProcess(t *testing.T) {
	is := is.New(t)
	d := &recordingDialer{}
	g := newGatewayWithDialer(t, d, &target{answer: answerOK}, &target{answer: answerOK})

	is.Equal(g.call(t, http.MethodGet, "/idempotent/", "").body, "from t0")
	g.setTargets(g.restarted("t0"))
	is.Equal(g.call(t, http.MethodGet, "/idempotent/", "").body, "from t0")
	is.Equal(len(d.connections()), 2) // The second one is to the new process.
	<-d.connections()[0].closed
}
