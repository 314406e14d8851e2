package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/wire"
)

// thinDialer makes connections over which little comes at a time.
type thinDialer struct{ net.Dialer }

func (d *thinDialer) DialContext(c context.Context, network, address string) (net.Conn, error) {
	x, err := d.Dialer.DialContext(c, network, address)

	return thinConn{x}, err
}

type thinConn struct{ net.Conn }

// Read is part of net.Conn: 16 KB each 10 ms.
func (c thinConn) Read(b []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)

	return c.Conn.Read(b[:min(len(b), 16<<10)])
}

// Guards against a long reply that is given up on its way: in half a second it comes over a thin link, with a
// fifth of a second for each call.
func TestLongReplyIsAwaitedWhileItArrives(t *testing.T) {
	b := newMessenger(t, 2)
	long := make([]byte, 1<<20)

	b.Handle(wire.KindStream, func(context.Context, uint64, []byte) (msgp.Marshaler, error) {
		return &wire.StreamReply{Packed: long}, nil
	})
	b.Handle(wire.KindClaim, func(c context.Context, _ uint64, _ []byte) (msgp.Marshaler, error) {
		<-c.Done() // No answer at all.

		return nil, errors.New("over")
	})
	b.Serve()

	for name, x := range map[string]struct {
		kind wire.Kind
		read msgp.Unmarshaler
		err  error
	}{
		"a long reply": {wire.KindStream, &wire.StreamReply{}, nil},
		"none":         {wire.KindClaim, &wire.ClaimReply{}, messenger.ErrTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			a, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, &thinDialer{}, nil)
			i.NoErr(err)

			defer stop()

			c, end := extender.New(t.Context(), extender.Settings{Initial: 200 * time.Millisecond, Idle: time.Second, Max: time.Minute})
			defer end()

			i.True(errors.Is(a.Call(c, b.Address(), x.kind, &wire.StreamRequest{}, x.read), x.err))
		})
	}
}
