package tallier

import "time"

// reportFor is how long a target's own word on its load is used. Calls run for a second or
// two; after that it says little.
const reportFor = 2 * time.Second

// Word is what a target said of its load. The zero value is of long ago.
type Word struct {
	// Calls are those of all instances, and Base those of them that whoever keeps the word
	// had counted itself.
	Calls, Base int
	At          time.Time
}

// Load estimates the calls of all instances at a target, when whoever keeps the word counts
// so many itself by now: what the target said, and what has begun and ended since.
func (w Word) Load(now time.Time, counted int) int {
	if now.Sub(w.At) < reportFor {
		return max(w.Calls+counted-w.Base, counted)
	}

	return counted
}
