// Package joiner maintains a router's membership in the fleet: it probes other routers, tells
// them changes and reads the platform's list of instances.
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
	gossipInterval = time.Second
	// listInterval is short because a read of the platform's list returns only changes.
	listInterval = time.Second
	sendTimeout  = 500 * time.Millisecond
	// changeDelay is how long changes of the membership are gathered before they are sent.
	changeDelay = 100 * time.Millisecond
	roleRouter  = "router"
)

// ErrGossip marks errors in decoding a gossip message.
var ErrGossip = errors.New("invalid gossip message")

// Messenger sends messages to peers.
type Messenger interface {
	Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error
	Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error
}

// lister reads the changes in the platform's list of instances.
type lister interface {
	Instances(c context.Context, since uint64) (recorder.List, error)
}

// Joiner tracks which routers are live. It is safe for concurrent use.
type Joiner struct {
	messenger Messenger
	lister    lister
	self      gossiper.Member
	revision  func() uint64
	// onNewerRevision is called for peers with a newer configuration revision.
	onNewerRevision func(a netip.AddrPort, revision uint64)
	// onTargetChange is called for changes of targets in the platform's list.
	onTargetChange func(recorder.Instance)

	mu       sync.Mutex
	seeds    []netip.AddrPort
	gossiper *gossiper.Gossiper
	// listed contains the addresses of the routers in the platform's list.
	listed map[netip.AddrPort]bool
	// requesting reports that members are being requested.
	requesting bool
	// version is the version of the platform's list as last read. Only readList uses it.
	version uint64
	// changed receives a value when there are changes to send.
	changed chan struct{}
}

// NewID returns an ID for this process from the current time, random bits and the class of its link (see
// gossiper.Member.Link). The ID is higher than that of any earlier process at the same address unless the clock was
// set back, and two processes have the same ID only by an improbable collision of time and random bits.
func NewID(k gossiper.LinkClass) uint64 {
	var b [8]byte

	_, _ = rand.Read(b[:])

	const randomBits = 12

	o := uint64(time.Now().UnixMicro())<<randomBits | binary.LittleEndian.Uint64(b[:])&(1<<randomBits-1)

	return o>>gossiper.LinkClassBits<<gossiper.LinkClassBits | uint64(k)
}

// Hooks connects a Joiner with the rest of the router. All fields are required.
type Hooks struct {
	// Revision returns the revision of the configuration in force.
	Revision func() uint64
	// OnNewerRevision is called in its own goroutine when a peer has a newer revision.
	OnNewerRevision func(a netip.AddrPort, revision uint64)
	// OnTargetChange is called for each change of a target in the platform's list.
	OnTargetChange func(recorder.Instance)
}

// New returns a Joiner that knows only its own router and the addresses of the seeds.
func New(m Messenger, l lister, g *gossiper.Gossiper, self gossiper.Member, seeds []netip.AddrPort, h Hooks) *Joiner {
	return &Joiner{
		messenger: m, lister: l, seeds: seeds, self: self, gossiper: g,
		revision: h.Revision, onNewerRevision: h.OnNewerRevision, onTargetChange: h.OnTargetChange,
		listed:  make(map[netip.AddrPort]bool),
		changed: make(chan struct{}, 1),
	}
}

// Run exchanges gossip and reads the platform's list until the context ends.
func (j *Joiner) Run(c context.Context) {
	j.readList(c)
	j.tick(c)

	t := time.NewTicker(gossipInterval)
	defer t.Stop()

	l := time.NewTicker(listInterval)
	defer l.Stop()

	var send <-chan time.Time

	for {
		select {
		case <-j.changed:
			if send == nil {
				send = time.After(changeDelay)
			}
		case <-send:
			send = nil
			j.sendChanges(c)
		case <-t.C:
			j.tick(c)
		case <-l.C:
			j.readList(c)
		case <-c.Done():
			return
		}
	}
}

// SetKeys sets the keys whose homes are spread over different routers, see
// gossiper.Assign.
func (j *Joiner) SetKeys(k []gossiper.Key) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.gossiper.SetKeys(k)
}

// Home returns the home of a key (home node: the one router responsible for it) among the
// routers of the given data centres. It returns false if no router is known to be live.
func (j *Joiner) Home(key uint64, centres []string) (gossiper.Member, bool) {
	o := j.Homes(key, centres, 1)
	if len(o) == 0 {
		return gossiper.Member{}, false
	}

	return o[0], true
}

