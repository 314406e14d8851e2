package chooser_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/chooser"
	"github.com/auburntray/auburntray/internal/enroller"
)

// Chats that return begin late during a release: engines that never say that they are leaving
// vanish from the list, still serve for seconds, and what they hold is read again elsewhere. One
// that crashed vanishes too, seconds after its last word; nobody should wait for it.
func TestPromptOfATargetThatLeftTheList(t *testing.T) {
	const heard = time.Hour // When the target that leaves is heard of last.

	for name, x := range map[string]struct {
		// left is how long after that the list drops it, and asked how long after that a call
		// for its prompt comes.
		left, asked time.Duration
		// change is what becomes of the list besides.
		change func(e *enroller.Enroller)
		// failed says that it was not reached before.
		failed bool
		want   bool
	}{
		"just now":                {left: 100 * time.Millisecond, want: true},
		"some seconds ago":        {left: 100 * time.Millisecond, asked: 3900 * time.Millisecond, want: true},
		"long ago":                {left: 100 * time.Millisecond, asked: 4 * time.Second},
		"not heard of for long":   {left: 3 * time.Second},
		"was not reached":         {left: 100 * time.Millisecond, failed: true},
		"is there, started again": {left: 100 * time.Millisecond, change: func(e *enroller.Enroller) { e.Set(enroller.Target{ID: "old", Group: "other", Start: time.Unix(9, 0)}) }},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			e := enroller.New(enroller.DefaultSettings())
			now := time.Unix(0, 0).Add(heard)
			e.Set(enroller.Target{ID: "old", Group: group, Slots: 8})

			c := chooser.New(chooser.DefaultSettings())
			c.Forget(now, e.Roster())

			o := choose(c, now, e.Roster(), query(7))
			c.Report(now, o.Target, chooser.Report{Running: 1, Slots: 8})

			if x.failed {
				c.Finish(now, o.Target, chooser.Unreachable)
			} else {
				c.Finish(now, o.Target, chooser.Good)
			}

			now = now.Add(x.left)
			e.Set(enroller.Target{ID: "new", Group: group, Slots: 8})
			e.Remove(now, "old")

			if x.change != nil {
				x.change(e)
			}

			c.Forget(now, e.Roster())

			o = choose(c, now.Add(x.asked), e.Roster(), query(7))
			i.Equal(o.Target.ID, "new")
			i.Equal(o.Source != nil, x.want)
		})
	}
}
