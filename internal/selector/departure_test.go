package selector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

// Guards against slow answers for returning chats during a release: engines that never announce that they are
// leaving are removed from the registry but serve for seconds more, and what they have cached would be computed
// again elsewhere. An engine that crashed is removed too, seconds after its last load report; no call may wait
// for it.
func TestPromptOfDepartedTarget(t *testing.T) {
	const reported = time.Hour // The time of the last load report from the target that is removed.

	for name, x := range map[string]struct {
		// removed is the time from the last load report to the removal from the registry, and requested the time
		// from the removal to a call with a prompt that the removed target has cached.
		removed, requested time.Duration
		// change is a further change of the registry.
		change func(d *discoverer.Discoverer)
		// failed makes the target unreachable before its removal.
		failed bool
		want   bool
	}{
		"just now":              {removed: 100 * time.Millisecond, want: true},
		"seconds ago":           {removed: 100 * time.Millisecond, requested: 3900 * time.Millisecond, want: true},
		"long ago":              {removed: 100 * time.Millisecond, requested: 4 * time.Second},
		"no recent load report": {removed: 3 * time.Second},
		"was unreachable":       {removed: 100 * time.Millisecond, failed: true},
		"listed, restarted": {removed: 100 * time.Millisecond, change: func(d *discoverer.Discoverer) {
			d.Set(discoverer.Target{ID: "old", Group: "other", Start: time.Unix(9, 0)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := discoverer.New(discoverer.DefaultSettings())
			now := time.Unix(0, 0).Add(reported)
			d.Set(discoverer.Target{ID: "old", Group: group, Slots: 8})

			s := selector.New(selector.DefaultSettings())
			s.ApplyRegistry(now, d.Registry())

			o := choose(s, now, d.Registry(), query(7))
			s.ReportLoad(now, o.Target, selector.Load{Running: 1, Slots: 8})

			if x.failed {
				s.Finish(now, o.Target, selector.Unreachable)
			} else {
				s.Finish(now, o.Target, selector.Answered)
			}

			now = now.Add(x.removed)
			d.Set(discoverer.Target{ID: "new", Group: group, Slots: 8})
			d.Remove(now, "old")

			if x.change != nil {
				x.change(d)
			}

			s.ApplyRegistry(now, d.Registry())

			o = choose(s, now.Add(x.requested), d.Registry(), query(7))
			i.Equal(o.Target.ID, "new")
			i.Equal(o.FetchFrom != nil, x.want)
		})
	}
}
