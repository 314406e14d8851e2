// Package acceptor accepts connections and bounds what each of them may hold at any moment of its life.
//
// Load pattern: a crowd of clients sends requests of legal size that never end, heads of very many short fields, or requests whose
// answers it does not read, at any listener of the process. All listeners share the process's memory and descriptors, so one rule
// applies to all of them. At any moment either the connection waits for its client or the client waits for the process. A connection
// that waits has a time limit, what arrives is reserved before it is parsed, and the connections that have waited the longest give way
// when there is no room.
package acceptor

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/reaper"
	"github.com/auburntray/auburntray/internal/shedder"
)

const (
	// DefaultHeadTimeout is the longest time that the head of a request may take, where Limits has zero.
	DefaultHeadTimeout = 10 * time.Second
	// DefaultIdleTimeout is the longest time between two requests, where Limits has zero.
	DefaultIdleTimeout = time.Minute
	// DefaultMaxHead is the length of the longest head, in bytes, where Limits has zero.
	DefaultMaxHead = 16 << 10
	// SweepInterval is how often Sweep is to be called. It is the largest delay in ending a connection.
	SweepInterval = time.Second

	// minIdle is how long a connection must have been idle, and minStall how long no byte must have moved within a request, for the
	// connection to be ended for the sake of others. Links may be down for a moment.
	minIdle  = time.Second
	minStall = 2 * time.Second
	// minRefused is how long the client of a refused request has at least to get the refusal.
	minRefused = 200 * time.Millisecond
	// maxBesideOthers is how long a body, or a part of an answer, may take although bytes move, while others find no room.
	maxBesideOthers = 10 * time.Second
	// roomInterval is the least time between two searches for connections to end.
	roomInterval = 200 * time.Millisecond
	// roomDivisor is the part of the connections that one search ends at the most.
	roomDivisor = 8
	// connectionBytes is what a connection without a call takes: a goroutine and buffers.
	connectionBytes = 16 << 10
)

// Limits bounds what a connection may take. A zero field stands for the default.
type Limits struct {
	// IdleTimeout is the longest time between two requests, and the longest time in which no byte of a body arrives, or none of an answer
	// is taken.
	IdleTimeout time.Duration
	// HeadTimeout is the longest time that the head of a request may take after its first byte.
	HeadTimeout time.Duration
	// MaxHead is the length of the longest head, in bytes, without its request line.
	MaxHead int64
}

func (l Limits) withDefaults() Limits {
	return Limits{
		IdleTimeout: cmp.Or(l.IdleTimeout, DefaultIdleTimeout),
		HeadTimeout: cmp.Or(l.HeadTimeout, DefaultHeadTimeout),
		MaxHead:     cmp.Or(l.MaxHead, DefaultMaxHead),
	}
}

// Settings configures an Acceptor.
type Settings struct {
	// Most returns how many connections may be open at a time.
	Most func() int
	// Replace makes a new connection beyond Most replace the one that has waited for its client the longest. Without it the new one is
	// closed unread, and those that have waited for long are ended so that later ones have room.
	Replace bool
	// Messages means that the connections carry messages in place of HTTP. They have no time limits here.
	Messages bool
	// Encrypted means that the connections carry TLS, so that nothing readable can be written to them here.
	Encrypted bool
	// Limits returns the limits in force, which may change at any time.
	Limits func() Limits
	// Memory counts what the connections hold; nil sets no bound.
	Memory *accountant.Accountant
	// Reporter counts what is closed or ended; nil counts nothing.
	Reporter *Reporter
}

// WithMost returns the settings with another bound of connections.
func (s Settings) WithMost(most func() int) Settings {
	s.Most = most

	return s
}

// Replacing returns the settings with Replace set.
func (s Settings) Replacing() Settings {
	s.Replace = true

	return s
}

// ForMessages returns the settings for connections that carry messages of other instances.
func (s Settings) ForMessages() Settings {
	s.Replace, s.Messages = true, true

	return s
}

// Acceptor accepts the connections of one listener. It is safe for concurrent use.
type Acceptor struct {
	settings Settings
	reaper   *reaper.Reaper

	mu      sync.Mutex
	conns   map[*conn]struct{}
	freedAt time.Time
}

// New returns an Acceptor without a listener.
func New(s Settings) *Acceptor {
	a := &Acceptor{settings: s, conns: make(map[*conn]struct{})}
	a.reaper = reaper.New(func() reaper.Limits {
		l := a.limits()

		return reaper.Limits{IdleTimeout: l.IdleTimeout, HeaderTimeout: l.HeadTimeout}
	})

	return a
}

func (a *Acceptor) limits() Limits {
	return a.settings.Limits().withDefaults()
}

// Open returns the number of open connections.
func (a *Acceptor) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return len(a.conns)
}

// Listen returns a listener that accepts the connections of l.
func (a *Acceptor) Listen(l net.Listener) net.Listener {
	return &listener{acceptor: a, Listener: shedder.New(l, a.settings.Most, a.free, func() { a.settings.Reporter.report(Shed, 1) }, func(n int) {
		if a.settings.Memory != nil {
			a.settings.Memory.Charge(accountant.Connection, int64(n)*connectionBytes)
		}
	})}
}

