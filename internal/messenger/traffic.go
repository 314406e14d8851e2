package messenger

import (
	"sync/atomic"

	"github.com/auburntray/auburntray/internal/wire"
)

// Traffic counts the bytes of control messages, both ways.
type Traffic struct {
	sent, received atomic.Int64
	// kinds are the bytes sent by kind of message.
	kinds [wire.Kinds]atomic.Int64
}

// Bytes returns the bytes sent and received so far.
func (t *Traffic) Bytes() (sent, received int64) {
	return t.sent.Load(), t.received.Load()
}

// SentOf returns the bytes sent so far of one kind of message; replies are a kind of
// their own.
func (t *Traffic) SentOf(k wire.Kind) int64 {
	return t.kinds[k%wire.Kinds].Load()
}

func (t *Traffic) in(n int) { t.received.Add(int64(n)) }

func (t *Traffic) out(k wire.Kind, n int) {
	t.sent.Add(int64(n))
	t.kinds[k%wire.Kinds].Add(int64(n))
}
