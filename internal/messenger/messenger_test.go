package messenger_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/goleak"

	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/standin/waiter"
	"github.com/auburntray/auburntray/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newMessenger(t *testing.T, id uint64) *messenger.Messenger {
	t.Helper()

	m, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), id, &net.Dialer{}, nil)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(stop)

	return m
}

func TestCall(t *testing.T) {
	i := is.New(t)
	a, b := newMessenger(t, 1), newMessenger(t, 2)

	b.Handle(wire.KindSlotRequest, func(_ context.Context, from uint64, x []byte) (msgp.Marshaler, error) {
		var w wire.SlotRequest
		if _, err := w.UnmarshalMsg(x); err != nil {
			return nil, err
		}

		return &wire.SlotReply{Target: w.Cell, RetryAfterMs: uint32(from)}, nil
	})
	b.Handle(wire.KindState, func(context.Context, uint64, []byte) (msgp.Marshaler, error) {
		return nil, errors.New("not now")
	})
	b.Serve()

	var v wire.SlotReply

	for n := range uint32(100) {
		i.NoErr(a.Call(t.Context(), b.Address(), wire.KindSlotRequest, &wire.SlotRequest{Cell: n}, &v))
		i.Equal(v.Target, n)
		i.Equal(v.RetryAfterMs, uint32(1)) // The handler returns the ID of the sender in this field.
	}

	err := a.Call(t.Context(), b.Address(), wire.KindState, &wire.StateRequest{}, &v)
	i.True(errors.Is(err, messenger.ErrRefused))

	err = a.Call(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), wire.KindSlotRequest, &wire.SlotRequest{}, &v)
	i.True(errors.Is(err, messenger.ErrUnreachable))
}

// Guards against failures during a rolling update: instances of an older release close the connections of newer
// ones, or reply incorrectly, when they receive a message of an unknown kind.
func TestUnknownKindsAreSkipped(t *testing.T) {
	i := is.New(t)
	a, b := newMessenger(t, 1), newMessenger(t, 2)

	b.Handle(wire.KindSlotRequest, func(context.Context, uint64, []byte) (msgp.Marshaler, error) { return &wire.SlotReply{Target: 7}, nil })
	b.Serve()

	var v wire.SlotReply

	for _, k := range []wire.Kind{wire.KindLeaving, wire.KindBackoff, wire.Kinds, math.MaxUint8} {
		i.NoErr(a.Send(t.Context(), b.Address(), k, &wire.Gone{Targets: []string{"t"}, StartsMs: []int64{1}}))

		v = wire.SlotReply{}
		i.NoErr(a.Call(t.Context(), b.Address(), wire.KindSlotRequest, &wire.SlotRequest{}, &v))
		i.Equal(v.Target, uint32(7))
	}
}

// Guards against a late reply that is taken for the reply to a later call: a home replies after the requesting
// router timed out, and another request would be sent to the slot reserved for the first.
func TestLateReplyIsDropped(t *testing.T) {
	i := is.New(t)
	a, b := newMessenger(t, 1), newMessenger(t, 2)
	late := make(chan struct{})

	// Claims are handled concurrently, so that a late one does not delay the next.
	b.Handle(wire.KindClaim, func(_ context.Context, _ uint64, x []byte) (msgp.Marshaler, error) {
		var w wire.Claim
		if _, err := w.UnmarshalMsg(x); err != nil {
			return nil, err
		}

		if w.Key == 1 {
			<-late
		}

		return &wire.ClaimReply{Status: int(w.Key)}, nil
	})
	b.Serve()

	c, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()

	var v wire.ClaimReply

	err := a.Call(c, b.Address(), wire.KindClaim, &wire.Claim{Key: 1}, &v)
	i.True(errors.Is(err, messenger.ErrTimeout))
	close(late)

	for n := range uint64(50) {
		i.NoErr(a.Call(t.Context(), b.Address(), wire.KindClaim, &wire.Claim{Key: n + 2}, &v))
		i.Equal(v.Status, int(n+2))
	}
}

