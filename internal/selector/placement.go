package selector

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/auburntray/auburntray/internal/discoverer"
)

const (
	// maxPrefixes bounds the number of prompt prefixes that are remembered. An entry takes about 200 bytes.
	maxPrefixes = 1 << 15
	// maxHolders bounds the targets remembered for a prefix. If more targets have the prefix cached, those
	// remembered are sufficient.
	maxHolders = 4
	// holderTTL is how long a target is assumed to have a prefix cached after its last use. Engines evict the
	// least recently used prefixes after tens of seconds or later.
	holderTTL = time.Minute
	// renotifyInterval is the minimum time between two notifications of the same placement. Other instances are
	// notified again because they drop a placement that is not used for holderTTL.
	renotifyInterval = 20 * time.Second
)

// Placement records that a target has a prompt prefix cached.
type Placement struct {
	Key uint64
	// Target is the short name of the process.
	Target discoverer.Name
}

type holder struct {
	target     discoverer.Key
	usedAt     time.Time
	notifiedAt time.Time
}

// placements remembers which processes have which prefixes cached. Processes that are no longer listed are
// never selected, and their entries expire. It is not safe for concurrent use.
type placements struct {
	prefixes *lru.Cache[uint64, []holder]
	pending  []Placement
}

func newPlacements() *placements {
	c, err := lru.New[uint64, []holder](maxPrefixes)
	if err != nil {
		panic(err) // The size is a positive constant.
	}

	return &placements{prefixes: c}
}

// holders returns the targets that have a prefix cached, the most recently used first.
func (p *placements) holders(now time.Time, key uint64) []discoverer.Key {
	l, _ := p.prefixes.Get(key)

	o := make([]discoverer.Key, 0, len(l))
	for _, h := range l {
		if now.Sub(h.usedAt) < holderTTL {
			o = append(o, h.target)
		}
	}

	return o
}

// recordUse records that this instance sends a call with a prefix to a target. It reports whether the target
// was not known to have the prefix cached.
func (p *placements) recordUse(now time.Time, key uint64, target discoverer.Key) (fresh bool) {
	_, known := p.touch(now, key, target)

	return !known
}

// notify queues a notification that a target has a prefix cached, unless other instances were notified within
// renotifyInterval.
func (p *placements) notify(now time.Time, key uint64, target discoverer.Key) {
	h, _ := p.touch(now, key, target)

	if now.Sub(h.notifiedAt) >= renotifyInterval {
		h.notifiedAt = now
		p.pending = append(p.pending, Placement{Key: key, Target: target.Name()})
	}
}

// remove drops a placement recorded for a call whose target has not processed the prompt.
func (p *placements) remove(key uint64, target discoverer.Key) {
	l, _ := p.prefixes.Get(key)
	p.prefixes.Add(key, slices.DeleteFunc(l, func(x holder) bool { return x.target == target }))
}

// recordPeer records a placement of which another instance notified this one.
func (p *placements) recordPeer(now time.Time, key uint64, target discoverer.Key) {
	h, _ := p.touch(now, key, target)
	h.notifiedAt = now
}

// touch moves a holder to the front and returns it. It reports whether the target was known to have the prefix
// cached.
func (p *placements) touch(now time.Time, key uint64, target discoverer.Key) (x *holder, known bool) {
	l, _ := p.prefixes.Get(key)
	h := holder{target: target}

	if i := slices.IndexFunc(l, func(x holder) bool { return x.target == target }); i >= 0 {
		h = l[i]
		known = now.Sub(h.usedAt) < holderTTL
		l = slices.Delete(l, i, i+1)
	}

	h.usedAt = now
	l = slices.Insert(l, 0, h)
	l = l[:min(len(l), maxHolders)]
	p.prefixes.Add(key, l)

	return &l[0], known
}

// takePending returns the placements of which other instances have not been notified and clears them.
func (p *placements) takePending() []Placement {
	o := p.pending
	p.pending = nil

	return o
}
