package gatekeeper

import (
	"github.com/sirupsen/logrus"
)

// maxTargetLines is how many changed targets of one read are logged by name. A list of ten thousand targets would
// otherwise occupy the processor of an instance that starts, and displace other lines.
const maxTargetLines = 20

// targetReporter logs the changes of targets. It is not safe for concurrent use.
type targetReporter struct {
	lines int
	// unsaid counts the changes that were not logged, by event.
	unsaid map[string]int
}

// report logs a change with an event and further fields, unless maxTargetLines were logged since the last flush.
func (r *targetReporter) report(event string, f logrus.Fields) {
	if r.lines >= maxTargetLines {
		if r.unsaid == nil {
			r.unsaid = make(map[string]int)
		}

		r.unsaid[event]++

		return
	}

	r.lines++
	f["event"] = event
	logrus.WithFields(f).Info()
}

// flush logs how many changes were not logged, in one line.
func (r *targetReporter) flush() {
	if len(r.unsaid) > 0 {
		f := logrus.Fields{"event": "targetsUnsaid"}
		for k, n := range r.unsaid {
			f[k] = n
		}

		logrus.WithFields(f).Info()
	}

	r.lines, r.unsaid = 0, nil
}
