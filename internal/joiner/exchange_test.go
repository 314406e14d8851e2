package joiner_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/joiner"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/wire"
)

type emptyList struct{}

func (emptyList) Instances(context.Context, uint64) (recorder.List, error) {
	return recorder.List{}, nil
}

// newMessenger returns a messenger on a free port that serves until the test ends.
func newMessenger(t *testing.T, id uint64) *messenger.Messenger {
	t.Helper()

	m, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), id, &net.Dialer{}, nil)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(stop)

	return m
}

// newJoiner returns a joiner with its messenger.
func newJoiner(t *testing.T, id uint64, seeds ...netip.AddrPort) (*joiner.Joiner, *messenger.Messenger) {
	t.Helper()

	m := newMessenger(t, id)
	x := gossiper.Member{ID: id, Address: m.Address(), Region: "r", DataCentre: "d"}
	j := joiner.New(m, emptyList{}, gossiper.New(gossiper.DefaultSettings(), rand.New(rand.NewPCG(id, 1)), x), x, seeds, joiner.Hooks{
		Revision:        func() uint64 { return 1 },
		OnNewerRevision: func(netip.AddrPort, uint64) {},
		OnTargetChange:  func(recorder.Instance) {},
	})
	j.Register(m)
	m.Serve()

	return j, m
}

// eventually waits until a condition holds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()

	for range 1000 {
		if holds() {
			return
		}

		time.Sleep(10 * time.Millisecond)
	}

	t.Fatal("the condition did not come to hold")
}

// Guards against members that are not told of each other, and against one that counts as live after it left.
func TestMembersMeetAndLeave(t *testing.T) {
	a, m := newJoiner(t, 1)
	b, _ := newJoiner(t, 2, m.Address())
	c, _ := newJoiner(t, 3, m.Address())

	for _, j := range []*joiner.Joiner{a, b, c} {
		go j.Run(t.Context())
	}

	eventually(t, func() bool { return len(a.Live()) == 3 && len(b.Live()) == 3 && len(c.Live()) == 3 })
	c.Leave(t.Context())
	eventually(t, func() bool { return len(a.Live()) == 2 && len(b.Live()) == 2 })
}

// Guards against an instance of the earlier release, which answers gossip with an error and expects beats, that is not
// counted as live or is not sent beats.
func TestEarlierReleaseJoins(t *testing.T) {
	m := newMessenger(t, 2)
	beats := make(chan wire.Gossip, 100)
	m.Handle(wire.KindGossip, func(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
		var w wire.Gossip
		if _, err := w.UnmarshalMsg(body); err == nil {
			beats <- w
		}

		return nil, nil //nolint:nilnil // The earlier release has no reply.
	})
	m.Serve()

	j, x := newJoiner(t, 1)
	go j.Run(t.Context())

	e := gossiper.Member{ID: 2, Address: m.Address(), Region: "r", DataCentre: "d"}

	err := m.Send(t.Context(), x.Address(), wire.KindGossip, &wire.Gossip{Members: []wire.Member{e.Introduction()}})
	if err != nil {
		t.Fatal(err)
	}

	eventually(t, func() bool { return len(j.Live()) == 2 })

	// The beats that it receives have increasing counts.
	n := uint32(0)
	for range 3 {
		w := <-beats
		is.New(t).True(w.Heartbeats[0].Count >= n)
		n = w.Heartbeats[0].Count
	}
}

func TestHandleProbe(t *testing.T) {
	a, _ := newJoiner(t, 1)
	_, b := newJoiner(t, 2)
	_, silent := newJoiner(t, 3)
	silent.Close()

	for name, tc := range map[string]struct {
		request wire.ProbeRequest
		answers bool
	}{
		"answers":         {wire.ProbeRequest{ID: 2, Address: b.Address().String()}, true},
		"another process": {wire.ProbeRequest{ID: 4, Address: b.Address().String()}, false},
		"unreachable":     {wire.ProbeRequest{ID: 3, Address: silent.Address().String()}, false},
		"invalid address": {wire.ProbeRequest{ID: 2, Address: "x"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			body, err := tc.request.MarshalMsg(nil)
			i.NoErr(err)

			_, err = a.HandleProbe(t.Context(), 2, body)
			i.Equal(err == nil, tc.answers)
		})
	}

	for _, h := range []messenger.Handler{a.HandleGossip, a.HandleMembers, a.HandleMembersRequest, a.HandleProbe} {
		_, err := h(t.Context(), 2, []byte{0xc1})
		is.New(t).True(err != nil)
	}
}
