package spreader

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/wire"
)

// sendTimeout bounds a message to one instance.
const sendTimeout = 300 * time.Millisecond

// Members knows the other instances.
type Members interface {
	Live() []gossiper.Member
	Self() gossiper.Member
}

// Messenger sends to other instances.
type Messenger interface {
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// Spreader sends in the background and does not tell what failed: what it carries is told
// again, or found out otherwise. It is safe for concurrent use.
type Spreader struct {
	messenger Messenger
	members   Members
}

// New returns a Spreader.
func New(m Messenger, x Members) *Spreader {
	return &Spreader{messenger: m, members: x}
}

// All sends a message to all others, once to each larger data centre.
func (s *Spreader) All(c context.Context, k Kinds, w msgp.Marshaler) {
	s.send(c, route(k, s.members.Live(), s.members.Self()), w)
}

// Near sends a message to the others of the own data centre.
func (s *Spreader) Near(c context.Context, k Kinds, w msgp.Marshaler) {
	s.send(c, near(k, s.members.Live(), s.members.Self()), w)
}

// Each sends a message to each of the others.
func (s *Spreader) Each(c context.Context, k wire.Kind, w msgp.Marshaler) {
	s.send(c, direct(k, s.members.Live(), s.members.Self()), w)
}

// send sends a message by each of the ways in the background.
func (s *Spreader) send(c context.Context, l []leg, w msgp.Marshaler) {
	for _, x := range l {
		go func() {
			for _, m := range x.to {
				if s.sendTo(c, m, x.kind, w) {
					return
				}
			}
		}()
	}
}

// sendTo sends a message to one instance and says whether it took it.
func (s *Spreader) sendTo(c context.Context, m gossiper.Member, k wire.Kind, w msgp.Marshaler) bool {
	x, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	err := s.messenger.Send(x, m.Address, k, w)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "newsFailed", "peer": m.Address, "error": err}).Debug()
	}

	return err == nil
}
