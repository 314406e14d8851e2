package repeater

import (
	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// bundleMinBytes is the total length from which a reply's records are compressed together. From about five
// target records on, compression more than halves the total length.
const bundleMinBytes = 1 << 10

// maxBundles bounds the cached bundles of a stream. Instances that have read equally far request records from the
// same few positions.
const maxBundles = 16

// bundles caches the compressed records of replies, by the position of the request. Compressing takes a fraction of
// a millisecond per hundred records, and a hundred instances that have just started request the same records from
// one seed. It is not safe for concurrent use.
type bundles struct {
	// next is the position after the last record of each bundle: all bundles end there.
	next watcher.Position
	// byPosition holds each bundle under the position from which its records were requested.
	byPosition map[watcher.Position][]byte
}

// get returns the bundle of the records from a position up to next, or nil when it is not cached.
func (b *bundles) get(from, next watcher.Position) []byte {
	if b.next != next {
		return nil
	}

	return b.byPosition[from]
}

// put caches a bundle and evicts those with another end, or all when the cache is full.
func (b *bundles) put(from, next watcher.Position, v []byte) {
	if b.next != next || b.byPosition == nil || len(b.byPosition) >= maxBundles {
		b.next, b.byPosition = next, make(map[watcher.Position][]byte)
	}

	b.byPosition[from] = v
}

// bundle compresses the records of a reply together, when they are long enough.
//
// The list of targets has thousands of similar records of a few hundred bytes. Sent uncompressed to a hundred
// instances that have just started, they would occupy a link of 10 Mbit/s for longer than it takes until the next
// records arrive, and requests for the complete list would time out.
func (s *Stream) bundle(p *wire.StreamReply, from watcher.Position) {
	n := 0

	for _, r := range p.Records {
		if !r.Packed {
			n += len(r.Value)
		}
	}

	if n < bundleMinBytes {
		return
	}

	s.compressing.Lock()
	defer s.compressing.Unlock()

	v := s.bundles.get(from, position(p))
	if v == nil {
		b, err := (&wire.StreamRecords{Records: p.Records}).MarshalMsg(nil)
		if err != nil {
			return
		}

		v = compress(b)
		s.bundles.put(from, position(p), v)
	}

	p.Records, p.Packed = nil, v
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
