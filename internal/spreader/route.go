// Package spreader carries messages to all other instances.
package spreader

import (
	"math/rand/v2"
	"slices"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// relayFrom is from how many live instances on another data centre is told through
	// one of them. Below it the bytes saved are few, and each instance is told at once.
	relayFrom = 4
	// relayTries is how many instances of a data centre are tried, one after the other,
	// until one takes the news. Of three that were live a moment ago one is.
	relayTries = 3
)

// Kinds are those of a message on its ways.
type Kinds struct {
	// Direct is for an instance that keeps it to itself.
	Direct wire.Kind
	// Relay is for one that passes it on in its data centre, as Direct.
	Relay wire.Kind
}

// leg is one way that a message goes. The first instance that takes it is enough.
type leg struct {
	kind wire.Kind
	to   []gossiper.Member
}

// route returns the ways by which a message reaches all others: directly to those of the own
// data centre and of small ones, and through one instance of each other data centre.
//
// Told to each instance, the same bytes would cross to a data centre as often as it has
// instances: with three hundred in four data centres, more than anything else costs. The
// one that passes news on is drawn anew for each telling. So the work is spread, and
// when it dies or is cut off with its connections open, what it had not passed on is
// lost and the next telling goes another way; an agreed one would lose all news until
// its silence is noticed. What is passed on is told as Direct, which nobody passes on,
// so that nothing goes round.
func route(k Kinds, l []gossiper.Member, self gossiper.Member) []leg {
	far := make(map[string][]gossiper.Member)

	var o []leg

	for _, m := range l {
		switch {
		case m.ID == self.ID:
		case m.DataCentre == self.DataCentre:
			o = append(o, leg{kind: k.Direct, to: []gossiper.Member{m}})
		default:
			far[m.DataCentre] = append(far[m.DataCentre], m)
		}
	}

	for _, x := range far {
		if len(x) >= relayFrom {
			rand.Shuffle(len(x), func(a, b int) { x[a], x[b] = x[b], x[a] }) //nolint:gosec // Spreads work.
			o = append(o, leg{kind: k.Relay, to: x[:min(len(x), relayTries)]})

			continue
		}

		for m := range slices.Chunk(x, 1) {
			o = append(o, leg{kind: k.Direct, to: m})
		}
	}

	return o
}

// near returns the ways to the others of the own data centre.
func near(k Kinds, l []gossiper.Member, self gossiper.Member) []leg {
	return route(k, slices.DeleteFunc(slices.Clone(l), func(m gossiper.Member) bool {
		return m.DataCentre != self.DataCentre
	}), self)
}

// direct returns the ways to each of the others.
func direct(k wire.Kind, l []gossiper.Member, self gossiper.Member) []leg {
	var o []leg

	for _, m := range l {
		if m.ID != self.ID {
			o = append(o, leg{kind: k, to: []gossiper.Member{m}})
		}
	}

	return o
}
