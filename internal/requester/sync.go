package requester

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/wire"
)

// SyncAll sends the home of each cell the list of this router's grants there, and the targets that accept no calls.
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

// setHome records the home of a cell. If the home has changed, setHome sends it this router's grants and the targets that accept
// no calls; without them the new home would consider the targets idle and available.
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

// sync sends a home the list of this router's grants in a cell, and the targets that accept no calls.
func (r *Requester) sync(c context.Context, x *matcher.Cell, h gossiper.Member) {
	w := r.grantList(x)

	if h.ID == r.members.Self().ID {
		r.supervisor.Sync(time.Now(), r.members.Self().ID, w)

		return
	}

	r.sendOne(c, h, wire.KindSync, &w)
	r.sendUnavailable(c, x, h)
}

// sendUnavailable sends another router the targets of a cell that are in backoff or leaving, as far as this router knows.
func (r *Requester) sendUnavailable(c context.Context, x *matcher.Cell, h gossiper.Member) {
	b, l := r.supervisor.Unavailable(time.Now(), x)

	for _, w := range b {
		r.sendOne(c, h, wire.KindBackoff, &w)
	}

	for _, w := range l {
		r.sendOne(c, h, wire.KindReport, &w)
	}
}

// sendOne sends one message of a sync. If it is lost, the next sync repeats it.
func (r *Requester) sendOne(c context.Context, h gossiper.Member, k wire.Kind, m msgp.Marshaler) {
	t, stop := context.WithTimeout(c, sendTimeout)
	defer stop()

	if err := r.peers.Send(t, h.Address, k, m); err != nil {
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
