package router

import "time"

// IsHome reports whether this router is the home of a cell.
func (r *Router) IsHome(cell uint32) bool {
	x := r.follower.Config().Matcher.Cell(cell)

	return x != nil && r.isHome(x)
}

// Disconnect ends the router's exchange with its peers, as a crashed host would.
func (r *Router) Disconnect() {
	r.stop()
	r.messenger.Close()
}

// Stalled reports whether the router detected a stall of its process since the given time.
func (r *Router) Stalled(since time.Time) bool { return r.stalls.Stalled(since) }
