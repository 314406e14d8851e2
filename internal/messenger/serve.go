package messenger

import (
	"bufio"
	"context"
	"math"
	"net"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// helloTimeout is how long a peer may take to send its Hello, of at most maxHello bytes.
	helloTimeout = 5 * time.Second
	maxHello     = 1 << 10
	// frameTimeout is how long a peer may take to send the next chunk of a frame.
	frameTimeout = 10 * time.Second
	// handlerBytes is what a request takes that is handled beside others.
	handlerBytes = 16 << 10
)

// serverConn is an incoming connection.
type serverConn struct {
	messenger *Messenger
	conn      net.Conn
	decoder   *decoder
	// from is the ID of the peer.
	from uint64
	// writing is held while a reply is written.
	writing sync.Mutex
}

// serveConn handles the messages of one incoming connection until it breaks.
func (m *Messenger) serveConn(c net.Conn) {
	defer m.group.Done()
	defer m.untrack(c)

	if !m.track(c) {
		return
	}

	x, stop := context.WithCancel(context.Background())
	defer stop()

	s := &serverConn{messenger: m, conn: c, decoder: &decoder{reader: bufio.NewReader(c), most: maxHello, memory: m.memory}}

	// A peer that connects and sends nothing must not occupy a connection without bound.
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout))

	if err := s.readHello(); err != nil {
		return
	}

	s.decoder.most = MaxFrame
	s.decoder.progress = func(int) { _ = c.SetReadDeadline(time.Now().Add(frameTimeout)) }

	for s.serveNext(x) {
	}
}

// readHello reads the first frame of a connection, which must be a Hello.
func (s *serverConn) readHello() error {
	f, n, release, err := s.decoder.decode()
	if err != nil {
		return err
	}
	defer release()

	s.messenger.traffic.in(n)

	var h wire.Hello
	if _, err := h.UnmarshalMsg(f.Body); err != nil || f.Kind != wire.KindHello {
		return ErrFrame
	}

	s.from = h.From

	return nil
}

// serveNext handles the next message, and reports whether the connection is still usable.
func (s *serverConn) serveNext(c context.Context) bool {
	// Between two messages a peer may be silent for any time.
	_ = s.conn.SetReadDeadline(time.Time{})

	f, n, release, err := s.decoder.decode()
	if err != nil {
		return false
	}

	s.messenger.traffic.in(n)

	h, ok := s.messenger.handlers[f.Kind]
	if !ok {
		release()

		return true
	}

	// The handlers of these kinds wait for reads or writes of a log, or for another instance.
	// Handling them in order would delay the requests behind them on the same connection.
	if f.Kind != wire.KindClaim && f.Kind != wire.KindSettle && f.Kind != wire.KindStream && f.Kind != wire.KindProbe && f.Kind != wire.KindStreamVersion {
		defer release()

		return s.handle(c, h, f) == nil
	}

	a := s.messenger.memory.Open(accountant.Message, math.MaxInt64)
	if !a.Reserve(handlerBytes) {
		defer release()

		return s.reply(f.ID, wire.KindError, nil) == nil
	}

	go func() {
		defer a.Close()
		defer release()

		_ = s.handle(c, h, f) // The connection is closed.
	}()

	return true
}

// handle passes a message to its handler and sends the reply, or KindError if there is none.
func (s *serverConn) handle(c context.Context, h Handler, f wire.Frame) error {
	r, err := h(c, s.from, f.Body)
	if err != nil || r == nil {
		return s.reply(f.ID, wire.KindError, nil)
	}

	return s.reply(f.ID, wire.KindReply, r)
}

// reply sends the reply to the message with an ID. Messages with the ID zero get none. It closes the connection and fails if the peer does
// not take the reply.
func (s *serverConn) reply(id uint32, k wire.Kind, r msgp.Marshaler) error {
	if id == 0 {
		return nil
	}

	b, err := encode(k, id, r)
	if err != nil {
		return nil //nolint:nilerr // The request times out at the peer; the connection is sound.
	}

	s.writing.Lock()
	defer s.writing.Unlock()

	if err := writeAll(s.conn, k, b, &s.messenger.traffic); err != nil {
		_ = s.conn.Close() // A part of a reply may have been written.

		return err
	}

	return nil
}

// track registers a connection to be closed by Close. It returns false after Close.
func (m *Messenger) track(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	select {
	case <-m.done:
		return false
	default:
	}

	m.conns[c] = struct{}{}

	return true
}

// untrack closes a connection and removes it.
func (m *Messenger) untrack(c net.Conn) {
	_ = c.Close()

	m.mu.Lock()
	defer m.mu.Unlock()

	delete(m.conns, c)
}
