package bencher

// sample records, for each pool, the ratio of the highest load to the mean. During a
// network partition, the two sides are measured separately.
func (w *world) sample() {
	for _, p := range w.pools {
		w.sampleSide(p, func(t *target) bool { return w.partitioned < 0 || t.centre != w.partitioned })

		if w.partitioned >= 0 {
			w.sampleSide(p, func(t *target) bool { return t.centre == w.partitioned })
		}
	}
}

func (w *world) sampleSide(p []*target, included func(*target) bool) {
	var s, m, u, v float64

	n, r := 0, 0

	for _, t := range p {
		if t.down || !included(t) {
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

	if n > 1 && float64(r) >= minMeanRunning*float64(n) {
		_ = w.skew.RecordValue(int64(m * float64(n) / s * skewUnit))
		_ = w.work.RecordValue(int64(v * float64(n) / u * skewUnit))
	}
}
