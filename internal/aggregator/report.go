package aggregator

import "time"

// reportTimeout is how long a load report is used. Calls run for one or two seconds, so that older
// reports are unrelated to the current load.
const reportTimeout = 2 * time.Second

// LoadReport is the load that a target reported. The zero value is an expired report.
type LoadReport struct {
	// Calls is the number of calls of all instances, and Base the number of them that the holder of
	// the report had counted itself.
	Calls, Base int
	At          time.Time
}

// Estimate estimates the current number of calls of all instances at the target: the reported calls, adjusted
// by the change in the holder's own count since the report.
func (r LoadReport) Estimate(now time.Time, counted int) int {
	if now.Sub(r.At) < reportTimeout {
		return max(r.Calls+counted-r.Base, counted)
	}

	return counted
}
