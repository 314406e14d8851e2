package chooser

import (
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
)

const (
	// leaverFor is how long after it left the list a process is asked for prompts. One that
	// leaves as planned serves for two seconds more, and for two more its address is nobody
	// else's.
	leaverFor = 4 * time.Second
	// leaverHeard is how old the last word of a process that leaves as planned may be. One that
	// crashed is on the list for three heartbeats more, a second or so each.
	leaverHeard = 2 * time.Second
)

// leaver is a process that left the list.
type leaver struct {
	target *enroller.Target
	at     time.Time
}

// leavers are the processes that left the list lately and still serve, as far as is known. They
// get no calls, but other targets may fetch prompts from them.
//
// Some targets never say that they are leaving. Their chats go to others at once, which would
// all read the whole prompts again while the target that holds them is still there.
type leavers map[enroller.Key]leaver

// add takes a process that is not on a list any more, and when it was heard of last. One whose
// target is there under another start has ended.
func (l leavers) add(now time.Time, r *enroller.Roster, t *enroller.Target, heard time.Time) {
	if r.Known[t.ID] == nil && now.Sub(heard) < leaverHeard {
		l[t.Key()] = leaver{target: t, at: now}
	}
}

// source returns a process that left the list lately, and false when it is none.
func (l leavers) source(now time.Time, k enroller.Key) (*enroller.Target, bool) {
	x, ok := l[k]

	return x.target, ok && now.Sub(x.at) < leaverFor
}

// forget drops those whose targets are on a list again, and those whose time is over.
func (l leavers) forget(now time.Time, r *enroller.Roster) {
	for k, x := range l {
		if r.Known[x.target.ID] != nil || now.Sub(x.at) >= leaverFor {
			delete(l, k)
		}
	}
}
