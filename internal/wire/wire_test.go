package wire_test

import (
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/wire"
)

// oversized returns a truncated message that declares the given number of fields. It consists of the
// given number of empty lists and of a list that declares 2^24 elements and has none.
func oversized(fields, emptyLists int) []byte {
	const (
		fixArray = 0x90
		array32  = 0xdd
		elements = 16 << 20
	)

	b := []byte{fixArray | byte(fields)}
	for range emptyLists {
		b = append(b, fixArray)
	}

	return binary.BigEndian.AppendUint32(append(b, array32), elements)
}

// Guards against an instance that runs out of memory on a message of ten bytes, because the decoder
// allocates a list from its declared length before it reads the elements.
func TestOversizedListLengths(t *testing.T) {
	const maxAllocated = 32 << 20

	for name, x := range map[string]struct {
		message msgp.Unmarshaler
		body    []byte
	}{
		"prompt prefixes": {&wire.Update{}, oversized(2, 0)},
		"loads":           {&wire.Update{}, oversized(2, 1)},
		"processes":       {&wire.Gone{}, oversized(2, 0)},
		"starts":          {&wire.Gone{}, oversized(2, 1)},
		"suspected calls": {&wire.Suspects{}, oversized(3, 0)},
		"crashes":         {&wire.Suspects{}, append([]byte{0x93, 0x91}, append([]byte{0x93, 0x01, 0x01}, oversized(0, 0)[1:]...)...)},
		"released calls":  {&wire.ReleaseRequest{}, oversized(2, 0)},
		"records":         {&wire.StreamRecords{}, oversized(1, 0)},
		"record value":    {&wire.StreamRecord{}, []byte{0x94, 0xa0, 0xc6, 0xff, 0xff, 0xff, 0xff}},
		"packed records":  {&wire.StreamReply{}, []byte{0x95, 0x00, 0xc2, 0x00, 0x90, 0xc6, 0xff, 0xff, 0xff, 0xff}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var a, b runtime.MemStats

			runtime.ReadMemStats(&a)

			_, err := x.message.UnmarshalMsg(x.body)

			runtime.ReadMemStats(&b)
			is.True(err != nil)
			is.True(b.TotalAlloc-a.TotalAlloc < maxAllocated)
		})
	}
}

// Guards against a long configuration that instances cannot send to each other: the limit on the elements
// of a list also applied to the bytes of a value.
func TestLongValues(t *testing.T) {
	v := make([]byte, 4<<20)

	for name, x := range map[string]struct {
		sent, received interface {
			msgp.Marshaler
			msgp.Unmarshaler
		}
		value func(m any) int
	}{
		"record value": {
			&wire.StreamRecord{Value: v}, &wire.StreamRecord{},
			func(m any) int { return len(m.(*wire.StreamRecord).Value) },
		},
		"packed records": {
			&wire.StreamReply{Packed: v}, &wire.StreamReply{},
			func(m any) int { return len(m.(*wire.StreamReply).Packed) },
		},
		"router configuration": {
			&wire.StateReply{Body: v}, &wire.StateReply{},
			func(m any) int { return len(m.(*wire.StateReply).Body) },
		},
		"answer to a claimed call": {
			&wire.Settle{Answer: v}, &wire.Settle{},
			func(m any) int { return len(m.(*wire.Settle).Answer) },
		},
		"answer in a claim reply": {
			&wire.ClaimReply{Answer: v}, &wire.ClaimReply{},
			func(m any) int { return len(m.(*wire.ClaimReply).Answer) },
		},
		"answer in the log": {
			&wire.ClaimRecord{Answer: v}, &wire.ClaimRecord{},
			func(m any) int { return len(m.(*wire.ClaimRecord).Answer) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			b, err := x.sent.MarshalMsg(nil)
			i.NoErr(err)

			_, err = x.received.UnmarshalMsg(b)
			i.NoErr(err)
			i.Equal(x.value(x.received), len(v))
		})
	}
}
