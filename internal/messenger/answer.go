package messenger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/wire"
)

// greetTimeout is how long a peer may take to say who it is.
const greetTimeout = 5 * time.Second

// answer serves one incoming connection.
func (m *Messenger) answer(c net.Conn) {
	defer m.group.Done()
	defer m.untrack(c)

	if !m.track(c) {
		return
	}

	x, stop := context.WithCancel(context.Background())
	defer stop()

	var w sync.Mutex

	r := bufio.NewReader(c)

	// Whoever connects and says nothing must not hold a connection for ever.
	_ = c.SetReadDeadline(time.Now().Add(greetTimeout))

	from, err := m.greeted(r)
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

		// These wait for the log; answering them in line would hold up the asks
		// behind them on the same connection.
		if f.Kind == wire.KindClaim || f.Kind == wire.KindSettle || f.Kind == wire.KindStream {
			go m.reply(x, c, &w, from, h, f)

			continue
		}

		m.reply(x, c, &w, from, h, f)
	}
}

// greeted reads the first frame of a connection, which says who is there.
func (m *Messenger) greeted(r *bufio.Reader) (uint64, error) {
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

func (m *Messenger) reply(x context.Context, c net.Conn, w *sync.Mutex, from uint64, h Handler, f wire.Frame) {
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

func (m *Messenger) untrack(c net.Conn) {
	_ = c.Close()

	m.mu.Lock()
	defer m.mu.Unlock()

	delete(m.conns, c)
}
