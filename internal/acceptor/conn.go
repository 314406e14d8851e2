package acceptor

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
)

const (
	// lineBytes is the length of the longest request line, and of what a server reads at a time beyond a head.
	lineBytes = 8<<10 + 4<<10
	// writeBytes is how much of an answer is written at a time. A client that takes less within the time limit takes nothing.
	writeBytes = 16 << 10

	// lingerTime is how long the rest of a refused request is read, lingerPause how long it may pause, and lingerBytes how much of it is
	// read at the most. A connection that is closed with unread bytes is reset, and a client that still sends loses the refusal.
	lingerTime  = 30 * time.Second
	lingerPause = time.Second
	lingerBytes = 16 << 20
	// lingerBuffer is how much of it is read at a time.
	lingerBuffer = 4 << 10
	// refusalTimeout is how long the refusal of a head may take to be written.
	refusalTimeout = time.Second
)

var errRefused = errors.New("the head of the request was refused")

// past is a deadline that ends what it applies to.
var past = time.Unix(0, 0) //nolint:gochecknoglobals // A constant.

// stage is what a connection within a request waits for. Later ones are ended first when there is no room.
type stage int

const (
	// running means that the client waits.
	running stage = iota
	// body means that the rest of a body is awaited, and answer that the client takes more of the answer.
	body
	answer
	// refused means that a refusal was written, and the rest of the request is read to be thrown away.
	refused
)

// wait describes for how long a connection has waited for its client.
type wait struct {
	stage stage
	since time.Time
	// progress is when the last byte was received or taken.
	progress time.Time
}

// givesWay reports whether the connection may be ended for the sake of others.
func (w wait) givesWay(now time.Time) bool {
	if w.stage == refused {
		return now.Sub(w.since) >= minRefused
	}

	return now.Sub(w.progress) >= minStall || now.Sub(w.since) >= maxBesideOthers
}

// conn is a connection. It reserves the memory for the heads of requests as they arrive, and records what it waits for.
type conn struct {
	net.Conn

	acceptor *Acceptor

	mu      sync.Mutex
	account *accountant.Account
	// inHead is set while the head of a request may arrive; head is what has arrived of it.
	inHead bool
	head   headSize
	wait   wait
	// readDeadline is the deadline of reading that was set last. It does not apply while interrupted is set: what the connection waits for
	// then fails at once.
	readDeadline time.Time
	interrupted  bool
	// closing is set once Close was called, and closed once the connection is closed.
	closing, closed bool
}

// Read implements net.Conn. A head that is too long, or for which there is no memory, is refused.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n <= 0 {
		return n, err
	}

	s, first := c.received(b[:n])

	if first {
		c.acceptor.reaper.RecordFirstByte(c)
	}

	if s != 0 {
		c.refuseHead(s)

		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errRefused}
	}

	return n, err
}

// received counts what has arrived, of a head above all. It returns the status with which the head is refused, or zero, and whether it
// has begun.
func (c *conn) received(b []byte) (status int, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.wait.progress = time.Now()

	if !c.inHead || c.closed {
		return 0, false
	}

	first = c.head.bytes == 0

	// What follows the head belongs to a body or to the next head.
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		b = b[:i]
	}

	before := c.head.beyondUsual()
	c.head.bytes += int64(len(b))
	c.head.fields += int64(bytes.Count(b, []byte("\n")))
	c.head.parts += int64(bytes.Count(b, []byte(",")))

	if c.head.bytes > c.acceptor.limits().MaxHead+lineBytes {
		return http.StatusRequestHeaderFieldsTooLarge, first
	}

	if !c.account.Reserve(c.head.beyondUsual() - before) {
		return http.StatusServiceUnavailable, first
	}

	return 0, first
}

// refuseHead answers a head that has not been read whole.
func (c *conn) refuseHead(status int) {
	retry, reason := "", LongHead
	if status == http.StatusServiceUnavailable {
		retry, reason = "Retry-After: "+memoryWait+"\r\n", HeadMemory
	}

	c.acceptor.settings.Reporter.report(reason, 1)

	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // Fails only if the connection is closed.

	if !c.acceptor.settings.Encrypted {
		_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry) // The client may have left.
	}

	c.refuse()
}

