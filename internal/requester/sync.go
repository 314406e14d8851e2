package requester

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// SyncAll sends the home of each cell the list of this router's grants there.
func (a *Requester) SyncAll(c context.Context) {
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

// setHome records the home of a cell. If it has changed, it sends this router's grants to
// the new home, which would otherwise consider the targets idle and overload them.
func (a *Requester) setHome(c context.Context, x *matcher.Cell, h gossiper.Member) {
	a.mu.Lock()
	e := a.entry(x)
	m := e.home != h.ID && e.home != 0
	e.home = h.ID
	a.mu.Unlock()

	if m {
		a.sync(c, x, h)
	}
}

// sync sends a home the list of this router's grants in a cell.
func (a *Requester) sync(c context.Context, x *matcher.Cell, h gossiper.Member) {
	w := a.grantList(x)

	if h.ID == a.members.Self().ID {
		a.supervisor.Sync(time.Now(), a.members.Self().ID, w)

		return
	}

	t, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	if err := a.peers.Send(t, h.Address, wire.KindSync, &w); err != nil {
		logrus.WithFields(logrus.Fields{"event": "syncFailed", "peer": h.Address, "error": err}).Debug()
	}
}

// grantList returns this router's grants in a cell.
func (a *Requester) grantList(x *matcher.Cell) wire.Sync {
	a.mu.Lock()
	defer a.mu.Unlock()

	e := a.entry(x)
	w := wire.Sync{Cell: x.ID, UpTo: a.upTo()}

	for _, g := range e.grants {
		w.Grants = append(w.Grants, g)
	}

	return w
}

// upTo returns the highest sequence number up to which no request is pending. The home may
// delete grants up to this number that the list does not contain.
func (a *Requester) upTo() uint32 {
	n := a.seq

	for s := range a.pending {
		n = min(n, s-1)
	}

	return n
}
