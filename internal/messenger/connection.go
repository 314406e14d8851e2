package messenger

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/wire"
)

// connection is an outgoing connection that concurrent calls share.
type connection struct {
	conn    net.Conn
	traffic *Traffic

	// writing is held while a frame is written; mu guards the fields below it.
	writing sync.Mutex
	mu      sync.Mutex
	next    uint32
	waiting map[uint32]waiter
	broken  bool
	// missed is the number of consecutive calls that timed out.
	missed int
}

// waiter is a call that waits for its reply.
type waiter struct {
	context context.Context //nolint:containedctx // Its lifetime is that of the call.
	reply   chan wire.Frame
}

// maxMissed is the number of consecutive time-outs of calls at which the connection is closed
// and replaced.
//
// A connection may become silent permanently, without a reset, while new ones work. Only the
// time-outs of its calls reveal this, since the system retransmits for a quarter of an hour
// before it reports an error. A single late reply or a short stall of the peer is not enough
// evidence. A peer that was stalled for longer accepts a new connection once it continues.
const maxMissed = 2

func newConnection(c net.Conn, t *Traffic) *connection {
	x := &connection{conn: c, traffic: t, waiting: make(map[uint32]waiter)}

	t.outgoing.Add(1)

	go x.read()

	return x
}

// call sends a request and waits for its reply. It fails with ErrUnreachable, ErrTimeout or
// ErrRefused, or with ErrFrame if the request can't be encoded.
func (x *connection) call(c context.Context, k wire.Kind, m msgp.Marshaler) (wire.Frame, error) {
	w := make(chan wire.Frame, 1)

	n, ok := x.register(waiter{context: c, reply: w})
	if !ok {
		return wire.Frame{}, ErrUnreachable
	}

	defer x.unregister(n)

	if err := x.write(k, n, m); err != nil {
		return wire.Frame{}, err
	}

	select {
	case f, ok := <-w:
		if !ok {
			return f, ErrUnreachable
		}

		if f.Kind == wire.KindError {
			return f, ErrRefused
		}

		return f, nil
	case <-c.Done():
		if errors.Is(context.Cause(c), context.DeadlineExceeded) {
			x.recordMissed()
		}

		return wire.Frame{}, errors.Mark(context.Cause(c), ErrTimeout)
	}
}

// recordMissed records a call that timed out, and closes the connection at maxMissed.
func (x *connection) recordMissed() {
	x.mu.Lock()
	x.missed++
	m := x.missed
	x.mu.Unlock()

	if m >= maxMissed {
		x.close()
	}
}

// register adds a call that waits for a reply and returns its ID, which is not zero. It
// returns false if the connection is broken.
func (x *connection) register(w waiter) (uint32, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()

	if x.broken {
		return 0, false
	}

	x.next++
	if x.next == 0 {
		x.next = 1
	}

	x.waiting[x.next] = w

	return x.next, true
}

func (x *connection) unregister(id uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()

	delete(x.waiting, id)
}

func (x *connection) write(k wire.Kind, id uint32, m msgp.Marshaler) error {
	b, err := encode(k, id, m)
	if err != nil {
		return err
	}

	x.writing.Lock()
	defer x.writing.Unlock()

	if err := writeAll(x.conn, k, b, x.traffic); err != nil {
		x.close()

		return err
	}

	return nil
}

// read delivers each reply to the call with its ID. A reply that arrives after its call
// timed out is dropped, so that it can't be taken for the reply to another call.
func (x *connection) read() {
	defer x.close()

	d := &decoder{reader: bufio.NewReader(activityReader{connection: x}), most: MaxFrame, progress: x.extendWaiting}

	for {
		f, n, release, err := d.decode()
		if err != nil {
			return
		}

		release() // Replies are not counted.
		x.traffic.in(n)
		x.deliver(f)
	}
}

// extendWaiting extends the deadlines of all waiting calls while a long frame arrives, since it is the reply to one of
// them and delays the replies to the others. The first chunk of a frame extends none.
func (x *connection) extendWaiting(arrived int) {
	if arrived == 0 {
		return
	}

	x.mu.Lock()

	l := make([]context.Context, 0, len(x.waiting))
	for _, w := range x.waiting {
		l = append(l, w.context)
	}

	x.mu.Unlock()

	for _, c := range l {
		extender.Extend(c)
	}
}

func (x *connection) deliver(f wire.Frame) {
	x.mu.Lock()
	defer x.mu.Unlock()

	if w, ok := x.waiting[f.ID]; ok {
		delete(x.waiting, f.ID)
		w.reply <- f
	}
}

// activityReader reads from a connection and resets its count of missed calls whenever bytes
// arrive: while a long reply arrives, the calls whose replies are behind it may time out although
// the connection is not silent.
type activityReader struct {
	connection *connection
}

// Read implements io.Reader.
func (h activityReader) Read(b []byte) (int, error) {
	n, err := h.connection.conn.Read(b)

	h.connection.mu.Lock()
	defer h.connection.mu.Unlock()

	if n > 0 {
		h.connection.missed = 0
	}

	return n, err
}

func (x *connection) usable() bool {
	x.mu.Lock()
	defer x.mu.Unlock()

	return !x.broken
}

// close closes the connection and fails all waiting calls with ErrUnreachable.
func (x *connection) close() {
	x.mu.Lock()
	defer x.mu.Unlock()

	if x.broken {
		return
	}

	x.broken = true
	x.traffic.outgoing.Add(-1)
	_ = x.conn.Close()

	for id, w := range x.waiting {
		delete(x.waiting, id)
		close(w.reply)
	}
}
