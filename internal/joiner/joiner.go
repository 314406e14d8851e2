// Package joiner keeps a router in touch with the others: it sends and takes
// gossip and reads the platform's list.
package joiner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// tickEvery is the time between two rounds of gossip.
	tickEvery = time.Second
	// listEvery is the time between two reads of the platform's list. The read
	// returns changes only, so it costs little when nothing changed.
	listEvery   = time.Second
	sendTimeout = 500 * time.Millisecond
	roleRouter  = "router"
)

// ErrGossip marks gossip that can't be read.
var ErrGossip = errors.New("the gossip is not valid")

// messenger sends messages to peers.
type messenger interface {
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
}

// lister reads the platform's list.
type lister interface {
	Instances(c context.Context, since uint64) (recorder.List, error)
}

// Joiner follows which routers are live. It is safe for concurrent use.
type Joiner struct {
	messenger messenger
	lister    lister
	self      gossiper.Member
	revision  func() uint64
	// ahead is told of peers that hold a newer revision.
	ahead func(a netip.AddrPort, revision uint64)
	// seen is told of the platform's word on targets.
	seen func(recorder.Instance)

	mu       sync.Mutex
	seeds    []netip.AddrPort
	gossiper *gossiper.Gossiper
	listed   map[netip.AddrPort]bool
	version  uint64
}

// NewID returns an ID for this process that is higher than that of any earlier one
// at its address, as far as its clock goes, and that no two processes share. It tells the class of the process's
// link, see gossiper.Member.Link.
func NewID(k gossiper.LinkClass) uint64 {
	var b [8]byte

	_, _ = rand.Read(b[:])

	const randomBits = 12

	o := uint64(time.Now().UnixMicro())<<randomBits | binary.LittleEndian.Uint64(b[:])&(1<<randomBits-1)

	return o>>gossiper.LinkClassBits<<gossiper.LinkClassBits | uint64(k)
}

// Hooks connect a Joiner with the rest of the router.
type Hooks struct {
	Revision func() uint64
	Ahead    func(a netip.AddrPort, revision uint64)
	Seen     func(recorder.Instance)
}

// New returns a Joiner that knows its own router and the seeds' addresses.
func New(m messenger, l lister, g *gossiper.Gossiper, self gossiper.Member, seeds []netip.AddrPort, h Hooks) *Joiner {
	return &Joiner{
		messenger: m, lister: l, seeds: seeds, self: self, gossiper: g,
		revision: h.Revision, ahead: h.Ahead, seen: h.Seen,
		listed: make(map[netip.AddrPort]bool),
	}
}

// Run gossips and reads the list until the context ends.
func (j *Joiner) Run(c context.Context) {
	j.list(c)
	j.tick(c)

	t := time.NewTicker(tickEvery)
	defer t.Stop()

	l := time.NewTicker(listEvery)
	defer l.Stop()

	for {
		select {
		case <-t.C:
			j.tick(c)
		case <-l.C:
			j.list(c)
		case <-c.Done():
			return
		}
	}
}

// Gossip answers a gossip message.
func (j *Joiner) Gossip(c context.Context, from uint64, body []byte) (msgp.Marshaler, error) {
	var w wire.Gossip
	if _, err := w.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrGossip)
	}

	j.mu.Lock()
	_, known := j.gossiper.Address(from)
	m := j.gossiper.Receive(time.Now(), w)
	a, ok := j.gossiper.Address(from)
	j.mu.Unlock()

	if !ok {
		return nil, nil //nolint:nilnil // Gossip has no reply.
	}

	if w.Revision > j.revision() {
		go j.ahead(a, w.Revision)
	}

	// A router that is new here is welcomed at once, so that two routers know each
	// other after one message and not after a random one, and a newcomer knows those of
	// its data centre.
	if !known {
		m = append(m, j.welcome(from)...)
	}

	if len(m) > 0 {
		go j.send(c, gossiper.Message{To: a, Gossip: wire.Gossip{Revision: j.revision(), Members: m}})
	}

	return nil, nil //nolint:nilnil // Gossip has no reply.
}

