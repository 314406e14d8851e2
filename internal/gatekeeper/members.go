package gatekeeper

import (
	"context"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/repeater"
)

// processID names this process among all instances' processes.
type processID uint64

func newMessenger(l fx.Lifecycle, s Settings) (*messenger.Messenger, processID, error) {
	id := processID(joiner.NewID(gossiper.ClassOf(s.link())))

	m, stop, err := messenger.New(s.Peers, uint64(id), &net.Dialer{}, nil)
	if err != nil {
		return nil, 0, errors.Mark(err, ErrStart)
	}

	l.Append(fx.Hook{OnStop: func(context.Context) error {
		stop()

		return nil
	}})

	return m, id, nil
}

// unlisted stands for a list of instances where there is none: they find each
// other by the seeds and by gossip.
type unlisted struct{}

// Instances is part of what a joiner.Joiner needs.
func (unlisted) Instances(context.Context, uint64) (recorder.List, error) {
	return recorder.List{}, nil
}

func newMembers(s Settings, m *messenger.Messenger, id processID, f *facts) *joiner.Joiner {
	x := gossiper.Member{ID: uint64(id), Address: m.Address(), Region: s.Region, DataCentre: s.DataCentre}
	r := mathrand.New(mathrand.NewPCG(x.ID, 0)) //nolint:gosec // Spreads messages.
	j := joiner.New(m, unlisted{}, gossiper.New(gossiper.DefaultSettings(), r, x), x, s.Seeds, joiner.Hooks{
		Revision: f.version,
		Ahead:    func(netip.AddrPort, uint64) {},
		Seen:     func(recorder.Instance) {},
	})
	f.instances = (&peak{count: func() int { return len(j.Live()) }, lasts: peakFor}).value

	return j
}

func newRepeater(s Settings, m *messenger.Messenger, j *joiner.Joiner, c *meter.Meter) *repeater.Repeater {
	return repeater.New(m, j, c, s.link())
}

// peakFor is how long the largest number of instances seen stands. Instances that
// can't be reached may still be there and spend their part of the budget; a data
// centre that is cut off must not take the part of the others.
const peakFor = time.Minute

// peak is the largest number of instances seen for a time. It is safe for concurrent
// use.
type peak struct {
	count func() int
	lasts time.Duration

	mu   sync.Mutex
	most int
	at   time.Time
}

func (p *peak) value() int {
	n := p.count()

	p.mu.Lock()
	defer p.mu.Unlock()

	if n >= p.most || time.Since(p.at) > p.lasts {
		p.most, p.at = n, time.Now()
	}

	return p.most
}
