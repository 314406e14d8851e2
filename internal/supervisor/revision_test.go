package supervisor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/granter"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/supervisor"
	"github.com/auburntray/auburntray/internal/wire"
)

// revisedSupervisor is a supervisor whose configuration a test replaces.
type revisedSupervisor struct {
	*supervisor.Supervisor

	config atomic.Pointer[follower.Config]
}

func newRevisedSupervisor(f *follower.Config) *revisedSupervisor {
	r := &revisedSupervisor{}
	r.config.Store(f)

	o := &peersAndTargets{}
	r.Supervisor = supervisor.New(granter.DefaultSettings(), self, r.config.Load, o, o, neverStalled{})

	return r
}

func (r *revisedSupervisor) revise(f *follower.Config) {
	r.config.Store(f)
	r.Update(f)
}

// Guards against calls to a target that is in backoff or leaving: the home was notified before it had the
// configuration with the target or its cell, and entry routers notify it once.
func TestTargetReportedBeforeItsConfiguration(t *testing.T) {
	f := configuration(3)
	cell, target := request(f, 1).Cell, hasher.Name("e2")

	for name, report := range map[string]func(r *revisedSupervisor){
		"backoff": func(r *revisedSupervisor) {
			r.StartBackoff(time.Now(), wire.Backoff{Cell: cell, Target: target, DurationMs: 60_000})
		},
		"leaving": func(r *revisedSupervisor) {
			r.Report(time.Now(), wire.Report{Cell: cell, Target: target, Requests: -1, Incarnation: 4, Leaving: true})
		},
	} {
		for revision, before := range map[string]*follower.Config{"cell unknown": configuration(0), "target unknown": configuration(2)} {
			t.Run(name+", "+revision, func(t *testing.T) {
				i := is.New(t)
				r := newRevisedSupervisor(before)

				// A home that has the cell has decided there before.
				_, _ = r.Reserve(time.Now(), 1, request(f, 1))

				report(r)
				r.revise(f)

				for n := range uint32(60) {
					v, err := r.Reserve(time.Now(), 1, request(f, n+10))
					i.NoErr(err)
					i.True(v.Target != target)
					r.Release(time.Now(), 1, wire.Release{Seq: n + 10, Cell: cell, OK: true})
				}
			})
		}
	}
}

// Guards against a home that considers a busy target idle, and against lost prompt caches: the grants and the placements
// of a cell were sent to the home before it had the cell's configuration, and are not sent again at once.
func TestCellReceivedBeforeItsConfiguration(t *testing.T) {
	i := is.New(t)
	f := configuration(3)
	cell, target := request(f, 1).Cell, hasher.Name("e2")
	r := newRevisedSupervisor(configuration(0))

	// A router without the configuration of a cell can't decide there, whatever it has received.
	r.HandOver(time.Now(), 2, wire.HandOver{Cell: cell, Placements: []wire.Placement{{Chat: 7, Target: target, Tokens: 100}}})
	r.Sync(time.Now(), 2, wire.Sync{Cell: cell, UpTo: 8, Grants: []wire.Grant{
		{Seq: 1, Target: hasher.Name("e0")}, {Seq: 2, Target: hasher.Name("e0")}, {Seq: 3, Target: hasher.Name("e0")},
	}})
	_, err := r.Reserve(time.Now(), 1, request(f, 7))
	i.True(err != nil)

	r.revise(f)

	v, err := r.Reserve(time.Now(), 1, request(f, 7))
	i.NoErr(err)
	i.Equal(v.Target, target)
	i.True(v.Flags&wire.FlagAtPlacement != 0)

	// The target with the three grants gets none of the next ones.
	for n := range uint32(3) {
		v, err = r.Reserve(time.Now(), 1, request(f, n+10))
		i.NoErr(err)
		i.True(v.Target != hasher.Name("e0"))
	}
}

// Guards against calls to targets in backoff or leaving after a cell has got another home: a router that joins, or the successor
// of one that is killed.
func TestNextHomeReceivesUnavailableTargets(t *testing.T) {
	for name, tc := range map[string]struct {
		home    uint64
		receive func(o *peersAndTargets) []msgp.Marshaler
	}{
		"successor of this router":        {home: self, receive: func(o *peersAndTargets) []msgp.Marshaler { return o.toSuccessor }},
		"router that has become the home": {home: 2, receive: func(o *peersAndTargets) []msgp.Marshaler { return o.toHome }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f, o := configuration(3), &peersAndTargets{}
				k := newSupervisor(f, o)

				_, err := k.Reserve(time.Now(), 1, request(f, 1))
				i.NoErr(err)
				k.StartBackoff(time.Now(), wire.Backoff{Target: hasher.Name("e0"), DurationMs: 60_000})
				k.StartBackoff(time.Now(), wire.Backoff{Target: hasher.Name("e1"), DurationMs: 10})
				k.Report(time.Now(), wire.Report{Target: hasher.Name("e2"), Requests: -1, Incarnation: 4, Leaving: true})

				c, stop := context.WithCancel(t.Context())
				go k.Run(c, func(*matcher.Cell) uint64 { return tc.home })

				time.Sleep(1500 * time.Millisecond)
				stop()
				synctest.Wait()

				l := tc.receive(o)
				i.Equal(len(l), 2) // The other backoff has ended.

				b, _ := l[0].(*wire.Backoff)
				i.Equal(b.Target, hasher.Name("e0"))
				i.True(b.DurationMs > 50_000)

				r, _ := l[1].(*wire.Report)
				i.Equal(r.Target, hasher.Name("e2"))
				i.True(r.Leaving)
			})
		})
	}
}
