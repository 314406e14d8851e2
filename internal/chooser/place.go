package chooser

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/auburntray/auburntray/internal/enroller"
)

const (
	// maxKeys bounds how many prompt parts are remembered. An entry takes about
	// 200 bytes.
	maxKeys = 1 << 15
	// maxHolders bounds how many targets are remembered for a part; a part that is
	// at more finds one of these.
	maxHolders = 4
	// holdFor is how long a target is taken to keep a part after its last use.
	// Engines keep what was used least recently for tens of seconds and more.
	holdFor = time.Minute
	// tellAgain is how old the last word on a place may be before others are told
	// that it is still used.
	tellAgain = 20 * time.Second
)

// Place says that a target holds a prompt's part.
type Place struct {
	Key uint64
	// Target is the short name of its process.
	Target enroller.Name
}

type holder struct {
	target enroller.Key
	used   time.Time
	told   time.Time
}

// places remembers which processes of targets hold which parts. Those that are gone from
// the list are found by no choice, and are forgotten when their time is over. It is not safe
// for concurrent use.
type places struct {
	keys *lru.Cache[uint64, []holder]
	news []Place
}

func newPlaces() *places {
	c, err := lru.New[uint64, []holder](maxKeys)
	if err != nil {
		panic(err) // The size is a constant above zero.
	}

	return &places{keys: c}
}

// holders returns the targets that hold a part, the last used first.
func (p *places) holders(now time.Time, key uint64) []enroller.Key {
	l, _ := p.keys.Get(key)

	o := make([]enroller.Key, 0, len(l))
	for _, h := range l {
		if now.Sub(h.used) < holdFor {
			o = append(o, h.target)
		}
	}

	return o
}

// use notes that a call with a part is sent to a target by this instance, and says whether
// the target was not known to hold it.
func (p *places) use(now time.Time, key uint64, target enroller.Key) (fresh bool) {
	_, known := p.put(now, key, target)

	return !known
}

// tell has the others told that a target holds a part, unless they were lately.
func (p *places) tell(now time.Time, key uint64, target enroller.Key) {
	h, _ := p.put(now, key, target)

	if now.Sub(h.told) >= tellAgain {
		h.told = now
		p.news = append(p.news, Place{Key: key, Target: target.Name()})
	}
}

// withdraw drops a place that was noted for a call whose prompt its target has not read.
func (p *places) withdraw(key uint64, target enroller.Key) {
	l, _ := p.keys.Get(key)
	p.keys.Add(key, slices.DeleteFunc(l, func(x holder) bool { return x.target == target }))
}

// learn notes what another instance told.
func (p *places) learn(now time.Time, key uint64, target enroller.Key) {
	h, _ := p.put(now, key, target)
	h.told = now
}

// put moves a holder to the front and returns it, and whether it was known to hold the part.
func (p *places) put(now time.Time, key uint64, target enroller.Key) (x *holder, known bool) {
	l, _ := p.keys.Get(key)
	h := holder{target: target}

	if i := slices.IndexFunc(l, func(x holder) bool { return x.target == target }); i >= 0 {
		h = l[i]
		known = now.Sub(h.used) < holdFor
		l = slices.Delete(l, i, i+1)
	}

	h.used = now
	l = slices.Insert(l, 0, h)
	l = l[:min(len(l), maxHolders)]
	p.keys.Add(key, l)

	return &l[0], known
}

// take returns the places that others have not been told of.
func (p *places) take() []Place {
	o := p.news
	p.news = nil

	return o
}
