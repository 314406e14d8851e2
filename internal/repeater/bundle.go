package repeater

import (
	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/wire"
)

// bundleFrom is the length of records together from which they are compressed, in bytes.
// From some five records on that leaves less than half.
const bundleFrom = 1 << 10

// maxBundles bounds the bundles that a stream keeps. Instances that have read as far as
// each other ask from the same few offsets.
const maxBundles = 16

// bundles are answers in their short form. Packing takes part of a millisecond for each
// hundred records, and a hundred instances that have just started ask one seed the same.
// Not safe for concurrent use.
type bundles struct {
	// next is the offset up to which they go.
	next int64
	from map[int64][]byte
}

// get returns the bundle from an offset up to another, and nil when it is not kept.
func (b *bundles) get(from, next int64) []byte {
	if b.next != next {
		return nil
	}

	return b.from[from]
}

// put keeps a bundle. Those that end elsewhere are forgotten.
func (b *bundles) put(from, next int64, v []byte) {
	if b.next != next || b.from == nil || len(b.from) >= maxBundles {
		b.next, b.from = next, make(map[int64][]byte)
	}

	b.from[from] = v
}

// bundle puts the records of an answer in their short form, when they are long together.
//
// The list of targets is thousands of records of a few hundred bytes, much like each
// other. Told one by one to a hundred instances that have just started they would take a
// link of 10 Mbit/s for longer than it takes until the next ones come, and whoever asks
// for the whole list would give up before it is there.
func (s *Stream) bundle(p *wire.StreamReply, from int64) {
	n := 0

	for _, r := range p.Records {
		if !r.Packed {
			n += len(r.Value)
		}
	}

	if n < bundleFrom {
		return
	}

	s.packing.Lock()
	defer s.packing.Unlock()

	v := s.bundles.get(from, p.Next)
	if v == nil {
		b, err := (&wire.StreamRecords{Records: p.Records}).MarshalMsg(nil)
		if err != nil {
			return
		}

		v = pack(b)
		s.bundles.put(from, p.Next, v)
	}

	p.Records, p.Packed = nil, v
}

// unbundle puts the records of an answer back in their place. It fails with ErrPeer.
func unbundle(p *wire.StreamReply) error {
	if len(p.Packed) == 0 {
		return nil
	}

	b, err := unpack(p.Packed)
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
