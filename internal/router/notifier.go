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

// notifier sends messages about cells of this router to the homes of cells, that is, to the
// routers responsible for them. It is safe for concurrent use.
type notifier struct {
	messenger  *messenger.Messenger
	joiner     func() *joiner.Joiner
	supervisor func() *supervisor.Supervisor
}

// ReportCellLoad sends a cell's load to the home of another cell of its pool in the background. Lost
// messages are not repeated, as the next load replaces them.
func (t notifier) ReportCellLoad(to *matcher.Cell, w wire.CellLoad) {
	h, ok := t.joiner().Home(uint64(to.ID), to.DataCentres)
	if !ok {
		return
	}

	if h.ID == t.joiner().Self().ID {
		t.supervisor().ReportCell(time.Now(), w)

		return
	}

	go t.send(h, wire.KindCellLoad, &w)
}

// HandOver sends placements to the cell's home in the background, unless this router is the
// home.
func (t notifier) HandOver(cell *matcher.Cell, w wire.HandOver) {
	h, ok := t.joiner().Home(uint64(cell.ID), cell.DataCentres)
	if ok && h.ID != t.joiner().Self().ID {
		go t.send(h, wire.KindHandOver, &w)
	}
}

// Replicate sends placements in the background to the router that becomes the cell's home
// if this one fails.
func (t notifier) Replicate(cell *matcher.Cell, w wire.HandOver) {
	if h, ok := t.joiner().Successor(uint64(cell.ID), cell.DataCentres); ok {
		go t.send(h, wire.KindHandOver, &w)
	}
}

func (t notifier) send(to gossiper.Member, k wire.Kind, m msgp.Marshaler) {
	c, stop := context.WithTimeout(context.Background(), sendTimeout)
	defer stop()

	if err := t.messenger.Send(c, to.Address, k, m); err != nil {
		logrus.WithFields(logrus.Fields{"event": "tellFailed", "peer": to.Address, "error": err}).Debug()
	}
}