// SetKeys sets the keys whose homes make way for each other.
func (j *Joiner) SetKeys(k []gossiper.Key) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.gossiper.SetKeys(k)
}

// Home returns the router that is responsible for a key among those of the
// given data centres.
func (j *Joiner) Home(key uint64, centres []string) (gossiper.Member, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()

	o := j.gossiper.Homes(time.Now(), key, centres, 1)
	if len(o) == 0 {
		return gossiper.Member{}, false
	}

	return o[0], true
}

// Successor returns the router that would be responsible for a key if this one,
// which is, were gone. There is none when this router is not responsible.
func (j *Joiner) Successor(key uint64, centres []string) (gossiper.Member, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()

	o := j.gossiper.Homes(time.Now(), key, centres, 2)
	if len(o) < 2 || o[0].ID != j.self.ID {
		return gossiper.Member{}, false
	}

	return o[1], true
}

// Live returns the routers that may be given work.
func (j *Joiner) Live() []gossiper.Member {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.gossiper.Live(time.Now())
}

// Suspect passes a router over for a while because a call to it failed.
func (j *Joiner) Suspect(id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.gossiper.Suspect(time.Now(), id)
}

// Self returns the own router.
func (j *Joiner) Self() gossiper.Member {
	return j.self
}

// Seeds returns the addresses of the settings at which instances may be found.
func (j *Joiner) Seeds() []netip.AddrPort {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.seeds
}

// SetSeeds replaces the addresses at which instances may be found.
func (j *Joiner) SetSeeds(l []netip.AddrPort) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.seeds = l
}

func (j *Joiner) welcome(id uint64) []wire.Member {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.gossiper.Welcome(id)
}

// Leave tells the others that this router is stopping.
func (j *Joiner) Leave(c context.Context) {
	j.mu.Lock()
	j.gossiper.Leave()
	j.mu.Unlock()
	j.tick(c)
}

func (j *Joiner) tick(c context.Context) {
	j.mu.Lock()
	m := j.gossiper.Tick(time.Now(), j.revision())
	m = append(m, j.greetings()...)
	j.mu.Unlock()

	for _, x := range m {
		go j.send(c, x)
	}
}

// greetings returns gossip for addresses of the settings and the list that no
// known router has.
func (j *Joiner) greetings() []gossiper.Message {
	k := map[netip.AddrPort]bool{j.self.Address: true}
	for _, m := range j.gossiper.Live(time.Now()) {
		k[m.Address] = true
	}

	w := wire.Gossip{Members: []wire.Member{j.self.Introduction()}}

	var o []gossiper.Message

	for _, a := range j.seeds {
		if !k[a] {
			k[a] = true
			o = append(o, gossiper.Message{To: a, Gossip: w})
		}
	}

	for a := range j.listed {
		if !k[a] {
			o = append(o, gossiper.Message{To: a, Gossip: w})
		}
	}

	return o
}

func (j *Joiner) send(c context.Context, m gossiper.Message) {
	x, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	if err := j.messenger.Send(x, m.To, wire.KindGossip, &m.Gossip); err != nil {
		logrus.WithFields(logrus.Fields{"event": "gossipFailed", "peer": m.To, "error": err}).Debug()
	}
}

// list takes in what changed in the platform's list. While the platform can't
// be reached, the last list stands.
func (j *Joiner) list(c context.Context) {
	x, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	l, err := j.lister.Instances(x, j.version)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "listFailed", "error": err}).Debug()

		return
	}

	j.version = l.Version

	for _, i := range l.Instances {
		if i.Role != roleRouter {
			j.seen(i)

			continue
		}

		j.mu.Lock()

		if i.Gone || i.Leaving {
			delete(j.listed, i.Address)
		} else {
			j.listed[i.Address] = true
		}

		j.mu.Unlock()
	}
}