// refuse records that the request is refused before it was read whole, so that Close reads its rest. Until then nothing more of it is read.
func (c *conn) refuse() {
	c.begin(refused, time.Now())
	c.setReadDeadline(past)
}

// linger reads the rest of a request that was refused, within its limits, once its answer was written. Whatever ends it, the connection
// is closed next.
func (c *conn) linger() {
	_ = c.CloseWrite() // The client may have left.

	b, end := make([]byte, lingerBuffer), time.Now().Add(lingerTime)

	for n := 0; n < lingerBytes && time.Now().Before(end); {
		c.setReadDeadline(time.Now().Add(lingerPause))

		k, err := c.Conn.Read(b)
		n += k

		if err != nil {
			return
		}

		c.advance()
	}
}

// lingers reports whether a connection that is about to be closed is to read the rest of its request, once.
func (c *conn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	o := c.wait.stage == refused && !c.closing && !c.interrupted
	c.closing = true

	return o
}

// Write implements net.Conn. It fails if the client takes nothing for too long.
func (c *conn) Write(b []byte) (int, error) {
	defer c.restore(c.begin(answer, time.Now()))

	o := 0

	for {
		n, err := c.Conn.Write(b[o:min(o+writeBytes, len(b))])
		o += n

		if err != nil || o >= len(b) {
			return o, err
		}

		c.advance()
	}
}

// Close implements net.Conn. It reads the rest of a request that was refused before. A second call closes the connection at once.
func (c *conn) Close() error {
	if c.lingers() {
		c.linger()
	}

	return c.abort()
}

// abort closes the connection at once.
func (c *conn) abort() error {
	c.mu.Lock()
	c.closed = true
	c.account.Close()
	c.mu.Unlock()

	c.acceptor.remove(c)

	return c.Conn.Close()
}

// CloseWrite closes the direction to the client, as net.TCPConn does.
func (c *conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}

	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.readDeadline = t
	if c.interrupted {
		return nil
	}

	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.interrupted {
		return nil
	}

	return c.Conn.SetWriteDeadline(t)
}

// setReadDeadline is SetReadDeadline. It fails only if the connection is closed.
func (c *conn) setReadDeadline(t time.Time) {
	_ = c.SetReadDeadline(t)
}

// interrupt ends what the connection waits for. The goroutine that serves it then ends it.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()

	switch c.wait.stage {
	case running:
		return
	case answer:
		_ = c.Conn.SetWriteDeadline(past) // Fails only if the connection is closed.
	default:
		_ = c.Conn.SetReadDeadline(past)
	}

	c.interrupted = true
}

// beginHead records that the next head may arrive.
func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.inHead, c.head = true, headSize{}
	c.wait = wait{}
	c.account.Close()
}

// endHead records that the head of a request has arrived, and reports whether there is memory for it. A part of it may have arrived with
// the request before it, and was not counted as it did.
func (c *conn) endHead(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.inHead = false

	return c.account.Reserve(max(sizeOf(r).beyondUsual()-c.head.beyondUsual(), 0))
}

// leaveHead records that what arrives from now on is no head of HTTP/1.
func (c *conn) leaveHead() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.inHead = false
}

// begin records that the connection waits for its client, and returns what it did before.
func (c *conn) begin(s stage, since time.Time) wait {
	c.mu.Lock()
	defer c.mu.Unlock()

	p := c.wait
	c.wait = wait{stage: s, since: since, progress: time.Now()}

	return p
}

// restore records that the connection waits as it did before, since its client has done its part. If it was interrupted meanwhile, it
// goes on.
func (c *conn) restore(w wait) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.wait = w

	if c.interrupted && !c.closed {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // Fails only if the connection is closed.
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
}

// advance records that a byte was received or taken.
func (c *conn) advance() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.wait.progress = time.Now()
}

// waits returns for how long the connection has waited for its client within a request, and false if it does not. A connection for
// messages waits for the next one all the time.
func (c *conn) waits() (wait, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	w := c.wait
	if c.acceptor.settings.Messages {
		return wait{stage: body, since: w.progress, progress: w.progress}, !c.closed
	}

	return w, w.stage != running && !c.interrupted
}
