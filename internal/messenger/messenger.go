// Package messenger carries wire messages between instances over TCP.
package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/wire"
)

const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	// redialAfter is how long a peer that could not be dialled is left alone,
	// so that calls to it fail at once and not after a dial each.
	redialAfter = 250 * time.Millisecond
	// acceptAfter is the pause after an accept that failed, in which descriptors may be
	// given back; the queue of the listener holds peers meanwhile.
	acceptAfter = 100 * time.Millisecond
)

// Handler answers a message from a peer. A nil reply without an error sends
// none.
type Handler func(c context.Context, from uint64, body []byte) (msgp.Marshaler, error)

// dialer makes connections; a net.Dialer does.
type dialer interface {
	DialContext(c context.Context, network, address string) (net.Conn, error)
}

// Messenger sends messages to peers and answers theirs. It is safe for
// concurrent use once its handlers are set.
type Messenger struct {
	id       uint64
	dialer   dialer
	tls      *tls.Config
	traffic  Traffic
	handlers map[wire.Kind]Handler
	listener net.Listener
	address  netip.AddrPort
	done     chan struct{}
	once     sync.Once

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	conns map[net.Conn]struct{}
	group sync.WaitGroup
}

type peer struct {
	mu   sync.Mutex
	conn *connection
	// failed is when the last dial failed, and cause how.
	failed time.Time
	cause  error
}

// New listens on an address and returns a Messenger with its clean-up
// function, which closes all connections. It sends under the given ID, over
// connections that the dialer makes, by TLS when it is configured. Messages are answered from Serve on. It
// fails with ErrUnreachable when the address can't be listened on.
func New(a netip.AddrPort, id uint64, d dialer, s *tls.Config) (*Messenger, func(), error) {
	l, err := net.Listen("tcp", a.String()) //nolint:noctx // Ended by the clean-up function.
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "listening for peers"), ErrUnreachable)
	}

	x, _ := l.Addr().(*net.TCPAddr)
	if s != nil {
		l = tls.NewListener(l, s)
	}

	m := &Messenger{
		id:       id,
		dialer:   d,
		tls:      s,
		address:  x.AddrPort(),
		handlers: make(map[wire.Kind]Handler),
		listener: l,
		done:     make(chan struct{}),
		peers:    make(map[netip.AddrPort]*peer),
		conns:    make(map[net.Conn]struct{}),
	}

	return m, m.Close, nil
}

// Address returns the address listened on.
func (m *Messenger) Address() netip.AddrPort {
	return m.address
}

// Traffic returns the counter of control bytes.
func (m *Messenger) Traffic() *Traffic {
	return &m.traffic
}

// Handle sets the handler of a kind. It must be called before Serve.
func (m *Messenger) Handle(k wire.Kind, h Handler) {
	m.handlers[k] = h
}

// Serve answers peers in the background until clean-up.
func (m *Messenger) Serve() {
	m.group.Add(1)

	go func() {
		defer m.group.Done()
		m.accept()
	}()
}

// accept takes the connections of peers until clean-up.
//
// An accept fails also while descriptors run out. Peers went on connecting to an instance
// that had left it at that, since the listener was still there, and were heard by nobody.
func (m *Messenger) accept() {
	for {
		c, err := m.listener.Accept()
		if err == nil {
			m.group.Add(1)

			go m.answer(c)

			continue
		}

		select {
		case <-m.done:
			return
		case <-time.After(acceptAfter):
			logrus.WithFields(logrus.Fields{"event": "acceptFailed", "address": m.address, "error": err}).Warn()
		}
	}
}

// Call sends a request and decodes the reply. It fails with ErrUnreachable,
// ErrTimeout, ErrRefused or ErrFrame; after each but a failed dial the peer may
// have acted on the request.
func (m *Messenger) Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error {
	x, err := m.dial(c, a)
	if err != nil {
		return err
	}

	f, err := x.call(c, k, q)
	if err != nil {
		return err
	}

	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Mark(errors.Wrapf(err, "a reply of %d bytes", len(f.Body)), ErrFrame)
	}

	return nil
}

// Send sends a message that has no reply.
func (m *Messenger) Send(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler) error {
	x, err := m.dial(c, a)
	if err != nil {
		return err
	}

	return x.write(k, 0, q)
}

// dial returns the connection to a peer, making it when there is none.
func (m *Messenger) dial(c context.Context, a netip.AddrPort) (*connection, error) {
	m.mu.Lock()

	p, ok := m.peers[a]
	if !ok {
		p = &peer{}
		m.peers[a] = p
	}

	m.mu.Unlock()

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.conn != nil && p.conn.usable() {
		return p.conn, nil
	}

	if time.Since(p.failed) < redialAfter {
		return nil, errors.Mark(p.cause, ErrUnreachable)
	}

	x, stop := context.WithTimeout(c, dialTimeout)
	defer stop()

	n, err := m.connect(x, a)
	if err != nil {
		p.failed, p.cause = time.Now(), err

		return nil, errors.Mark(err, ErrUnreachable)
	}

	p.conn = newConnection(n, &m.traffic)
	if err := p.conn.write(wire.KindHello, 0, &wire.Hello{From: m.id}); err != nil {
		return nil, err
	}

	return p.conn, nil
}

// Close ends all connections and waits for the goroutines that serve them. It
// is the clean-up function; calling it again does nothing.
func (m *Messenger) Close() {
	m.once.Do(m.close)
}

// connect makes a connection, with its handshake.
func (m *Messenger) connect(c context.Context, a netip.AddrPort) (net.Conn, error) {
	n, err := m.dialer.DialContext(c, "tcp", a.String())
	if err != nil || m.tls == nil {
		return n, err
	}

	t := tls.Client(n, m.tls)
	if err := t.HandshakeContext(c); err != nil {
		_ = n.Close()

		return nil, err
	}

	return t, nil
}

func (m *Messenger) close() {
	close(m.done)
	_ = m.listener.Close()

	m.mu.Lock()

	for c := range m.conns {
		_ = c.Close()
	}

	for _, p := range m.peers {
		p.mu.Lock()

		if p.conn != nil {
			p.conn.close()
		}

		p.mu.Unlock()
	}

	m.mu.Unlock()
	m.group.Wait()
}

func writeAll(c net.Conn, k wire.Kind, b []byte, t *Traffic) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Mark(err, ErrUnreachable)
	}

	if _, err := c.Write(b); err != nil {
		return errors.Mark(err, ErrUnreachable)
	}

	t.out(k, len(b))

	return nil
}
