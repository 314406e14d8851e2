package repeater

import (
	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// bundleMinBytes is the total length from which a reply's records are compressed together. From about five
// target records on, compression more than halves the total length.
const bundleMinBytes = 1 << 10

// maxAnswers bounds the cached answers of a stream. Instances that have read equally far request records from the same
// few positions.
const maxAnswers = 16

// answer holds the records from one position to another, as they are sent.
type answer struct {
	next     watcher.Position
	snapshot bool
	records  []wire.StreamRecord
	packed   []byte
}

// answers caches answers by the position of the request. Collecting and compressing records takes some milliseconds for
// a thousand of them, and hundreds of instances that have just started request the same records from one seed. It is
// not safe for concurrent use.
type answers struct {
	// next is the position after the last record of each answer: all end there.
	next watcher.Position
	// byPosition holds each answer under the position from which its records were requested.
	byPosition map[watcher.Position]answer
}

// get returns the answer with the records from a position up to next, and false when it is not cached.
func (b *answers) get(from, next watcher.Position) (answer, bool) {
	if b.next != next {
		return answer{}, false
	}

	a, ok := b.byPosition[from]

	return a, ok
}

// put caches an answer and evicts those with another end, or all when the cache is full.
func (b *answers) put(from watcher.Position, a answer) {
	if b.next != a.next || b.byPosition == nil || len(b.byPosition) >= maxAnswers {
		b.next, b.byPosition = a.next, make(map[watcher.Position]answer)
	}

	b.byPosition[from] = a
}

// bundle compresses the records of an answer together, when they are long enough.
//
// The list of targets has thousands of similar records of a few hundred bytes. Sent uncompressed to a hundred
// instances that have just started, they would occupy a link of 10 Mbit/s for longer than it takes until the next
// records arrive, and requests for the complete list would time out.
func (a *answer) bundle() {
	n := 0

	for _, r := range a.records {
		if !r.Packed {
			n += len(r.Value)
		}
	}

	if n < bundleMinBytes {
		return
	}

	b, err := (&wire.StreamRecords{Records: a.records}).MarshalMsg(nil)
	if err != nil {
		return
	}

	a.records, a.packed = nil, compress(b)
}

// unbundle decompresses the records of a reply. It fails with ErrPeer.
func unbundle(p *wire.StreamReply) error {
	if len(p.Packed) == 0 {
		return nil
	}

	b, err := decompress(p.Packed)
	if err != nil {
		return err
	}

	var l wire.StreamRecords
	if _, err := l.UnmarshalMsg(b); err != nil {
		return errors.Mark(err, ErrPeer)
	}

	p.Records, p.Packed = l.Records, nil

	return nil
}
