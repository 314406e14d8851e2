package bencher

func (w *world) trouble() {
	p := float64(w.now) / float64(w.size.Length)

	switch w.condition {
	case Cut:
		w.healed = w.cut >= 0 && p >= surgeEnd
		w.cut = -1
		if p > surgeStart && p < surgeEnd {
			w.cut = 0
		}
	case Churn:
		if w.now%troubleEvery == 0 {
			w.loseTarget()
			w.policy.lose(w, w.random.IntN(len(w.routers)))
		}
	case Steady, Quiet, Surge:
	}
}

// loseTarget takes the next target away and brings the last one back, empty.
// Its requests end where they are: callers come back with them.
func (w *world) loseTarget() {
	o := w.targets[(w.losses*7)%len(w.targets)] //nolint:mnd // Spreads the losses.
	o.out = false
	w.losses++
	n := w.targets[(w.losses*7)%len(w.targets)] //nolint:mnd // Spreads the losses.
	n.out = true
	n.empty()
}

// reachable says that a router can reach a target.
func (w *world) reachable(r *router, t *target) bool {
	return !t.out && (w.cut < 0 || (r.centre == w.cut) == (t.centre == w.cut))
}

// together says that two routers reach each other.
func (w *world) together(a, b *router) bool {
	return w.cut < 0 || (a.centre == w.cut) == (b.centre == w.cut)
}
