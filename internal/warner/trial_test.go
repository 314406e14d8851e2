package warner_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/wire"
)

// patience is how long the callers of these tests wait for an answer.
const patience = 3 * time.Second

// A call has ended one target, and comes at all instances at once; each sending of it ends
// another target after 100 ms. They go out one after the other, and stop after the third end.
// Without that there were as many ends as instances.
func TestSendingsOfASuspectedCallGoOneByOne(t *testing.T) {
	for name, n := range map[string]int{"six instances": 6, "sixty": 60} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, n)
				time.Sleep(time.Second)
				f.end(0, 1)

				var (
					g    sync.WaitGroup
					mu   sync.Mutex
					ends = 1
				)

				for i, w := range f.instances {
					g.Go(func() {
						_, ok, over := w.Try(t.Context(), call, time.Now().Add(patience))
						defer over()

						if !ok {
							return
						}

						time.Sleep(100 * time.Millisecond)

						mu.Lock()
						ends++
						mu.Unlock()

						w.Ended(call, discoverer.Name(1000+i))
					})
				}

				g.Wait()
				is.Equal(ends, 3)
				is.Equal(f.holding(), n)
			})
		})
	}
}

// A target loses its power with a call that many ask for in flight. The first that is served
// shows that the call is no cause, and all others go out at once.
func TestGoodCallIsDelayedForOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 6)
		time.Sleep(time.Second)
		f.end(0, 1)

		var g sync.WaitGroup

		b := time.Now()

		for _, w := range f.instances {
			g.Go(func() {
				_, ok, over := w.Try(t.Context(), call, time.Now().Add(patience))
				is.True(ok)
				time.Sleep(60 * time.Millisecond)
				w.Served(call)
				over()
			})
		}

		g.Wait()
		is.True(time.Since(b) < 250*time.Millisecond)
	})
}

// An instance is cut off from the home of a call. A suspected one goes out all the same, since it
// may be a bystander of what happened; one that is held back does not.
func TestHomeThatIsNotReached(t *testing.T) {
	for name, x := range map[string]struct {
		ends  int
		after time.Duration
		want  bool
	}{
		"suspected":           {ends: 1, want: true},
		"held back":           {ends: 3},
		"held back, and due":  {ends: 3, after: 2 * time.Minute},
		"never seen anywhere": {want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, 6)
				time.Sleep(time.Second)
				f.end(0, x.ends)
				time.Sleep(x.after)

				let := 0

				for i, w := range f.instances {
					f.set(true, i)

					// Its own home, one instance can be; the others can't ask.
					if _, ok, _ := w.Try(t.Context(), call, time.Now()); ok {
						let++
					}

					f.set(false, i)
				}

				if x.want {
					is.Equal(let, len(f.instances))
				} else {
					is.True(let <= 1)
				}
			})
		})
	}
}

// A call is held back and due again: one sending goes out in the whole fleet. When it is
// served, the call is free everywhere.
func TestDueCallIsTriedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 6)
		time.Sleep(time.Second)
		f.end(0, 3)
		time.Sleep(2 * time.Minute)

		var tried []int

		for i, w := range f.instances {
			if _, ok, _ := w.Try(t.Context(), call, time.Now()); ok {
				tried = append(tried, i)
			}
		}

		is.Equal(len(tried), 1)
		f.instances[tried[0]].Served(call)
		time.Sleep(soon)
		is.Equal(f.holding(), 0)
	})
}

// An operator releases a call, or all, at any instance, and all let it go.
func TestOperatorReleasesCalls(t *testing.T) {
	for name, x := range map[string]struct {
		request  wire.ReleaseRequest
		released int
		holding  int
	}{
		"one":           {wire.ReleaseRequest{Calls: []uint64{uint64(call)}}, 1, 0},
		"all":           {wire.ReleaseRequest{All: true}, 1, 0},
		"another":       {wire.ReleaseRequest{Calls: []uint64{uint64(call) + 1}}, 0, 6},
		"none is named": {wire.ReleaseRequest{}, 0, 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, 6)
				time.Sleep(time.Second)
				f.end(0, 3)

				b, err := x.request.MarshalMsg(nil)
				is.NoErr(err)

				m, err := f.instances[4].Release(t.Context(), 1, b)
				is.NoErr(err)

				r, ok := m.(*wire.ReleaseReply)
				is.True(ok)
				is.Equal(len(r.Calls), x.released)
				time.Sleep(soon)
				is.Equal(f.holding(), x.holding)
			})
		})
	}
}
