package broadcaster

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/wire"
)

// sendTimeout bounds the sending of a message to one instance.
const sendTimeout = 300 * time.Millisecond

// Members lists the live instances and identifies this one.
type Members interface {
	Live() []gossiper.Member
	Self() gossiper.Member
}

// Messenger sends messages to other instances.
type Messenger interface {
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// Broadcaster sends messages in the background and does not report failures: the information in its messages
// is sent again later, or the receivers detect it by other means. It is safe for concurrent use.
type Broadcaster struct {
	messenger Messenger
	members   Members
}

// New returns a Broadcaster.
func New(m Messenger, x Members) *Broadcaster {
	return &Broadcaster{messenger: m, members: x}
}

// All sends a message to all other instances, once to each large data centre.
func (b *Broadcaster) All(c context.Context, k Kinds, w msgp.Marshaler) {
	b.send(c, routes(k, b.members.Live(), b.members.Self()), w)
}

// Local sends a message to the other instances of the own data centre.
func (b *Broadcaster) Local(c context.Context, k Kinds, w msgp.Marshaler) {
	b.send(c, localRoutes(k, b.members.Live(), b.members.Self()), w)
}

// Direct sends a message directly to each of the other instances.
func (b *Broadcaster) Direct(c context.Context, k wire.Kind, w msgp.Marshaler) {
	b.send(c, directRoutes(k, b.members.Live(), b.members.Self()), w)
}

// send sends a message on each of the routes in the background.
func (b *Broadcaster) send(c context.Context, l []route, w msgp.Marshaler) {
	for _, x := range l {
		go func() {
			for _, m := range x.to {
				if b.sendTo(c, m, x.kind, w) {
					return
				}
			}
		}()
	}
}

// sendTo sends a message to one instance and reports whether it was accepted.
func (b *Broadcaster) sendTo(c context.Context, m gossiper.Member, k wire.Kind, w msgp.Marshaler) bool {
	x, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	err := b.messenger.Send(x, m.Address, k, w)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "newsFailed", "peer": m.Address, "error": err}).Debug()
	}

	return err == nil
}
