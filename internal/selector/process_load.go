package selector

import (
	"time"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
)

// shedAvoidance is how long a target that refused a call is avoided. It is about the time in which a full
// target completes a few calls.
const shedAvoidance = 100 * time.Millisecond

// processLoad is the load on one process of a target as known to this instance.
type processLoad struct {
	// target is the process's entry at the last change of the registry.
	target *discoverer.Target
	// unlisted reports whether the process was removed from the registry. Only its running calls are still
	// counted, in case it is listed again.
	unlisted bool
	// running counts the calls of this instance.
	running int
	shedAt  time.Time
	// lastReport is the latest load report of the target to any instance. Its Base is the value of running when the
	// report was recorded.
	lastReport aggregator.LoadReport
}

// load estimates the calls of all instances at a target from its latest load report to any instance and the
// calls that this instance has started and finished since.
func (s *processLoad) load(now time.Time) float64 {
	return float64(s.lastReport.Estimate(now, s.running))
}

// report records a load report and reports whether it was used. Reports that are not newer than the last one,
// or of a process that is not listed, are ignored.
func (s *processLoad) report(at time.Time, load int) bool {
	if s.unlisted || !at.After(s.lastReport.At) {
		return false
	}

	s.lastReport = aggregator.LoadReport{Calls: load, Base: s.running, At: at}

	return true
}

// isCurrent reports whether the outcome of a call that was sent using the given registry entry applies to the
// process as it is listed now. The outcome does not apply if the process has moved to another address or group.
func (s *processLoad) isCurrent(t *discoverer.Target) bool {
	return !s.unlisted && !s.target.Moved(t)
}

// markUnlisted drops everything but the count of running calls.
func (s *processLoad) markUnlisted() {
	*s = processLoad{target: s.target, unlisted: true, running: s.running}
}

// TargetLoad is a load report of a target.
type TargetLoad struct {
	// Target is the short name of the process.
	Target discoverer.Name
	// Calls are those of all instances, running and waiting.
	Calls int
	// At is the time of the report.
	At time.Time
}
