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

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	// redialDelay is the time after a failed dial in which calls to the peer fail
	// immediately, without a dial of their own.
	redialDelay = 250 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, in which file descriptors may
	// become free. New connections wait in the listener's queue meanwhile.
	acceptRetryDelay = 100 * time.Millisecond
)

// Handler handles a message from a peer. If the message is a request and the handler
// returns an error or no reply, the peer's call fails with ErrRefused.
type Handler func(c context.Context, from uint64, body []byte) (msgp.Marshaler, error)

// dialer makes connections; net.Dialer implements it.
type dialer interface {
	DialContext(c context.Context, network, address string) (net.Conn, error)
}

// Messenger sends messages to peers and handles theirs. It is safe for concurrent use once
// its handlers are set.
type Messenger struct {
	id       uint64
	dialer   dialer
	tls      *tls.Config
	traffic  Traffic
	handlers map[wire.Kind]Handler
	listener net.Listener
	address  netip.AddrPort
	memory   *accountant.Accountant
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
	// failed is the time of the last failed dial, and cause its error.
	failed time.Time
	cause  error
}

// New listens on an address and returns a Messenger and its clean-up function, Close. The
// Messenger introduces itself to peers with the given ID and connects to them with the
// dialer, over TLS unless the TLS configuration is nil. Incoming messages are handled once Serve
// is called. New fails with ErrUnreachable if it can't listen on the address.
func New(a netip.AddrPort, id uint64, d dialer, s *tls.Config) (*Messenger, func(), error) {
	l, err := net.Listen("tcp", a.String()) //nolint:noctx // Ended by the clean-up function.
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "listening for peers"), ErrUnreachable)
	}

	x, _ := l.Addr().(*net.TCPAddr)

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

// Address returns the address that the Messenger listens on.
func (m *Messenger) Address() netip.AddrPort {
	return m.address
}

// Traffic returns the counts of bytes sent and received.
func (m *Messenger) Traffic() *Traffic {
	return &m.traffic
}

// Outgoing returns the number of open connections to peers that the Messenger has made.
func (m *Messenger) Outgoing() int {
	return int(m.traffic.outgoing.Load())
}

// Handle sets the handler for a kind of message. It must be called before Serve. Messages
// of a kind without a handler are skipped.
func (m *Messenger) Handle(k wire.Kind, h Handler) {
	m.handlers[k] = h
}

// Accept sets the function that returns the listener which accepts connections from the Messenger's own. It must be called before Serve.
func (m *Messenger) Accept(f func(l net.Listener) net.Listener) {
	m.listener = f(m.listener)
}

// SetMemory sets the bound on what long messages of peers may take. It must be called before Serve.
func (m *Messenger) SetMemory(a *accountant.Accountant) {
	m.memory = a
}

// Serve starts to accept connections and handle their messages in the background, until
// Close.
func (m *Messenger) Serve() {
	if m.tls != nil {
		m.listener = tls.NewListener(m.listener, m.tls)
	}

	m.group.Add(1)

	go func() {
		defer m.group.Done()
		m.accept()
	}()
}

// accept accepts connections of peers until Close.
//
// It retries after an error, since Accept also fails temporarily when file descriptors run
// out. An instance that stopped accepting then would keep its listener, so that peers
// would still connect but get no answers.
func (m *Messenger) accept() {
	for {
		c, err := m.listener.Accept()
		if err == nil {
			m.group.Add(1)

			go m.serveConn(c)

			continue
		}

		select {
		case <-m.done:
			return
		case <-time.After(acceptRetryDelay):
			logrus.WithFields(logrus.Fields{"event": "acceptFailed", "address": m.address, "error": err}).Warn()
		}
	}
}

// Call sends a request and decodes the reply. It fails with ErrUnreachable, ErrTimeout,
// ErrRefused or ErrFrame. Unless the dial failed, the peer may have processed the request.
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
		return errors.Mark(errors.Wrapf(err, "decoding a reply of %d bytes", len(f.Body)), ErrFrame)
	}

	return nil
}

// Send sends a message that has no reply. A nil error does not mean that it arrived.
func (m *Messenger) Send(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler) error {
	x, err := m.dial(c, a)
	if err != nil {
		return err
	}

	return x.write(k, 0, q)
}

// dial returns the connection to a peer. It makes a new one if there is no usable one.
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

	if time.Since(p.failed) < redialDelay {
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

// Close closes the listener and all connections, and waits for the goroutines that serve
// incoming ones. Further calls have no effect.
func (m *Messenger) Close() {
	m.once.Do(m.close)
}

// connect makes a connection and performs the TLS handshake, if TLS is configured.
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

// writeAll writes a frame within writeTimeout and counts its bytes.
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
