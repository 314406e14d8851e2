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

		_, ok := d.Enter()
		i.True(ok)

		d.Notice(time.Now())
		i.True(!d.Ready())

		_, ok = d.Enter()
		i.True(ok) // the balancer has not noticed yet

		time.Sleep(3 * time.Second)
		i.Equal(d.Advance(time.Now()), drainer.Refusing)

		_, ok = d.Enter()
		i.True(!ok)

		d.Exit()
		i.Equal(d.Advance(time.Now()), drainer.Refusing) // one is left

		go func() {
			time.Sleep(time.Minute)
			d.Exit()
		}()

		<-d.Done()
		i.Equal(d.Advance(time.Now()), drainer.Done)
	})
}

func TestAnIdleStopIsDoneAfterTheNotice(t *testing.T) {
	i := is.New(t)
	d := drainer.New(0, 10)
	d.Notice(time.Unix(0, 0))
	i.Equal(d.Advance(time.Unix(0, 0)), drainer.Done)
}

func TestEnterIsLimited(t *testing.T) {
	i := is.New(t)
	d := drainer.New(0, 2)

	for _, want := range []bool{true, true, false} {
		_, ok := d.Enter()
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
			if _, ok := d.Enter(); ok {
				m.Lock()
				n++
				m.Unlock()
				d.Exit()
			}
		})
	}

	d.Notice(time.Unix(0, 0))
	d.Advance(time.Unix(0, 0))
	g.Wait()
	<-d.Done()
	i.Equal(d.Running(), 0)
}
