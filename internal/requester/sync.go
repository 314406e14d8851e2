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
func (r *Requester) SyncAll(c context.Context) {
	r.mu.Lock()
	l := make([]*matcher.Cell, 0, len(r.cells))

	for _, x := range r.cells {
		l = append(l, x.cell)
	}

	r.mu.Unlock()

	for _, x := range l {
		if h, ok := r.members.Home(uint64(x.ID), x.DataCentres); ok {
			r.sync(c, x, h)
		}
	}
}

// setHome records the home of a cell. If the home has changed, setHome sends it this router's
// grants; without them the new home would consider the targets idle and overload them.
func (r *Requester) setHome(c context.Context, x *matcher.Cell, h gossiper.Member) {
	r.mu.Lock()
	e := r.entry(x)
	m := e.home != h.ID && e.home != 0
	e.home = h.ID
	r.mu.Unlock()

	if m {
		r.sync(c, x, h)
	}
}

// sync sends a home the list of this router's grants in a cell.
func (r *Requester) sync(c context.Context, x *matcher.Cell, h gossiper.Member) {
	w := r.grantList(x)

	if h.ID == r.members.Self().ID {
		r.supervisor.Sync(time.Now(), r.members.Self().ID, w)

		return
	}

	t, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	if err := r.peers.Send(t, h.Address, wire.KindSync, &w); err != nil {
		logrus.WithFields(logrus.Fields{"event": "syncFailed", "peer": h.Address, "error": err}).Debug()
	}
}

// grantList returns this router's grants in a cell.
func (r *Requester) grantList(x *matcher.Cell) wire.Sync {
	r.mu.Lock()
	defer r.mu.Unlock()

	e := r.entry(x)
	w := wire.Sync{Cell: x.ID, UpTo: r.upTo()}

	for _, g := range e.grants {
		w.Grants = append(w.Grants, g)
	}

	return w
}

// upTo returns the highest sequence number up to which no request is pending. The home may
// delete grants up to this number that the list does not contain.
func (r *Requester) upTo() uint32 {
	n := r.seq

	for s := range r.pending {
		n = min(n, s-1)
	}

	return n
}
