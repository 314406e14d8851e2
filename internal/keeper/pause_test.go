package keeper_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/detector"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/keeper"
	"github.com/auburntray/auburntray/internal/matcher"
)

// process is a fake of this process, which stands still at times. Its clock goes on.
type process struct {
	detector *detector.Detector
	still    atomic.Bool
}

func newProcess() *process { return &process{detector: detector.New(time.Now())} }

// run ticks until the context ends, but not while the process stands still.
func (p *process) run(c context.Context) {
	t := time.NewTicker(detector.TickEvery)
	defer t.Stop()

	for {
		select {
		case n := <-t.C:
			if !p.still.Load() {
				p.detector.Tick(n)
			}
		case <-c.Done():
			return
		}
	}
}

func (p *process) Stalled(since time.Time) bool { return p.detector.Stalled(time.Now(), since) }

// running is a process that never stands still.
type running struct{}

func (running) Stalled(time.Time) bool { return false }

// partly is a fake of targets of which one never answers.
type partly struct {
	*outside
	mute netip.AddrPort
}

func (p *partly) Probe(c context.Context, a netip.AddrPort) (keeper.Health, error) {
	if a == p.mute {
		<-c.Done()

		return keeper.Health{}, c.Err()
	}

	return p.outside.Probe(c, a)
}

// A router stands still while a probe of a target is out: its host takes the
// processor away for most of a second, three times within a few seconds. On waking the
// probe's time has run out, though the target answered. Three in a row put the target
// out of service, and where it is the only one that can be reached, as in a data centre
// that is cut off, all callers are refused until it is tried again. A target that is
// mute while the router runs is left alone as ever.
func TestAPauseIsNotHeldAgainstATarget(t *testing.T) {
	const (
		// rounds is how many probes fail; three in a row put a target out of service.
		rounds = 3
		// In each second the process stands still for still, from 50 ms before the
		// sweep until after the probe's time has run out, and then runs for awake.
		still = 700 * time.Millisecond
		awake = 300 * time.Millisecond
		// lead is until the process first runs before it stands still.
		lead = 650 * time.Millisecond
	)

	for name, tc := range map[string]struct {
		stands bool
		used   bool
	}{
		"the router stands still": {stands: true, used: true},
		"the router runs":         {stands: false, used: false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f, p := force(3), newProcess()
				o := &partly{outside: &outside{}, mute: f.Matcher.Target(hasher.Name("e0")).Address}
				k := keeper.New(granter.DefaultSettings(), self, func() *follower.Config { return f }, o, o, p)

				c, stop := context.WithCancel(t.Context())
				go p.run(c)
				go k.Run(c, func(*matcher.Cell) uint64 { return self })

				time.Sleep(lead)

				for range rounds {
					time.Sleep(awake)
					p.still.Store(tc.stands)
					time.Sleep(still)
					p.still.Store(false)
				}

				synctest.Wait()

				used := false

				for n := range uint32(6) {
					v, err := k.Ask(time.Now(), 1, ask(f, n+1))
					i.NoErr(err)

					used = used || v.Target == hasher.Name("e0")
				}

				i.Equal(used, tc.used)
				stop()
				synctest.Wait()
			})
		})
	}
}
