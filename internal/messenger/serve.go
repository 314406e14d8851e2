package messenger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/wire"
)

// helloTimeout is how long a peer may take to send its Hello.
const helloTimeout = 5 * time.Second

// serveConn handles the messages of one incoming connection until it breaks.
func (m *Messenger) serveConn(c net.Conn) {
	defer m.group.Done()
	defer m.untrack(c)

	if !m.track(c) {
		return
	}

	x, stop := context.WithCancel(context.Background())
	defer stop()

	var w sync.Mutex

	r := bufio.NewReader(c)

	// A peer that connects and sends nothing must not occupy a connection without bound.
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout))

	from, err := m.readHello(r)
	if err != nil {
		return
	}

	_ = c.SetReadDeadline(time.Time{})

	for {
		f, n, err := decode(r, nil)
		if err != nil {
			return
		}

		m.traffic.in(n)

		h, ok := m.handlers[f.Kind]
		if !ok {
			continue
		}

		// The handlers of these kinds wait for reads or writes of a log, or for another instance.
		// Handling them in order would delay the requests behind them on the same connection.
		if f.Kind == wire.KindClaim || f.Kind == wire.KindSettle || f.Kind == wire.KindStream || f.Kind == wire.KindProbe || f.Kind == wire.KindStreamVersion {
			go m.handle(x, c, &w, from, h, f)

			continue
		}

		m.handle(x, c, &w, from, h, f)
	}
}

// readHello reads the first frame of a connection, which must be a Hello, and returns the
// ID of the peer.
func (m *Messenger) readHello(r *bufio.Reader) (uint64, error) {
	f, n, err := decode(r, nil)
	if err != nil {
		return 0, err
	}

	m.traffic.in(n)

	var h wire.Hello
	if _, err := h.UnmarshalMsg(f.Body); err != nil || f.Kind != wire.KindHello {
		return 0, ErrFrame
	}

	return h.From, nil
}

// handle passes a message to its handler and sends the reply, or KindError if there is
// none. Messages with the ID zero get no reply.
func (m *Messenger) handle(x context.Context, c net.Conn, w *sync.Mutex, from uint64, h Handler, f wire.Frame) {
	r, err := h(x, from, f.Body)
	if f.ID == 0 {
		return
	}

	k := wire.KindReply
	if err != nil || r == nil {
		k, r = wire.KindError, nil
	}

	b, err := encode(k, f.ID, r)
	if err != nil {
		return
	}

	w.Lock()
	defer w.Unlock()

	_ = writeAll(c, k, b, &m.traffic)
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
