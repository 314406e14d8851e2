package supervisor_test

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
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/supervisor"
)

// process is a fake of this process, which can be stalled. Its clock continues.
type process struct {
	detector *detector.Detector
	stalled  atomic.Bool
}

func newProcess() *process { return &process{detector: detector.New(time.Now())} }

// run ticks the detector until the context ends, but not while the process is stalled.
func (p *process) run(c context.Context) {
	t := time.NewTicker(detector.TickInterval)
	defer t.Stop()

	for {
		select {
		case n := <-t.C:
			if !p.stalled.Load() {
				p.detector.Tick(n)
			}
		case <-c.Done():
			return
		}
	}
}

func (p *process) Stalled(since time.Time) bool { return p.detector.Stalled(time.Now(), since) }

// neverStalled is a process that is never stalled.
type neverStalled struct{}

func (neverStalled) Stalled(time.Time) bool { return false }

// partlyMute is a fake of targets, one of which never answers.
type partlyMute struct {
	*peersAndTargets
	mute netip.AddrPort
}

func (p *partlyMute) Probe(c context.Context, a netip.AddrPort) (supervisor.Health, error) {
	if a == p.mute {
		<-c.Done()

		return supervisor.Health{}, c.Err()
	}

	return p.peersAndTargets.Probe(c, a)
}

// Guards against excluding a healthy target because this router was stalled. Its host takes the
// processor away for most of a second, three times within a few seconds, and each time a probe
// times out. If the target is the only one that can be reached, as in a network partition, all
// callers would be refused until it is readmitted. A target that does not answer while the router
// runs is excluded as usual.
func TestStallDoesNotExcludeATarget(t *testing.T) {
	const (
		// rounds is the number of failed probes; three in a row exclude a target.
		rounds = 3
		// In each second the process runs for runTime and is then stalled for stallTime, from
		// 50 ms before the sweep until after the probe has timed out.
		stallTime = 700 * time.Millisecond
		runTime   = 300 * time.Millisecond
		// lead is the time before the first of these seconds.
		lead = 650 * time.Millisecond
	)

	for name, tc := range map[string]struct {
		stalls bool
		used   bool
	}{
		"router stalls": {stalls: true, used: true},
		"router runs":   {stalls: false, used: false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f, p := configuration(3), newProcess()
				o := &partlyMute{peersAndTargets: &peersAndTargets{}, mute: f.Matcher.Target(hasher.Name("e0")).Address}
				s := supervisor.New(granter.DefaultSettings(), self, func() *follower.Config { return f }, o, o, p)

				c, stop := context.WithCancel(t.Context())
				go p.run(c)
				go s.Run(c, func(*matcher.Cell) uint64 { return self })

				time.Sleep(lead)

				for range rounds {
					time.Sleep(runTime)
					p.stalled.Store(tc.stalls)
					time.Sleep(stallTime)
					p.stalled.Store(false)
				}

				synctest.Wait()

				used := false

				for n := range uint32(6) {
					v, err := s.Reserve(time.Now(), 1, request(f, n+1))
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