// Guards against suspecting a healthy peer after a stall of this process. A dial times out during the stall, and calls
// within redialDelay after it fail immediately. Their errors must be time-outs too: callers that know of the stall
// ignore time-outs, but no other errors.
func TestCallsAfterFailedDialReturnItsCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		m, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, unresponsive{}, nil)
		i.NoErr(err)

		defer stop()

		b := time.Now()

		var took time.Duration

		for range 2 {
			err = m.Call(t.Context(), netip.MustParseAddrPort("10.0.0.1:1"), wire.KindSlotRequest, &wire.SlotRequest{}, &wire.SlotReply{})
			i.True(errors.Is(err, messenger.ErrUnreachable))
			i.True(errors.Is(err, context.DeadlineExceeded))

			if took == 0 {
				took = time.Since(b)
			}
		}

		i.Equal(time.Since(b), took) // The second call did not dial.
	})
}

// unresponsive is a dialer whose dials never complete.
type unresponsive struct{}

func (unresponsive) DialContext(c context.Context, _, _ string) (net.Conn, error) {
	<-c.Done()

	return nil, c.Err()
}

// Guards against arbitrary bytes, which any process that reaches the port can send. A frame that announces gigabytes
// must not cause their allocation, and an invalid frame must close only its own connection.
func TestInvalidFramesCloseTheirConnection(t *testing.T) {
	for name, b := range map[string][]byte{
		"frame above the limit": {0xff, 0xff, 0xff, 0xff, 0x0f},
		"length does not end":   bytes.Repeat([]byte{0xff}, 20),
		"empty frame":           {0},
		"invalid msgpack":       {3, 0xc1, 0xc1, 0xc1},
		"no Hello first":        frame(t, wire.KindSlotRequest, &wire.SlotRequest{}),
		"truncated frame":       frame(t, wire.KindHello, &wire.Hello{From: 1})[:3],
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			m := newMessenger(t, 1)
			m.Serve()

			c, err := net.Dial("tcp", m.Address().String())
			i.NoErr(err)

			defer func() { _ = c.Close() }()

			_, err = c.Write(b)
			i.NoErr(err)
			i.NoErr(c.(*net.TCPConn).CloseWrite())
			i.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))

			_, err = c.Read(make([]byte, 1))
			i.True(err != nil && !errors.Is(err, context.DeadlineExceeded)) // Closed by the peer.
		})
	}
}

func frame(tb testing.TB, k wire.Kind, m msgp.Marshaler) []byte {
	tb.Helper()

	b, err := messenger.Encode(k, 1, m)
	if err != nil {
		tb.Fatal(err)
	}

	return b
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(f, wire.KindSlotRequest, &wire.SlotRequest{Chat: 1, Excluded: []uint32{1}}))
	f.Add([]byte{0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		x, n, err := messenger.Decode(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}

		if n > len(b) {
			t.Fatalf("read %d of %d bytes", n, len(b))
		}

		y, err := messenger.Encode(x.Kind, x.ID, x.Body)
		if err != nil {
			t.Fatal(err)
		}

		z, _, err := messenger.Decode(bufio.NewReader(bytes.NewReader(y)))
		if err != nil || z.Kind != x.Kind || z.ID != x.ID || !bytes.Equal(z.Body, x.Body) {
			t.Fatalf("decoded %v after encoding %v: %v", z, x, err)
		}
	})
}

