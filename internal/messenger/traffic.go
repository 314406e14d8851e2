package messenger

import (
	"sync/atomic"

	"github.com/auburntray/auburntray/internal/wire"
)

// Traffic counts the bytes of messages in both directions. It is safe for concurrent use.
type Traffic struct {
	sent, received atomic.Int64
	// kinds counts the bytes sent, for each kind of message.
	kinds [wire.Kinds]atomic.Int64
	// outgoing is the number of open connections to peers.
	outgoing atomic.Int64
}

// Bytes returns the numbers of bytes sent and received so far.
func (t *Traffic) Bytes() (sent, received int64) {
	return t.sent.Load(), t.received.Load()
}

// SentOf returns the number of bytes sent so far in messages of one kind. Replies are a
// kind of their own.
func (t *Traffic) SentOf(k wire.Kind) int64 {
	return t.kinds[k%wire.Kinds].Load()
}

func (t *Traffic) in(n int) { t.received.Add(int64(n)) }

func (t *Traffic) out(k wire.Kind, n int) {
	t.sent.Add(int64(n))
	t.kinds[k%wire.Kinds].Add(int64(n))
}
