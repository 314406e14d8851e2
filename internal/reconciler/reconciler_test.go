package reconciler_test

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/reconciler"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/sender"
	"github.com/auburntray/auburntray/internal/standin/engine"
)

// log is a fake of the platform's log on the test's clock. An append takes the time delay,
// and its reply is lost if losesReplies is set.
type log struct {
	mu           sync.Mutex
	records      []recorder.Record
	delay        time.Duration
	losesReplies bool
}

func (l *log) Append(_ context.Context, _ string, d [][]byte) (uint64, error) {
	l.mu.Lock()
	o := uint64(len(l.records))

	for _, x := range d {
		l.records = append(l.records, recorder.Record{Offset: uint64(len(l.records)), Time: time.Now(), Data: x})
	}

	s, lost := l.delay, l.losesReplies
	l.mu.Unlock()
	time.Sleep(s)

	if lost {
		return 0, recorder.ErrUncertain
	}

	return o, nil
}

func (l *log) Read(_ context.Context, _ string, from uint64, _ time.Duration) (recorder.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return recorder.Batch{
		Next: uint64(len(l.records)), Now: time.Now(), Records: append([]recorder.Record(nil), l.records[from:]...),
	}, nil
}

// target is a fake engine that accepts commands. It refuses outdated fencing numbers if
// checksFence is set.
type target struct {
	checksFence bool
	model       string
	fence       uint64
	commands    int
	// beforeCommand runs once, immediately before a command arrives.
	beforeCommand func()
}

func (x *target) ReportedModel(context.Context, netip.AddrPort) (string, uint64, error) {
	return x.model, x.fence, nil
}

func (x *target) CommandModel(_ context.Context, _ netip.AddrPort, model string, fence uint64) error {
	if f := x.beforeCommand; f != nil {
		x.beforeCommand = nil
		f()
	}

	if x.checksFence && fence < x.fence {
		return sender.ErrFenced
	}

	x.model, x.fence = model, max(fence, x.fence)
	x.commands++

	return nil
}

func desired(model string) *matcher.Target {
	return &matcher.Target{Target: parser.Target{Model: model}, Name: "t", ID: 7}
}

func TestReconcile(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)

	for name, tc := range map[string]struct {
		log      *log
		model    string
		err      error
		commands int
		want     string
	}{
		"models differ":                   {&log{}, "old", nil, 1, "new"},
		"models agree":                    {&log{}, "new", nil, 0, "new"},
		"reply to lease request is lost":  {&log{losesReplies: true}, "old", reconciler.ErrNoLease, 0, "old"},
		"stalled after the lease request": {&log{delay: 6 * time.Second}, "old", reconciler.ErrLeaseExpired, 0, "old"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				x := &target{model: tc.model}
				err := reconciler.New(tc.log, x, counter.New(), 1).Reconcile(t.Context(), desired("new"))
				i.True(errors.Is(err, tc.err))
				i.Equal(x.commands, tc.commands)
				i.Equal(x.model, tc.want)
			})
		})
	}
}

// Guards against a stale command that remains in effect. A router stalls after it checked the
// age of its lease; the lease expires, and another router commands a new model before the
// old command arrives. A target that checks fencing numbers refuses the old command; any
// other runs the old model until the next pass.
func TestStaleCommandIsCorrected(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)

	for name, checks := range map[string]bool{"target checks fencing": true, "target ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				l, x := &log{}, &target{checksFence: checks, model: "old"}
				a, b := reconciler.New(l, x, counter.New(), 1), reconciler.New(l, x, counter.New(), 2)

				x.beforeCommand = func() {
					time.Sleep(11 * time.Second)
					i.NoErr(b.Reconcile(t.Context(), desired("new")))
				}

				err := a.Reconcile(t.Context(), desired("stale"))
				i.Equal(errors.Is(err, sender.ErrFenced), checks)

				time.Sleep(11 * time.Second)
				i.NoErr(b.Reconcile(t.Context(), desired("new")))
				i.Equal(x.model, "new")
			})
		})
	}
}

// Guards against conflicting commands from two routers that both consider themselves the home
// of a target. Only the router whose lease record is first in the log may send one.
func TestOnlyLeaseHolderSendsCommands(t *testing.T) {
	logrus.SetLevel(logrus.FatalLevel)
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		l, x := &log{}, &target{model: "old"}
		a, b := reconciler.New(l, x, counter.New(), 1), reconciler.New(l, x, counter.New(), 2)

		x.beforeCommand = func() { i.True(errors.Is(b.Reconcile(t.Context(), desired("new")), reconciler.ErrNoLease)) }

		i.NoErr(a.Reconcile(t.Context(), desired("new")))
		i.Equal(x.commands, 1)
	})
}

// The simulated engine follows the engine's protocol for commands.
func TestCommandProtocol(t *testing.T) {
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			e, stop, err := engine.New(engine.Settings{CacheTokens: 100, ChecksFence: checks})
			i.NoErr(err)

			defer stop()

			h := httptest.NewServer(e.Handler())
			defer h.Close()

			s, end, err := sender.New(sender.TLS{}, &net.Dialer{})
			i.NoErr(err)

			defer end()

			a := netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))
			i.NoErr(s.CommandModel(t.Context(), a, "one", 5))
			i.Equal(errors.Is(s.CommandModel(t.Context(), a, "two", 4), sender.ErrFenced), checks)

			m, f, err := s.ReportedModel(t.Context(), a)
			i.NoErr(err)
			i.Equal(f, uint64(5))
			i.Equal(m == "one", checks)
		})
	}
}