func TestBytesAreCountedByKind(t *testing.T) {
	is := is.New(t)

	x, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, &net.Dialer{}, nil)
	is.NoErr(err)

	defer stop()

	q, r := &wire.SlotRequest{Prompt: 2000}, &wire.SlotReply{Target: 7}

	x.Handle(wire.KindSlotRequest, func(context.Context, uint64, []byte) (msgp.Marshaler, error) { return r, nil })
	x.Serve()

	var v wire.SlotReply

	is.NoErr(x.Call(t.Context(), x.Address(), wire.KindSlotRequest, q, &v))

	f := x.Traffic()
	is.Equal(f.SentOf(wire.KindSlotRequest), int64(messenger.Size(wire.KindSlotRequest, 1, q)))
	// The reply may arrive before its bytes are counted.
	waiter.Until(t, "the reply's bytes", func() bool {
		return f.SentOf(wire.KindReply) == int64(messenger.Size(wire.KindReply, 1, r))
	})
	is.Equal(f.SentOf(wire.KindUpdate), int64(0))
	is.Equal(x.Outgoing(), 1)

	n, _ := f.Bytes()
	is.Equal(n, f.SentOf(wire.KindSlotRequest)+f.SentOf(wire.KindReply)+f.SentOf(wire.KindHello))
}

func BenchmarkCall(b *testing.B) {
	x, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, &net.Dialer{}, nil)
	if err != nil {
		b.Fatal(err)
	}

	defer stop()

	x.Handle(wire.KindSlotRequest, func(context.Context, uint64, []byte) (msgp.Marshaler, error) {
		return &wire.SlotReply{Target: 1 << 30}, nil
	})
	x.Serve()

	var v wire.SlotReply

	q := &wire.SlotRequest{Seq: 1 << 20, Cell: 1 << 30, Rule: 1 << 30, Customer: 1 << 30, Chat: 1 << 60, Prompt: 2000, Hint: 1 << 30}

	for b.Loop() {
		if err := x.Call(b.Context(), x.Address(), wire.KindSlotRequest, q, &v); err != nil {
			b.Fatal(err)
		}
	}

	s, _ := x.Traffic().Bytes()
	b.ReportMetric(float64(s)/float64(b.N), "bytes/op")
}

// silentFirstDialer makes a first connection that is silent: what is sent is discarded, and no reply or error ever
// arrives. Later connections work.
type silentFirstDialer struct {
	net.Dialer

	// dials counts the connections made.
	dials int
}

func (d *silentFirstDialer) DialContext(c context.Context, network, address string) (net.Conn, error) {
	d.dials++
	if d.dials > 1 {
		return d.Dialer.DialContext(c, network, address)
	}

	n, m := net.Pipe()

	go func() {
		_, _ = io.Copy(io.Discard, m)
		_ = m.Close()
	}()

	return n, nil
}

// Guards against a connection that becomes silent permanently, without a reset, while new ones work: every call to
// the peer would time out until the system reports an error after a quarter of an hour. After two consecutive
// time-outs, a new connection must be made.
func TestSilentConnectionIsReplaced(t *testing.T) {
	i := is.New(t)
	b := newMessenger(t, 2)

	answer := make(chan struct{})

	b.Handle(wire.KindSlotRequest, func(context.Context, uint64, []byte) (msgp.Marshaler, error) { return &wire.SlotReply{}, nil })
	b.Handle(wire.KindReserve, func(context.Context, uint64, []byte) (msgp.Marshaler, error) {
		<-answer

		return &wire.ReserveReply{}, nil
	})
	b.Serve()

	d := &silentFirstDialer{}
	a, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, d, nil)
	i.NoErr(err)
	t.Cleanup(stop)

	call := func(within time.Duration) error {
		c, stop := context.WithTimeout(t.Context(), within)
		defer stop()

		return a.Call(c, b.Address(), wire.KindSlotRequest, &wire.SlotRequest{}, &wire.SlotReply{})
	}

	for range 2 {
		i.True(errors.Is(call(10*time.Millisecond), messenger.ErrTimeout))
	}

	i.NoErr(call(10 * time.Second))
	i.Equal(d.dials, 2)

	// A call that is cancelled by its caller does not count as a time-out of the connection.
	for range 3 {
		c, leave := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Millisecond, leave)

		i.True(a.Call(c, b.Address(), wire.KindReserve, &wire.Reserve{}, &wire.ReserveReply{}) != nil)
	}

	close(answer)
	i.NoErr(call(10 * time.Second))
	i.Equal(d.dials, 2)
}
