package negotiator_test

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/delegator"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/negotiator"
	"github.com/auburntray/auburntray/internal/wire"
)

const group = "g"

// fleet is a set of instances without a network.
type fleet struct {
	members []gossiper.Member
	// instances are the negotiators by address; a nil one never replies.
	instances map[netip.AddrPort]*negotiator.Negotiator
	asked     atomic.Int64
}

// member is one instance's view of the fleet.
type member struct {
	*fleet

	self gossiper.Member
}

func (m member) Live() []gossiper.Member { return m.members }
func (m member) Self() gossiper.Member   { return m.self }

// Call implements negotiator.Messenger.
func (m member) Call(c context.Context, a netip.AddrPort, _ wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error {
	m.asked.Add(1)

	n := m.instances[a]
	if n == nil {
		time.Sleep(10 * time.Second) // Blocks beyond its time-out.

		return c.Err()
	}

	b, err := q.MarshalMsg(nil)
	if err != nil {
		return err
	}

	w, err := n.HandleDelegation(c, m.self.ID, b)
	if err != nil {
		return err
	}

	if b, err = w.MarshalMsg(nil); err != nil {
		return err
	}

	_, err = r.UnmarshalMsg(b)

	return err
}

// newFleet returns a fleet of n instances; those for which silent is true never reply.
func newFleet(n int, silent func(i int) bool, unreached func(i int) []string) (*fleet, []*negotiator.Negotiator) {
	f := &fleet{instances: make(map[netip.AddrPort]*negotiator.Negotiator)}

	var o []*negotiator.Negotiator

	for i := range n {
		a := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
		m := gossiper.Member{ID: uint64(i + 1), Address: a, DataCentre: "dc"}
		f.members = append(f.members, m)

		x := negotiator.New(member{f, m}, member{f, m})
		x.Accept(a, func() []string { return unreached(i) })
		o = append(o, x)

		if !silent(i) {
			f.instances[a] = x
		}
	}

	return f, o
}

func none(int) bool { return false }

func TestGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		_, l := newFleet(3, none, func(i int) []string {
			if i == 1 {
				return []string{group}
			}

			return nil
		})

		i.True(!l[0].Available(group)) // Nobody is asked before it is necessary.
		i.True(l[0].Ensure(t.Context(), group))

		d, ok := l[0].Acquire(delegator.Query{Group: group})
		i.True(ok)
		i.Equal(d.ID, uint64(3))
		i.True(l[2].Authorized(d.Token))
		i.True(!l[1].Authorized(d.Token))
		i.True(!l[2].Authorized(""))

		l[0].Finish(d.ID, group, negotiator.Unreached)
		i.True(!l[0].Available(group))
	})
}

// Guards against permission for a process that is not an instance, and for calls to an instance that does not accept any.
func TestGrantIsRefused(t *testing.T) {
	i := is.New(t)
	f, l := newFleet(2, none, func(int) []string { return nil })

	_, err := l[0].HandleDelegation(t.Context(), 99, nil)
	i.True(errors.Is(err, negotiator.ErrNegotiation))

	x := negotiator.New(member{f, f.members[0]}, member{f, f.members[0]})
	_, err = x.HandleDelegation(t.Context(), 2, nil)
	i.True(errors.Is(err, negotiator.ErrNegotiation))
}

// Guards against a request to all instances for each call, and against calls that wait for instances that do not reply.
func TestCallsShareOneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f, l := newFleet(6, func(i int) bool { return i != 5 }, func(int) []string { return []string{group} })
		b := time.Now()

		var g sync.WaitGroup
		for range 50 {
			g.Go(func() { i.True(!l[0].Ensure(t.Context(), group)) })
		}

		g.Wait()
		i.Equal(f.asked.Load(), int64(5))
		i.True(time.Since(b) < 100*time.Millisecond)

		// Within the interval between two rounds the next calls are refused at once.
		b = time.Now()
		i.True(!l[0].Ensure(t.Context(), group))
		i.Equal(time.Since(b), time.Duration(0))
		time.Sleep(20 * time.Second) // The requests that block end.
	})
}
