package gossiper

// LinkClass is the order of magnitude of the bandwidth of a member's link. Zero stands for less than 100 Mbit/s or
// an unknown bandwidth.
type LinkClass uint8

const (
	// LinkClassBits is the number of bits of a LinkClass, the lowest bits of a member's ID. The IDs of earlier
	// releases have random bits there. This is harmless, since the class only expresses a preference.
	LinkClassBits = 2
	linkClasses   = 1 << LinkClassBits
	// firstClassRate is the lowest bandwidth of class 1 in bytes a second: 100 Mbit/s. Each further class starts at
	// classFactor times the bandwidth.
	firstClassRate = 12.5e6
	classFactor    = 10
)

// ClassOf returns the class of a link with the given bandwidth in bytes a second.
func ClassOf(rate float64) LinkClass {
	var c LinkClass

	for r := firstClassRate; rate >= r && c < linkClasses-1; r *= classFactor {
		c++
	}

	return c
}

// Link returns the class of the member's link, which its ID contains.
func (m Member) Link() LinkClass {
	return LinkClass(m.ID % linkClasses)
}
