package drainer_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/drainer"
)

// Guards against a shutdown that interrupts a request in progress, such as a long stream. The
// router first reports not ready but still serves new requests, then refuses them, and exits
// only after all requests in progress have ended.
func TestShutdownWaitsForRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		d := drainer.New(3*time.Second, 10)

		_, ok := d.Enter(time.Now())
		i.True(ok)

		d.StartShutdown(time.Now(), 0)
		i.True(!d.Ready())

		_, ok = d.Enter(time.Now())
		i.True(ok) // the load balancer may still send requests

		time.Sleep(3 * time.Second)
		i.Equal(d.Advance(time.Now()), drainer.Refusing)

		_, ok = d.Enter(time.Now())
		i.True(!ok)

		d.Exit()
		i.Equal(d.Advance(time.Now()), drainer.Refusing) // one request is in progress

		time.Sleep(time.Minute)
		i.Equal(d.Advance(time.Now()), drainer.Refusing) // without a time limit
		d.Exit()
		i.Equal(d.Advance(time.Now()), drainer.Done)
		<-d.Done()
	})
}

func TestIdleShutdownEndsAfterNotice(t *testing.T) {
	i := is.New(t)
	d := drainer.New(0, 10)
	d.StartShutdown(time.Unix(0, 0), 0)
	i.Equal(d.Advance(time.Unix(0, 0)), drainer.Done)
}

// Guards against connection resets when callers continue to send to a router that is not
// ready. Closing between two of their requests would reset a connection with a request in
// flight, so a shutdown waits until none arrives, for a bounded time.
func TestShutdownAnswersUntilQuiet(t *testing.T) {
	for name, tc := range map[string]struct {
		every time.Duration
		least time.Duration
		most  time.Duration
	}{
		"no requests":       {time.Hour, 3 * time.Second, 4 * time.Second},
		"frequent requests": {100 * time.Millisecond, 33 * time.Second, 34 * time.Second},
		"rare requests":     {1500 * time.Millisecond, 3 * time.Second, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := drainer.New(3*time.Second, 10)
			start := time.Unix(1000, 0)
			d.StartShutdown(start, 0)

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

// Guards against a shutdown that completes while an admitted request is in progress, because
// the request was admitted during a change of phase.
func TestShutdownWaitsForConcurrentRequests(t *testing.T) {
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

	d.StartShutdown(time.Now(), 0)
	d.Advance(time.Now())
	g.Wait()
	i.Equal(d.Advance(time.Now()), drainer.Done)
	i.Equal(d.Running(), 0)
}

// Guards against requests that are served until the end of a shutdown that takes hardly longer than the notice period, and are then
// interrupted, and against requests that are served after it since nobody has advanced the shutdown.
func TestLateRequestsAreRefused(t *testing.T) {
	for name, x := range map[string]struct {
		limit, from time.Duration
	}{
		"no limit":                 {0, 3 * time.Second},
		"long limit":               {30 * time.Second, 3 * time.Second},
		"limit like the notice":    {3 * time.Second, time.Second},
		"shorter than the notice":  {900 * time.Millisecond, 300 * time.Millisecond},
		"a little over the notice": {3600 * time.Millisecond, 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			b := time.Unix(0, 0)
			d := drainer.New(3*time.Second, 10)
			d.StartShutdown(b, x.limit)

			_, ok := d.Enter(b.Add(x.from - 1))
			i.True(ok)

			p, ok := d.Enter(b.Add(x.from))
			i.True(!ok)
			i.Equal(p, drainer.Refusing)
		})
	}
}
