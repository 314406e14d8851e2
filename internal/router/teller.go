package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/keeper"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/wire"
)

// teller sends cells' loads to the homes of their pools' other cells.
type teller struct {
	messenger *messenger.Messenger
	joiner    func() *joiner.Joiner
	keeper    func() *keeper.Keeper
}

// Tell sends one load in the background. A lost one is made good by the next.
func (t teller) Tell(to *matcher.Cell, w wire.CellLoad) {
	h, ok := t.joiner().Home(uint64(to.ID), to.DataCentres)
	if !ok {
		return
	}

	if h.ID == t.joiner().Self().ID {
		t.keeper().Other(time.Now(), w)

		return
	}

	go t.send(h, wire.KindCellLoad, &w)
}

// HandOver sends places in the background to the cell's home.
func (t teller) HandOver(cell *matcher.Cell, w wire.HandOver) {
	h, ok := t.joiner().Home(uint64(cell.ID), cell.DataCentres)
	if ok && h.ID != t.joiner().Self().ID {
		go t.send(h, wire.KindHandOver, &w)
	}
}

// Replicate sends places in the background to the cell's next home.
func (t teller) Replicate(cell *matcher.Cell, w wire.HandOver) {
	if h, ok := t.joiner().Successor(uint64(cell.ID), cell.DataCentres); ok {
		go t.send(h, wire.KindHandOver, &w)
	}
}

func (t teller) send(to gossiper.Member, k wire.Kind, m msgp.Marshaler) {
	c, stop := context.WithTimeout(context.Background(), sendTimeout)
	defer stop()

	if err := t.messenger.Send(c, to.Address, k, m); err != nil {
		logrus.WithFields(logrus.Fields{"event": "tellFailed", "peer": to.Address, "error": err}).Debug()
	}
}
