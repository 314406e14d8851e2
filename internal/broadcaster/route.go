// Package broadcaster broadcasts messages to all other instances.
package broadcaster

import (
	"math/rand/v2"
	"slices"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// minRelayed is the minimum number of live instances in another data centre for which messages to that
	// data centre are relayed by one of them. For smaller data centres a relay would save few bytes, and each
	// instance is notified directly.
	minRelayed = 4
	// relayAttempts is how many instances of a data centre are tried in sequence until one accepts the
	// message. Of three instances that were live a moment ago, at least one is expected to be live still.
	relayAttempts = 3
)

// Kinds are the message kinds used on the two types of route.
type Kinds struct {
	// Direct is for an instance that does not pass the message on.
	Direct wire.Kind
	// Relay is for an instance that passes the message on in its data centre as Direct.
	Relay wire.Kind
}

// route is one route of a message. Its instances are tried in sequence; one that accepts is enough.
type route struct {
	kind wire.Kind
	to   []gossiper.Member
}

// routes returns the routes by which a message reaches all other instances: directly to those of the own
// data centre and of small ones, and through one instance of each other data centre.
//
// If a message were sent to each instance, it would be transferred to a data centre once for each instance
// there: with three hundred instances in four data centres, this would be the largest part of the traffic
// cost. The relay is chosen at random for each message. This spreads the work, and when a relay dies or is
// cut off with its connections open, only the messages that it had not passed on are lost, and the next
// message takes another route. With a fixed relay, all messages would be lost until its failure is detected.
// Relays send with the kind Direct, which no instance passes on, so that messages cannot loop.
func routes(k Kinds, l []gossiper.Member, self gossiper.Member) []route {
	far := make(map[string][]gossiper.Member)

	var o []route

	for _, m := range l {
		switch {
		case m.ID == self.ID:
		case m.DataCentre == self.DataCentre:
			o = append(o, route{kind: k.Direct, to: []gossiper.Member{m}})
		default:
			far[m.DataCentre] = append(far[m.DataCentre], m)
		}
	}

	for _, x := range far {
		if len(x) >= minRelayed {
			rand.Shuffle(len(x), func(a, b int) { x[a], x[b] = x[b], x[a] }) //nolint:gosec // Distributes work.
			o = append(o, route{kind: k.Relay, to: x[:min(len(x), relayAttempts)]})

			continue
		}

		for m := range slices.Chunk(x, 1) {
			o = append(o, route{kind: k.Direct, to: m})
		}
	}

	return o
}

// localRoutes returns the routes to the other instances of the own data centre.
func localRoutes(k Kinds, l []gossiper.Member, self gossiper.Member) []route {
	return routes(k, slices.DeleteFunc(slices.Clone(l), func(m gossiper.Member) bool {
		return m.DataCentre != self.DataCentre
	}), self)
}

// directRoutes returns a direct route to each of the other instances.
func directRoutes(k wire.Kind, l []gossiper.Member, self gossiper.Member) []route {
	var o []route

	for _, m := range l {
		if m.ID != self.ID {
			o = append(o, route{kind: k, to: []gossiper.Member{m}})
		}
	}

	return o
}