// Homes returns the home of a key and then the routers that would succeed it, see gossiper.Gossiper.Homes.
func (j *Joiner) Homes(key uint64, centres []string, number int) []gossiper.Member {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.gossiper.Homes(time.Now(), key, centres, number)
}

// Successor returns the router that would become the home of a key if this router left. It
// returns false if this router is not the home, or if there is no other router.
func (j *Joiner) Successor(key uint64, centres []string) (gossiper.Member, bool) {
	o := j.Homes(key, centres, 2)
	if len(o) < 2 || o[0].ID != j.self.ID {
		return gossiper.Member{}, false
	}

	return o[1], true
}

// Live returns the routers that accept requests, see gossiper.Gossiper.Live.
func (j *Joiner) Live() []gossiper.Member {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.gossiper.Live(time.Now())
}

// Neighbors returns the few live routers with which this one exchanges what all must know, see
// gossiper.Gossiper.Neighbors.
func (j *Joiner) Neighbors() []gossiper.Member {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.gossiper.Neighbors()
}

// Suspect excludes a router temporarily because a call to it failed.
func (j *Joiner) Suspect(id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.gossiper.Suspect(time.Now(), id)
}

// Self returns this router.
func (j *Joiner) Self() gossiper.Member {
	return j.self
}

// Seeds returns the configured addresses at which other instances may be found.
func (j *Joiner) Seeds() []netip.AddrPort {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.seeds
}

// SetSeeds replaces the addresses at which other instances may be found.
func (j *Joiner) SetSeeds(l []netip.AddrPort) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.seeds = l
}

// Leave notifies other routers that this one is shutting down.
func (j *Joiner) Leave(c context.Context) {
	j.mu.Lock()
	j.gossiper.Leave(time.Now())
	j.mu.Unlock()
	j.sendChanges(c)
	j.tick(c)
}

func (j *Joiner) tick(c context.Context) {
	j.mu.Lock()
	p, m := j.gossiper.Tick(time.Now(), j.revision())
	p = append(p, j.greetings()...)
	j.noteChanges()
	j.mu.Unlock()

	for _, x := range p {
		go j.probe(c, x)
	}

	for _, x := range m {
		go j.send(c, x)
	}
}

// greetings returns probes of the addresses of the seeds and of the platform's list at which no live router is known.
func (j *Joiner) greetings() []gossiper.Probe {
	k := map[netip.AddrPort]bool{j.self.Address: true}
	for _, m := range j.gossiper.Live(time.Now()) {
		k[m.Address] = true
	}

	w := j.gossiper.Greeting(j.revision())

	var o []gossiper.Probe

	for _, a := range j.seeds {
		if !k[a] {
			k[a] = true
			o = append(o, gossiper.Probe{To: a, Gossip: w})
		}
	}

	for a := range j.listed {
		if !k[a] {
			o = append(o, gossiper.Probe{To: a, Gossip: w})
		}
	}

	return o
}

// readList applies the changes in the platform's list. While the platform is unreachable,
// the last list remains in use.
func (j *Joiner) readList(c context.Context) {
	x, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	l, err := j.lister.Instances(x, j.version)
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "listFailed", "error": err}).Debug()

		return
	}

	// The platform has come back from an older copy of the list, so later changes may have lower versions.
	if l.Version < j.version {
		j.version = 0

		return
	}

	j.version = l.Version

	if n := len(l.Invalid); n > 0 {
		logrus.WithFields(logrus.Fields{"event": "instancesRefused", "entries": n, "version": l.Version, "error": l.Invalid[0]}).Error()
	}

	for _, i := range l.Instances {
		j.applyEntry(i)
	}
}

// applyEntry applies an entry of the platform's list.
func (j *Joiner) applyEntry(i recorder.Instance) {
	if i.Role != roleRouter {
		j.onTargetChange(i)

		return
	}

	if !i.Address.IsValid() || i.Address.Port() == 0 || i.Address.Addr().IsUnspecified() {
		logrus.WithFields(logrus.Fields{"event": "instancesRefused", "name": i.Name, "address": i.Address}).Error()

		return
	}

	j.mu.Lock()
	defer j.mu.Unlock()

	if i.Gone || i.Leaving {
		delete(j.listed, i.Address)
	} else {
		j.listed[i.Address] = true
	}
}
