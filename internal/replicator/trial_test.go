package replicator_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/wire"
)

// timeout is how long the callers of these tests wait for an answer.
const timeout = 3 * time.Second

// Guards against one crash for each instance: a call has crashed one target and arrives at all instances
// at once; each transmission crashes another target after 100 ms. Trials run one at a time, and stop after
// the third crash.
func TestTrialsOfSuspectedCallRunOneAtATime(t *testing.T) {
	for name, n := range map[string]int{"six instances": 6, "sixty instances": 60} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, n)
				time.Sleep(time.Second)
				f.crash(0, 1)

				var (
					g       sync.WaitGroup
					mu      sync.Mutex
					crashes = 1
				)

				for i, w := range f.instances {
					g.Go(func() {
						_, ok, finish := w.Admit(t.Context(), []digester.Digest{call}, time.Now().Add(timeout))
						defer finish()

						if !ok {
							return
						}

						time.Sleep(100 * time.Millisecond)

						mu.Lock()
						crashes++
						mu.Unlock()

						w.RecordCrash([]digester.Digest{call}, discoverer.Name(1000+i))
					})
				}

				g.Wait()
				is.Equal(crashes, 3)
				is.Equal(f.quarantined(), n)
			})
		})
	}
}

// Guards against long delays of harmless calls: a target loses power with a call in flight that many
// callers repeat. The first trial that is served shows that the call is not the cause, and all others are
// sent at once.
func TestHarmlessCallIsDelayedForOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 6)
		time.Sleep(time.Second)
		f.crash(0, 1)

		var g sync.WaitGroup

		b := time.Now()

		for _, w := range f.instances {
			g.Go(func() {
				_, ok, finish := w.Admit(t.Context(), []digester.Digest{call}, time.Now().Add(timeout))
				is.True(ok)
				time.Sleep(60 * time.Millisecond)
				w.RecordServed([]digester.Digest{call})
				finish()
			})
		}

		g.Wait()
		is.True(time.Since(b) < 250*time.Millisecond)
	})
}

// Guards against refusals while the home of a call is unreachable. A suspected call is sent nevertheless,
// since it may not be the cause of the crashes; a quarantined one is not.
func TestUnreachableHome(t *testing.T) {
	for name, x := range map[string]struct {
		crashes int
		after   time.Duration
		want    bool
	}{
		"suspected":        {crashes: 1, want: true},
		"quarantined":      {crashes: 3},
		"quarantined, due": {crashes: 3, after: 2 * time.Minute},
		"unknown":          {want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, 6)
				time.Sleep(time.Second)
				f.crash(0, x.crashes)
				time.Sleep(x.after)

				sent := 0

				for i, w := range f.instances {
					f.setPartitioned(true, i)

					// One instance may be the home itself; the others cannot reach it.
					if _, ok, _ := w.Admit(t.Context(), []digester.Digest{call}, time.Now()); ok {
						sent++
					}

					f.setPartitioned(false, i)
				}

				if x.want {
					is.Equal(sent, len(f.instances))
				} else {
					is.True(sent <= 1)
				}
			})
		})
	}
}

// Guards against more than one trial of a quarantined call when it is due: one is granted in the whole
// fleet. Once it is served, the call is cleared at all instances.
func TestDueCallIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := start(t, 6)
		time.Sleep(time.Second)
		f.crash(0, 3)
		time.Sleep(2 * time.Minute)

		var tried []int

		for i, w := range f.instances {
			if _, ok, _ := w.Admit(t.Context(), []digester.Digest{call}, time.Now()); ok {
				tried = append(tried, i)
			}
		}

		is.Equal(len(tried), 1)
		f.instances[tried[0]].RecordServed([]digester.Digest{call})
		time.Sleep(broadcastTime)
		is.Equal(f.quarantined(), 0)
	})
}

// Guards against a release that takes effect at a part of the instances only: an operator releases one call, or all,
// at any instance.
func TestRelease(t *testing.T) {
	for name, x := range map[string]struct {
		request     wire.ReleaseRequest
		released    int
		quarantined int
	}{
		"one":     {wire.ReleaseRequest{Calls: []uint64{uint64(call)}}, 1, 0},
		"all":     {wire.ReleaseRequest{All: true}, 1, 0},
		"another": {wire.ReleaseRequest{Calls: []uint64{uint64(call) + 1}}, 0, 6},
		"no call": {wire.ReleaseRequest{}, 0, 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, 6)
				time.Sleep(time.Second)
				f.crash(0, 3)

				b, err := x.request.MarshalMsg(nil)
				is.NoErr(err)

				m, err := f.instances[4].HandleRelease(t.Context(), 1, b)
				is.NoErr(err)

				r, ok := m.(*wire.ReleaseReply)
				is.True(ok)
				is.Equal(len(r.Calls), x.released)
				time.Sleep(broadcastTime)
				is.Equal(f.quarantined(), x.quarantined)
			})
		})
	}
}
