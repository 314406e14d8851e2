package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/supervisor"
	"github.com/auburntray/auburntray/internal/wire"
)

// notifier sends the loads, placements and unavailable targets of cells to the homes of cells. The home (home node) of a
// cell is the one router responsible for it. It is safe for concurrent use.
type notifier struct {
	messenger  *messenger.Messenger
	joiner     func() *joiner.Joiner
	supervisor func() *supervisor.Supervisor
}

// ReportCellLoad sends a cell's load to the home of another cell of the same pool in the background. Lost
// messages are not sent again, since the next report replaces them.
func (n notifier) ReportCellLoad(to *matcher.Cell, w wire.CellLoad) {
	h, ok := n.joiner().Home(uint64(to.ID), to.DataCentres)
	if !ok {
		return
	}

	if h.ID == n.joiner().Self().ID {
		n.supervisor().ReportCell(time.Now(), w)

		return
	}

	go n.send(h, wire.KindCellLoad, &w)
}

// NotifyHome sends a message in the background to a cell's home, unless this router is the home.
func (n notifier) NotifyHome(cell *matcher.Cell, k wire.Kind, m msgp.Marshaler) {
	h, ok := n.joiner().Home(uint64(cell.ID), cell.DataCentres)
	if ok && h.ID != n.joiner().Self().ID {
		go n.send(h, k, m)
	}
}

// NotifySuccessor sends a message in the background to the router that becomes a cell's home if this one fails.
func (n notifier) NotifySuccessor(cell *matcher.Cell, k wire.Kind, m msgp.Marshaler) {
	if h, ok := n.joiner().Successor(uint64(cell.ID), cell.DataCentres); ok {
		go n.send(h, k, m)
	}
}

func (n notifier) send(to gossiper.Member, k wire.Kind, m msgp.Marshaler) {
	c, stop := context.WithTimeout(context.Background(), sendTimeout)
	defer stop()

	if err := n.messenger.Send(c, to.Address, k, m); err != nil {
		logrus.WithFields(logrus.Fields{"event": "tellFailed", "peer": to.Address, "error": err}).Debug()
	}
}
