package bencher

// applyCondition starts and ends the faults that are due at this tick.
func (w *world) applyCondition() {
	p := float64(w.now) / float64(w.size.Duration)

	switch w.condition {
	case Partition:
		w.reconnected = w.partitioned >= 0 && p >= surgeEnd
		w.partitioned = -1
		if p > surgeStart && p < surgeEnd {
			w.partitioned = 0
		}
	case Churn:
		if w.now%churnInterval == 0 {
			w.replaceTarget()
			w.policy.replaceRouter(w, w.random.IntN(len(w.routers)))
		}
	case Steady, Quiet, Surge:
	}
}

// replaceTarget takes the next target down with an empty cache and brings the previous
// one back. Requests that run there complete as scheduled.
func (w *world) replaceTarget() {
	o := w.targets[(w.replacements*7)%len(w.targets)] //nolint:mnd // Spreads the faults over the targets.
	o.down = false
	w.replacements++
	n := w.targets[(w.replacements*7)%len(w.targets)] //nolint:mnd // Spreads the faults over the targets.
	n.down = true
	n.clearCache()
}

// reachable reports whether a router can reach a target.
func (w *world) reachable(r *router, t *target) bool {
	return !t.down && (w.partitioned < 0 || (r.centre == w.partitioned) == (t.centre == w.partitioned))
}

// connected reports whether two routers can reach each other.
func (w *world) connected(a, b *router) bool {
	return w.partitioned < 0 || (a.centre == w.partitioned) == (b.centre == w.partitioned)
}
