package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/reaper"
)

// usualHeadBytes is the length up to which the headers of a call need no reservation beyond that of their call.
const usualHeadBytes = 16 << 10

var errHeadTooLong = errors.New("not enough memory for the headers")

// connection is a caller's connection. It reserves the memory for long headers as they arrive, until their call has ended.
type connection struct {
	net.Conn

	mu      sync.Mutex
	account *accountant.Account
	// firstByte is called when the first byte of a call's headers has arrived.
	firstByte func(n net.Conn)
	// inHead is set while the headers of a call may arrive, and head is how many bytes of them have arrived.
	inHead bool
	head   int64
}

// Read implements net.Conn. It fails if there is no memory for the headers, so that the connection is closed with the call unread.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)

	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.inHead || n <= 0 {
		return n, err
	}

	if c.head == 0 {
		c.firstByte(c)
	}

	c.head += int64(n)
	if c.head > usualHeadBytes && !c.account.Reserve(int64(n)) {
		return 0, errHeadTooLong
	}

	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.beginHead()

	return c.Conn.Close()
}

// beginHead records that the next call may arrive.
func (c *connection) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.inHead, c.head = true, 0
	c.account.Close()
}

// endHead records that the headers of a call have arrived.
func (c *connection) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.inHead = false
}

// connectionListener accepts connections that reserve the memory for their headers.
type connectionListener struct {
	net.Listener

	memory    *accountant.Accountant
	firstByte func(n net.Conn)
}

// Accept implements net.Listener.
func (l connectionListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &connection{Conn: n, firstByte: l.firstByte, inHead: true, account: l.memory.Open(accountant.Head, 0)}, nil
}

// trackConnection records a change of a connection's state; it is the ConnState of the callers' server.
func (g *Gatekeeper) trackConnection(n net.Conn, s http.ConnState) {
	if c, ok := n.(*connection); ok && s == http.StateIdle {
		c.beginHead()
	}

	g.reaper.Track(n, s)
}

// recordHeaders records that the headers of the call with this context are complete.
func (g *Gatekeeper) recordHeaders(c context.Context) {
	g.reaper.RecordHeaders(c)

	if n, ok := reaper.Connection(c).(*connection); ok {
		n.endHead()
	}
}
