package messenger_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/standin/waiter"
	"github.com/auburntray/auburntray/internal/wire"
)

// stranger connects to a messenger and sends.
func stranger(t *testing.T, m *messenger.Messenger, l ...[]byte) net.Conn {
	t.Helper()

	c, err := net.Dial("tcp", m.Address().String())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = c.Close() })

	if err := c.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}

	for _, b := range l {
		_, _ = c.Write(b) // The connection may be closed.
	}

	return c
}

func encoded(t *testing.T, k wire.Kind, id uint32, x msgp.Marshaler) []byte {
	t.Helper()

	b, err := messenger.Encode(k, id, x)
	if err != nil {
		t.Fatal(err)
	}

	return b
}

// Guards against strangers whose messages hold the memory of the process: long ones that never end, and a hello that is one.
func TestLongMessagesOfStrangers(t *testing.T) {
	const most, half = 16 << 20, 8 << 20

	hello := encoded(t, wire.KindHello, 0, &wire.Hello{From: 7})
	long := binary.AppendUvarint(nil, most)

	for name, sent := range map[string][][]byte{
		"hello":   {long, bytes.Repeat([]byte("x"), half)},
		"message": {hello, long, bytes.Repeat([]byte("x"), half)},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a := accountant.New(64 << 20)
			m := newMessenger(t, 1)
			m.SetMemory(a)
			m.Handle(wire.KindSlotRequest, func(context.Context, uint64, []byte) (msgp.Marshaler, error) { return &wire.SlotReply{Target: 7}, nil })
			m.Serve()

			for range 4 {
				stranger(t, m, sent...)
			}

			i.True(a.Peak() <= a.Budget())

			var v wire.SlotReply

			i.NoErr(newMessenger(t, 2).Call(t.Context(), m.Address(), wire.KindSlotRequest, &wire.SlotRequest{}, &v))
			i.Equal(v.Target, uint32(7))
		})
	}
}

// Guards against instances that lose each other because callers hold all memory.
func TestShortMessagesWithoutMemory(t *testing.T) {
	i := is.New(t)
	a := accountant.New(64 << 20)
	a.Charge(accountant.Body, a.Budget())

	m := newMessenger(t, 1)
	m.SetMemory(a)
	m.Handle(wire.KindSlotRequest, func(context.Context, uint64, []byte) (msgp.Marshaler, error) { return &wire.SlotReply{Target: 7}, nil })
	m.Serve()

	var v wire.SlotReply

	i.NoErr(newMessenger(t, 2).Call(t.Context(), m.Address(), wire.KindSlotRequest, &wire.SlotRequest{}, &v))
	i.Equal(v.Target, uint32(7))
}

// Guards against a peer that reads no replies: each would hold its connection for as long as the peer stays.
func TestRepliesThatAreNotRead(t *testing.T) {
	m := newMessenger(t, 1)
	m.Handle(wire.KindState, func(context.Context, uint64, []byte) (msgp.Marshaler, error) {
		return &wire.StateReply{Body: make([]byte, 8<<20)}, nil
	})
	m.Serve()

	q := encoded(t, wire.KindState, 1, &wire.StateRequest{})
	c := stranger(t, m, encoded(t, wire.KindHello, 0, &wire.Hello{From: 7}), q, q)

	waiter.Until(t, "the end of the connection", func() bool {
		_, err := c.Write(q)

		return err != nil
	})
}

// Guards against requests that are handled beside others and hold the memory of the process.
func TestRequestsBeyondTheMemory(t *testing.T) {
	i := is.New(t)
	a := accountant.New(64 << 20)
	m := newMessenger(t, 1)
	m.SetMemory(a)

	release := make(chan struct{})

	m.Handle(wire.KindClaim, func(context.Context, uint64, []byte) (msgp.Marshaler, error) {
		<-release

		return &wire.ClaimReply{}, nil
	})
	m.Serve()

	c := stranger(t, m, encoded(t, wire.KindHello, 0, &wire.Hello{From: 7}))
	q := bytes.Repeat(encoded(t, wire.KindClaim, 1, &wire.Claim{}), 100)

	go func() {
		for range 100 {
			if _, err := c.Write(q); err != nil {
				return
			}
		}
	}()

	// A request beyond the memory is answered at once.
	_, err := io.ReadFull(c, make([]byte, 1))
	i.NoErr(err)
	i.True(a.Peak() <= a.Budget())
	close(release)
	waiter.Until(t, "the release of the memory", func() bool { _ = c.Close(); return a.Held(accountant.Message) == 0 })
}