// Serve makes a server serve the connections of Listen's listener. It must be called before the server serves.
func (a *Acceptor) Serve(s *http.Server) {
	s.ConnState = a.track
	s.ConnContext = func(x context.Context, n net.Conn) context.Context {
		c, _ := unwrap(n)

		return a.reaper.Context(x, c)
	}
	s.Handler = a.handler(s.Handler)
}

// Sweep ends the connections that have waited for their clients for longer than their limits.
func (a *Acceptor) Sweep() {
	if a.settings.Messages {
		return
	}

	a.reaper.Sweep()

	d := a.limits().IdleTimeout

	n := 0

	for _, c := range a.list() {
		if w, ok := c.waits(); ok && time.Since(w.progress) >= d {
			c.interrupt()

			n++
		}
	}

	a.settings.Reporter.report(Stalled, n)
}

// MakeRoom ends connections that wait for their clients since there are too many, and returns how many: all that are idle, and those that
// FreeMemory ends.
func (a *Acceptor) MakeRoom() int {
	if !a.mayEnd() {
		return 0
	}

	n := a.reaper.Expire(minIdle) + a.endLongestWaiting()
	a.settings.Reporter.report(Room, n)

	return n
}

// FreeMemory ends connections that wait for their clients within a request since the process has too little memory, and returns how many.
// Those end whose request was refused already, of which no byte moves, or which have taken very long; at most an eighth of the
// connections at a time, the longest waiting first.
func (a *Acceptor) FreeMemory() int {
	if !a.mayEnd() {
		return 0
	}

	n := a.endLongestWaiting()
	a.settings.Reporter.report(Memory, n)

	return n
}

// mayEnd reports whether the last search for connections to end was long enough ago.
func (a *Acceptor) mayEnd() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	n := time.Now()
	if n.Sub(a.freedAt) < roomInterval {
		return false
	}

	a.freedAt = n

	return true
}

// endLongestWaiting ends the connections that have waited the longest within a request, and returns how many.
func (a *Acceptor) endLongestWaiting() int {
	l := a.longestWaiting(max(a.settings.Most()/roomDivisor, 1))
	for _, c := range l {
		c.interrupt()
	}

	return len(l)
}

// longestWaiting returns the connections that give way to others, at most k.
func (a *Acceptor) longestWaiting(k int) []*conn {
	type waiting struct {
		conn *conn
		wait wait
	}

	var o []waiting

	for _, c := range a.list() {
		if w, ok := c.waits(); ok && w.givesWay(time.Now()) {
			o = append(o, waiting{c, w})
		}
	}

	slices.SortFunc(o, func(x, y waiting) int {
		return cmp.Or(-cmp.Compare(x.wait.stage, y.wait.stage), x.wait.since.Compare(y.wait.since))
	})

	l := make([]*conn, 0, k)
	for _, x := range o[:min(k, len(o))] {
		l = append(l, x.conn)
	}

	return l
}

// free makes room for a new connection beyond the bound, and reports whether there is room at once.
func (a *Acceptor) free() bool {
	if !a.settings.Replace {
		a.MakeRoom()

		return false
	}

	c, ok := a.oldest().(*conn)
	if ok {
		_ = c.abort() // Its client may have left.

		a.settings.Reporter.report(Replaced, 1)
	}

	return ok
}

// oldest returns the connection that has waited for its client the longest, or nil if none waits.
func (a *Acceptor) oldest() net.Conn {
	o, since := a.reaper.Longest()

	for _, c := range a.list() {
		if w, ok := c.waits(); ok && (o == nil || w.since.Before(since)) {
			o, since = c, w.since
		}
	}

	return o
}

// list returns the open connections.
func (a *Acceptor) list() []*conn {
	a.mu.Lock()
	defer a.mu.Unlock()

	o := make([]*conn, 0, len(a.conns))
	for c := range a.conns {
		o = append(o, c)
	}

	return o
}

// track records a change of a connection's state; it is the ConnState of a server.
func (a *Acceptor) track(n net.Conn, s http.ConnState) {
	c, ok := unwrap(n)
	if !ok {
		return
	}

	switch {
	case isShared(n):
		c.leaveHead()
	case s == http.StateIdle:
		c.beginHead()
	}

	a.reaper.Track(c, s)
}

// remove forgets a connection that is closed.
func (a *Acceptor) remove(c *conn) {
	a.reaper.Track(c, http.StateClosed) // Its server notices that later.

	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.conns, c)
}

// connection returns the connection of a request, or nil.
func connection(c context.Context) *conn {
	o, _ := unwrap(reaper.Connection(c))

	return o
}

// unwrap returns the connection that a server knows as n.
func unwrap(n net.Conn) (*conn, bool) {
	if t, ok := n.(interface{ NetConn() net.Conn }); ok {
		n = t.NetConn()
	}

	c, ok := n.(*conn)

	return c, ok
}

// isShared reports whether a connection carries HTTP/2, whose requests arrive beside each other.
func isShared(n net.Conn) bool {
	t, ok := n.(*tls.Conn)

	return ok && t.ConnectionState().NegotiatedProtocol == "h2"
}

// listener accepts connections for an Acceptor.
type listener struct {
	net.Listener

	acceptor *Acceptor
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	a := l.acceptor
	c := &conn{Conn: n, acceptor: a, inHead: !a.settings.Messages, wait: wait{progress: time.Now()}, account: a.settings.Memory.Open(accountant.Head, 0)}

	a.mu.Lock()
	defer a.mu.Unlock()

	a.conns[c] = struct{}{}

	return c, nil
}
