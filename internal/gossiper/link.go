package gossiper

// LinkClass tells roughly what a member's link carries; higher ones carry more. Zero stands for little, or for a
// link of which nothing is known.
type LinkClass uint8

const (
	// LinkClassBits is how many bits a LinkClass has, the lowest of a member's ID. Members of an earlier release
	// have any class: it is a preference, and nothing else hangs on it.
	LinkClassBits = 2
	linkClasses   = 1 << LinkClassBits
	// firstClass is the rate from which a link is of the first class, in bytes a second: 100 Mbit/s. Each
	// further class carries ten times as much.
	firstClass = 12.5e6
	classTimes = 10
)

// ClassOf returns the class of a link that carries so many bytes a second.
func ClassOf(rate float64) LinkClass {
	var c LinkClass

	for r := firstClass; rate >= r && c < linkClasses-1; r *= classTimes {
		c++
	}

	return c
}

// Link returns the class of the member's link.
func (m Member) Link() LinkClass {
	return LinkClass(m.ID % linkClasses)
}
