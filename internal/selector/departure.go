package selector

import (
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

const (
	// departedFetchWindow is how long prompts may be fetched from a process after its removal from the registry. A
	// process that shuts down as planned serves for two more seconds, and its address is not reused for another
	// two.
	departedFetchWindow = 4 * time.Second
	// maxReportAge bounds the age of the last load report of a process that shuts down as planned. A process
	// that crashed stays in the registry for three more heartbeats of about a second each, so its last report
	// is older.
	maxReportAge = 2 * time.Second
)

// departure is a process that was removed from the registry.
type departure struct {
	target    *discoverer.Target
	removedAt time.Time
}

// departures are the processes that were recently removed from the registry and are assumed to be still
// serving. They are assigned no calls, but other targets may fetch prompts from them.
//
// Some targets never announce that they are leaving. Their chats move to other targets at once, all of which
// would compute the whole prompts again while the target that has them cached is still running.
type departures map[discoverer.Key]departure

// add records a process that was removed from the registry, with the time of its last load report. If the target is
// listed with another start time, the process has ended and is not recorded.
func (l departures) add(now time.Time, r *discoverer.Registry, t *discoverer.Target, reportedAt time.Time) {
	if r.Known[t.ID] == nil && now.Sub(reportedAt) < maxReportAge {
		l[t.Key()] = departure{target: t, removedAt: now}
	}
}

// source returns the target of a recently removed process, and false if the process was not removed recently.
func (l departures) source(now time.Time, k discoverer.Key) (*discoverer.Target, bool) {
	x, ok := l[k]

	return x.target, ok && now.Sub(x.removedAt) < departedFetchWindow
}

// expire drops the processes whose targets are listed again or whose departedFetchWindow is over.
func (l departures) expire(now time.Time, r *discoverer.Registry) {
	for k, x := range l {
		if r.Known[x.target.ID] != nil || now.Sub(x.removedAt) >= departedFetchWindow {
			delete(l, k)
		}
	}
}
