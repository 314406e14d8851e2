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

// slowDialer makes connections that receive 16 KiB every 50 ms.
type slowDialer struct{ net.Dialer }

func (d *slowDialer) DialContext(c context.Context, network, address string) (net.Conn, error) {
	x, err := d.Dialer.DialContext(c, network, address)

	return slowConn{x}, err
}

type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(b []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)

	return c.Conn.Read(b[:min(len(b), 16<<10)])
}

// Guards against a call that times out while its long reply arrives: over a narrow-bandwidth link, the reply takes more
// than three seconds, while the time-out of the call is one second. That is ample for the first bytes of the reply to
// arrive on a busy machine.
func TestDeadlineIsExtendedWhileReplyArrives(t *testing.T) {
	const initial = time.Second

	b := newMessenger(t, 2)
	long := make([]byte, 1<<20)

	b.Handle(wire.KindStream, func(context.Context, uint64, []byte) (msgp.Marshaler, error) {
		return &wire.StreamReply{Packed: long}, nil
	})
	b.Handle(wire.KindClaim, func(c context.Context, _ uint64, _ []byte) (msgp.Marshaler, error) {
		<-c.Done() // Never replies.

		return nil, errors.New("over")
	})
	b.Serve()

	for name, x := range map[string]struct {
		kind wire.Kind
		read msgp.Unmarshaler
		err  error
	}{
		"long reply": {wire.KindStream, &wire.StreamReply{}, nil},
		"no reply":   {wire.KindClaim, &wire.ClaimReply{}, messenger.ErrTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			a, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, &slowDialer{}, nil)
			i.NoErr(err)

			defer stop()

			c, end := extender.New(t.Context(), extender.Settings{Initial: initial, Idle: 5 * time.Second, Max: time.Minute})
			defer end()

			n := time.Now()
			err = a.Call(c, b.Address(), x.kind, &wire.StreamRequest{}, x.read)
			i.True(errors.Is(err, x.err))

			if x.err == nil {
				i.True(time.Since(n) > 3*initial)
			}
		})
	}
}
