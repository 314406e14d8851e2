package router

import "time"

// Home says whether this router is the home of a cell.
func (r *Router) Home(cell uint32) bool {
	x := r.follower.Force().Matcher.Cell(cell)

	return x != nil && r.mine(x)
}

// Vanish makes the router deaf and silent to its peers, as a dead host is.
func (r *Router) Vanish() {
	r.stop()
	r.messenger.Close()
}

// Stalled says that the router believes that its process stood still since a time.
func (r *Router) Stalled(since time.Time) bool { return r.stalls.Stalled(since) }
