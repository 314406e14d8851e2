package bencher

// sample records, for each pool, the highest load over the mean. The two sides
// of a cut are measured each for itself.
func (w *world) sample() {
	for _, p := range w.pools {
		w.sampleSide(p, func(t *target) bool { return w.cut < 0 || t.centre != w.cut })

		if w.cut >= 0 {
			w.sampleSide(p, func(t *target) bool { return t.centre == w.cut })
		}
	}
}

func (w *world) sampleSide(p []*target, in func(*target) bool) {
	var s, m, u, v float64

	n, r := 0, 0

	for _, t := range p {
		if t.out || !in(t) {
			continue
		}

		l := float64(t.running) / float64(t.capacity)
		s += l
		m = max(m, l)
		u += t.work
		v = max(v, t.work)
		n++
		r += t.running
	}

	if n > 1 && float64(r) >= leastRunning*float64(n) {
		_ = w.skew.RecordValue(int64(m * float64(n) / s * skewUnit))
		_ = w.work.RecordValue(int64(v * float64(n) / u * skewUnit))
	}
}
