package asker

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// SyncAll sends all homes their list of grants now.
func (a *Asker) SyncAll(c context.Context) {
	a.mu.Lock()
	l := make([]*matcher.Cell, 0, len(a.cells))

	for _, x := range a.cells {
		l = append(l, x.cell)
	}

	a.mu.Unlock()

	for _, x := range l {
		if h, ok := a.members.Home(uint64(x.ID), x.DataCentres); ok {
			a.sync(c, x, h)
		}
	}
}

// moved tells a new home of the grants that the former one knew. Without it
// the new home would take the cell for idle and bury the targets that are not.
func (a *Asker) moved(c context.Context, x *matcher.Cell, h gossiper.Member) {
	a.mu.Lock()
	e := a.entry(x)
	m := e.home != h.ID && e.home != 0
	e.home = h.ID
	a.mu.Unlock()

	if m {
		a.sync(c, x, h)
	}
}

func (a *Asker) sync(c context.Context, x *matcher.Cell, h gossiper.Member) {
	w := a.list(x)

	if h.ID == a.members.Self().ID {
		a.keeper.Sync(time.Now(), a.members.Self().ID, w)

		return
	}

	t, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	if err := a.peers.Send(t, h.Address, wire.KindSync, &w); err != nil {
		logrus.WithFields(logrus.Fields{"event": "syncFailed", "peer": h.Address, "error": err}).Debug()
	}
}

// list returns this router's grants in a cell.
func (a *Asker) list(x *matcher.Cell) wire.Sync {
	a.mu.Lock()
	defer a.mu.Unlock()

	e := a.entry(x)
	w := wire.Sync{Cell: x.ID, UpTo: a.upTo()}

	for _, g := range e.grants {
		w.Grants = append(w.Grants, g)
	}

	return w
}

// upTo returns the highest number below which no ask is under way: the home may
// drop what it holds up to there and the list does not name.
func (a *Asker) upTo() uint32 {
	n := a.seq

	for s := range a.asking {
		n = min(n, s-1)
	}

	return n
}
