// Package informer tells the other instances where prompts are cached.
//
// Each instance sees a sliver of the calls. Without the others' word it would
// take a target to be without a prompt that another instance's call left there,
// and have it read a second time elsewhere.
package informer

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/chooser"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrNews marks news that can't be read.
var ErrNews = errors.New("the news is not valid")

const (
	// leastEvery is the time between two tellings. A chat returns after seconds.
	leastEvery = 100 * time.Millisecond
	// eachEvery is added for each instance that is told, so that an instance takes
	// some 60 messages a second however many there are.
	eachEvery = 16 * time.Millisecond
	// maxList bounds one message; 12 bytes each.
	maxList     = 1024
	sendTimeout = 300 * time.Millisecond
)

// Members knows the other instances.
type Members interface {
	Live() []gossiper.Member
	Self() gossiper.Member
}

// Messenger sends to other instances.
type Messenger interface {
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// Places is what this instance knows of where prompts are.
type Places interface {
	News() []chooser.Place
	Learn(l []chooser.Place)
}

// Informer tells and is told. It is safe for concurrent use.
type Informer struct {
	messenger Messenger
	members   Members
	places    Places
}

// New returns an Informer.
func New(m Messenger, x Members, p Places) *Informer {
	return &Informer{messenger: m, members: x, places: p}
}

// Run tells the others until the context ends.
func (i *Informer) Run(c context.Context) {
	for c.Err() == nil {
		l := i.members.Live()
		i.tell(c, l)

		t := time.NewTimer(max(leastEvery, time.Duration(len(l))*eachEvery))

		select {
		case <-t.C:
		case <-c.Done():
			t.Stop()
		}
	}
}

// Told takes what another instance tells.
func (i *Informer) Told(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Holders
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrNews)
	}

	l := make([]chooser.Place, 0, len(w.List))
	for _, h := range w.List {
		l = append(l, chooser.Place{Key: h.Key, Target: h.Target})
	}

	i.places.Learn(l)

	return nil, nil //nolint:nilnil // News has no reply.
}

// tell sends what is new to each of the others. What does not arrive is told again
// when it is used later.
func (i *Informer) tell(c context.Context, l []gossiper.Member) {
	n := i.places.News()
	if len(n) == 0 {
		return
	}

	var w wire.Holders

	for _, p := range n[:min(len(n), maxList)] {
		w.List = append(w.List, wire.Holder{Key: p.Key, Target: p.Target})
	}

	for _, m := range l {
		if m.ID == i.members.Self().ID {
			continue
		}

		go func() {
			x, stop := context.WithTimeout(c, sendTimeout)
			defer stop()

			if err := i.messenger.Send(x, m.Address, wire.KindHolders, &w); err != nil {
				logrus.WithFields(logrus.Fields{"event": "newsFailed", "peer": m.Address, "error": err}).Debug()
			}
		}()
	}
}
