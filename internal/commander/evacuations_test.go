package commander

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/wire"
)

// Guards against operators who cannot see whether a data centre may be switched off: the command shows
// which data centres are evacuated and how many calls still run there.
func TestShowEvacuations(t *testing.T) {
	for name, x := range map[string]struct {
		known []wire.Evacuation
		want  string
	}{
		"none": {want: "no data centre is evacuated\n"},
		"two": {
			known: []wire.Evacuation{{DataCentre: "a", AgeMs: 61400, Targets: 15, OwnCalls: 1, AllCalls: 7}, {DataCentre: "b", Targets: 2}},
			want: "dataCentre=a known=1m1s targets=15 runningOfIts=1 runningOfAll=7\n" +
				"dataCentre=b known=0s targets=2 runningOfIts=0 runningOfAll=0\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			m, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, &net.Dialer{}, nil)
			i.NoErr(err)
			t.Cleanup(stop)

			m.Handle(wire.KindEvacuations, func(context.Context, uint64, []byte) (msgp.Marshaler, error) {
				return &wire.EvacuationsReply{Evacuations: x.known}, nil
			})
			m.Serve()

			var o bytes.Buffer

			i.NoErr(withMessenger(t.Context(), func(c context.Context, k *messenger.Messenger) error {
				return showEvacuations(c, &o, k, m.Address(), "")
			}))
			i.Equal(o.String(), x.want)
		})
	}
}
