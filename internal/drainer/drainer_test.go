package drainer_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/drainer"
)

// A router is stopped while a close review streams. First the balancer must see
// that it is not ready while calls still come and are served; then new calls are
// refused, and the review runs to its end before the process goes.
func TestAStopWaitsForWhatIsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		d := drainer.New(3*time.Second, 10)

		_, ok := d.Enter(time.Now())
		i.True(ok)

		d.Notice(time.Now())
		i.True(!d.Ready())

		_, ok = d.Enter(time.Now())
		i.True(ok) // the balancer has not noticed yet

		time.Sleep(3 * time.Second)
		i.Equal(d.Advance(time.Now()), drainer.Refusing)

		_, ok = d.Enter(time.Now())
		i.True(!ok)

		d.Exit()
		i.Equal(d.Advance(time.Now()), drainer.Refusing) // one is left

		time.Sleep(time.Minute)
		i.Equal(d.Advance(time.Now()), drainer.Refusing) // however long it takes
		d.Exit()
		i.Equal(d.Advance(time.Now()), drainer.Done)
		<-d.Done()
	})
}

func TestAnIdleStopIsDoneAfterTheNotice(t *testing.T) {
	i := is.New(t)
	d := drainer.New(0, 10)
	d.Notice(time.Unix(0, 0))
	i.Equal(d.Advance(time.Unix(0, 0)), drainer.Done)
}

// Callers send on to a router that shows not ready. Closing between two of their
// requests would reset a connection with a request on its way, so the stop waits
// until none comes, but not for ever.
func TestAStopAnswersUntilNoneComes(t *testing.T) {
	for name, tc := range map[string]struct {
		every time.Duration
		least time.Duration
		most  time.Duration
	}{
		"nobody calls":        {time.Hour, 3 * time.Second, 4 * time.Second},
		"calls go on":         {100 * time.Millisecond, 33 * time.Second, 34 * time.Second},
		"calls are far apart": {1500 * time.Millisecond, 3 * time.Second, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := drainer.New(3*time.Second, 10)
			start := time.Unix(1000, 0)
			d.Notice(start)

			now := start
			for d.Advance(now) != drainer.Done {
				now = now.Add(100 * time.Millisecond)

				if now.Sub(start)%tc.every == 0 {
					if _, ok := d.Enter(now); ok {
						d.Exit()
					}
				}
			}

			i.True(now.Sub(start) >= tc.least)
			i.True(now.Sub(start) <= tc.most)
		})
	}
}

func TestEnterIsLimited(t *testing.T) {
	i := is.New(t)
	d := drainer.New(0, 2)

	for _, want := range []bool{true, true, false} {
		_, ok := d.Enter(time.Now())
		i.Equal(ok, want)
	}
}

// Calls come while the stop moves on. Counting a call in and refusing it are one
// step: a call that was let in is always waited for.
func TestNoCallSlipsThroughAStop(t *testing.T) {
	i := is.New(t)
	d := drainer.New(0, 1000)

	var (
		g sync.WaitGroup
		m sync.Mutex
		n int
	)

	for range 100 {
		g.Go(func() {
			if _, ok := d.Enter(time.Now()); ok {
				m.Lock()
				n++
				m.Unlock()
				d.Exit()
			}
		})
	}

	d.Notice(time.Now())
	d.Advance(time.Now())
	g.Wait()
	i.Equal(d.Advance(time.Now()), drainer.Done)
	i.Equal(d.Running(), 0)
}
