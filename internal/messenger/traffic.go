package messenger

import (
	"sync/atomic"
)

// Traffic counts the bytes of control messages, both ways.
type Traffic struct {
	sent, received atomic.Int64
}

// Bytes returns the bytes sent and received so far.
func (t *Traffic) Bytes() (sent, received int64) {
	return t.sent.Load(), t.received.Load()
}

func (t *Traffic) in(n int)  { t.received.Add(int64(n)) }
func (t *Traffic) out(n int) { t.sent.Add(int64(n)) }
