// Package relayer decides whom an instance tells a long answer itself, and whom it sends on to those that have
// it already.
//
// The load that it answers: all instances of a data centre wait at one for the same change, and its link takes
// longer for all the copies than the change may take. Each that was told tells some others in turn.
package relayer

import (
	"net/netip"
	"slices"
	"time"
)

// LongFrom is the length of an answer in bytes from which it is long: a thin link takes over ten milliseconds
// for it.
const LongFrom = 16 << 10

// Settings are the bounds of a Relayer.
type Settings struct {
	// Rate is what the instance's link carries, in bytes a second.
	Rate float64
	// Most is for how long the link may be taken by what is told already when one more is told.
	Most time.Duration
}

// Relayer decides for one stream. It is not safe for concurrent use.
type Relayer struct {
	settings Settings
	// next is the offset up to which those in told have been told.
	next int64
	told []netip.AddrPort
	turn int
	// free is when the link has carried what was told.
	free time.Time
}

// New returns a Relayer that has told nobody.
func New(s Settings) *Relayer {
	return &Relayer{settings: s}
}

// Tell says whether an instance is to be told an answer of a length in bytes that goes up to an offset; if
// not, it returns one that was told. With must, it is told in any case: others wait for what it is told.
func (r *Relayer) Tell(now time.Time, next int64, bytes int, to netip.AddrPort, must bool) (netip.AddrPort, bool) {
	if r.next != next {
		r.next, r.told, r.turn = next, nil, 0
	}

	if r.free.Before(now) {
		r.free = now
	}

	again := slices.Contains(r.told, to)
	if !must && !again && len(r.told) > 0 && r.free.Sub(now) >= r.settings.Most {
		r.turn++

		return r.told[r.turn%len(r.told)], false
	}

	if !again && to.IsValid() {
		r.told = append(r.told, to)
	}

	r.free = r.free.Add(time.Duration(float64(bytes) / r.settings.Rate * float64(time.Second)))

	return netip.AddrPort{}, true
}
