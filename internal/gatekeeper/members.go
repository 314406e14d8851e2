package gatekeeper

import (
	"context"
	mathrand "math/rand/v2"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/repeater"
)

// processID identifies this process among the processes of all instances.
type processID uint64

func newMessenger(l fx.Lifecycle, s Settings) (*messenger.Messenger, processID, error) {
	id := processID(joiner.NewID(gossiper.ClassOf(s.linkRate())))

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

// emptyDirectory is a list of instances without entries: gateways find each other through the
// seeds and gossip instead.
type emptyDirectory struct{}

// Instances implements the list of instances that a joiner.Joiner requires.
func (emptyDirectory) Instances(context.Context, uint64) (recorder.List, error) {
	return recorder.List{}, nil
}

func newMembers(s Settings, m *messenger.Messenger, id processID, f *state) *joiner.Joiner {
	x := gossiper.Member{ID: uint64(id), Address: m.Address(), Region: s.Region, DataCentre: s.DataCentre}
	r := mathrand.New(mathrand.NewPCG(x.ID, 0)) //nolint:gosec // Spreads messages.
	j := joiner.New(m, emptyDirectory{}, gossiper.New(gossiper.DefaultSettings(), r, x), x, s.Seeds, joiner.Hooks{
		Revision:        f.catalogVersion,
		OnNewerRevision: func(netip.AddrPort, uint64) {},
		OnTargetChange:  func(recorder.Instance) {},
	})
	return j
}

func newRepeater(s Settings, m *messenger.Messenger, j *joiner.Joiner, c *meter.Meter) *repeater.Repeater {
	return repeater.New(m, j, c, s.linkRate())
}
