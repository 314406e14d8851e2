package supervisor

import "time"

// backoffs contains the time until which each target accepts no calls. A backoff belongs to the target and not to its
// cell: it is known here even if it was reported before the cell's configuration arrived, or in another cell.
type backoffs map[uint32]time.Time

// start records a backoff. A shorter one does not replace a longer one.
func (b backoffs) start(now time.Time, target uint32, d time.Duration) {
	for t, u := range b {
		if !u.After(now) {
			delete(b, t)
		}
	}

	if u := now.Add(d); u.After(b[target]) {
		b[target] = u
	}
}

// remaining returns the time until a target's backoff ends; zero if it has none.
func (b backoffs) remaining(now time.Time, target uint32) time.Duration {
	return max(b[target].Sub(now), 0)
}
