package wire_test

import (
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/wire"
)

// claimed returns a message of so many fields, of which the one after some empty ones claims to
// be a list of sixteen million and ends there.
func claimed(fields, before int) []byte {
	const (
		fixArray = 0x90
		array32  = 0xdd
		elements = 16 << 20
	)

	b := []byte{fixArray | byte(fields)}
	for range before {
		b = append(b, fixArray)
	}

	return binary.BigEndian.AppendUint32(append(b, array32), elements)
}

// An instance ends for want of memory as it reads ten bytes of a peer, and again each time that it
// is told them: a list's length is believed before its elements are there.
func TestListsThatClaimTooMuch(t *testing.T) {
	const most = 32 << 20

	for name, x := range map[string]struct {
		message msgp.Unmarshaler
		body    []byte
	}{
		"places":          {&wire.News{}, claimed(2, 0)},
		"loads":           {&wire.News{}, claimed(2, 1)},
		"processes":       {&wire.Gone{}, claimed(2, 0)},
		"starts":          {&wire.Gone{}, claimed(2, 1)},
		"suspected calls": {&wire.Suspects{}, claimed(3, 0)},
		"ends":            {&wire.Suspects{}, append([]byte{0x93, 0x91}, append([]byte{0x93, 0x01, 0x01}, claimed(0, 0)[1:]...)...)},
		"released calls":  {&wire.ReleaseRequest{}, claimed(2, 0)},
		"records":         {&wire.StreamRecords{}, claimed(1, 0)},
		"a value":         {&wire.StreamRecord{}, []byte{0x94, 0xa0, 0xc6, 0xff, 0xff, 0xff, 0xff}},
		"a short form":    {&wire.StreamReply{}, []byte{0x95, 0x00, 0xc2, 0x00, 0x90, 0xc6, 0xff, 0xff, 0xff, 0xff}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var a, b runtime.MemStats

			runtime.ReadMemStats(&a)

			_, err := x.message.UnmarshalMsg(x.body)

			runtime.ReadMemStats(&b)
			is.True(err != nil)
			is.True(b.TotalAlloc-a.TotalAlloc < most)
		})
	}
}

// Guards against a configuration that no instance can tell another: the bound on the elements of a list held
// for the bytes of a value too.
func TestLongValuesAreRead(t *testing.T) {
	v := make([]byte, 4<<20)

	for name, x := range map[string]struct {
		sent, read interface {
			msgp.Marshaler
			msgp.Unmarshaler
		}
		value func(m any) int
	}{
		"a record's value": {
			&wire.StreamRecord{Value: v}, &wire.StreamRecord{},
			func(m any) int { return len(m.(*wire.StreamRecord).Value) },
		},
		"records in their short form": {
			&wire.StreamReply{Packed: v}, &wire.StreamReply{},
			func(m any) int { return len(m.(*wire.StreamReply).Packed) },
		},
		"the state of the router's configuration": {
			&wire.StateReply{Body: v}, &wire.StateReply{},
			func(m any) int { return len(m.(*wire.StateReply).Body) },
		},
		"the answer to a call that runs once": {
			&wire.Settle{Answer: v}, &wire.Settle{},
			func(m any) int { return len(m.(*wire.Settle).Answer) },
		},
		"such an answer, told again": {
			&wire.ClaimReply{Answer: v}, &wire.ClaimReply{},
			func(m any) int { return len(m.(*wire.ClaimReply).Answer) },
		},
		"such an answer, in the log": {
			&wire.ClaimRecord{Answer: v}, &wire.ClaimRecord{},
			func(m any) int { return len(m.(*wire.ClaimRecord).Answer) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			b, err := x.sent.MarshalMsg(nil)
			i.NoErr(err)

			_, err = x.read.UnmarshalMsg(b)
			i.NoErr(err)
			i.Equal(x.value(x.read), len(v))
		})
	}
}
