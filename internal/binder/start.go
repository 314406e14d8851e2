package binder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/sleeper"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	// startTime is how long a process does not read the log of its own accord, nor write one version: until it knows the other
	// instances, it takes itself for a recorder, and so do all that start at the same time.
	startTime = 2 * time.Second
	// minLearnInterval and maxLearnInterval bound the time between two attempts to learn which versions were in use before the start.
	// Each is up to half longer.
	minLearnInterval = 200 * time.Millisecond
	maxLearnInterval = 5 * time.Second
)

// started reports whether this process knows the other instances. The mutex must be held.
func (b *Binder) started(now time.Time) bool {
	return now.Sub(b.startedAt) >= startTime
}

// learnVersions asks recorders which versions were in use before this process started, until it has observed the targets for long
// enough itself. Each stream of a group of which that is not known is told to them.
func (b *Binder) learnVersions(c context.Context) {
	for i := minLearnInterval; c.Err() == nil; i = min(2*i, maxLearnInterval) {
		d := i + rand.N(i/2) //nolint:gosec // Jitter.
		if r := startTime - time.Since(b.startedAt); r > 0 {
			d = min(d, r) // The first writer is awaited then.
		}

		sleeper.Sleep(c, d)

		n := time.Now()

		b.mu.Lock()
		groups := b.pinner.Incomplete(n)
		started := b.started(n)
		first := started && len(groups) > 0 && !b.archive.position.IsRead() && b.selectRecorders(n).First()
		settled := b.pinner.Settled(n)
		b.mu.Unlock()

		if first {
			b.refresh(c)
		}

		for _, g := range groups {
			b.learnFromOthers(c, g)
		}

		if started {
			b.archive.wakeUp()
		}

		if settled {
			return
		}
	}
}

// learnFromOthers asks the recorders of any stream which versions of a group were in use.
func (b *Binder) learnFromOthers(c context.Context, group string) {
	x, stop := context.WithTimeout(c, askTimeout)
	defer stop()

	b.mu.Lock()
	l, told := b.selectRecorders(time.Now()).Of(pinner.Stream(rand.Uint64())) //nolint:gosec // Any recorders.
	b.mu.Unlock()

	for _, m := range l[:told] {
		v, err := b.request(x, m, wire.KindStreamVersion, &wire.VersionRequest{Group: group})
		if err == nil && v.Complete {
			b.learn(group, []pinner.View{v})

			return
		}
	}
}

// learn records which versions of a group were in use before this process started, once another instance has told that.
func (b *Binder) learn(group string, replies []pinner.View) {
	n := time.Now()

	b.mu.Lock()

	var l []pinner.Note

	for _, v := range replies {
		if v.Complete {
			l = append(l, b.recent(n, b.pinner.Learn(n, map[string][]discoverer.Version{group: v.Versions}))...)
		}
	}

	b.mu.Unlock()
	b.tell(l)
}
