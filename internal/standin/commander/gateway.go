package commander

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/platform/standin"
)

// newStoreCommand returns the command that runs the store that gateways read.
func newStoreCommand() *cobra.Command {
	var a netip.AddrPort

	t := resolver.Table{
		{Name: "listen", Default: "127.0.0.1:8090", Allowed: "an IP number and a port", Help: "address of the store", Read: resolver.Address(&a, false)},
	}

	return command("store", "Run the users' platform's store of keyed records", t, func(c context.Context) error {
		return serve(c, a, standin.NewStore(), nil)
	})
}

// newServerCommand returns the command that runs a target that gateways discover in the store.
func newServerCommand() *cobra.Command {
	var (
		a, store netip.AddrPort
		s        standin.ServerSettings
	)

	t := resolver.Table{
		{Name: "listen", Default: "127.0.0.1:8190", Allowed: "an IP number and a port", Help: "address of the server", Read: resolver.Address(&a, false)},
		{Name: "store", Default: "127.0.0.1:8090", Allowed: "an IP number and a port", Help: "store in which the server registers", Read: resolver.Address(&store, false)},
		{Name: "id", Default: "i-1", Allowed: "1 to 63 bytes", Help: "ID of the server, unchanged by restarts", Read: resolver.Text(&s.ID)},
		{Name: "service", Default: "plain", Allowed: "1 to 63 bytes", Help: "service to which the server belongs", Read: resolver.Text(&s.Service)},
		{Name: "data-centre", Default: "dc-1", Allowed: "1 to 63 bytes", Help: "data centre of the server", Read: resolver.Text(&s.DataCentre)},
		{Name: "slots", Default: "8", Allowed: "1 to 10000", Help: "calls run concurrently", Read: resolver.Int(&s.Slots, 1, 10000)},
		{Name: "work", Default: "20ms", Allowed: "0s to 1m", Help: "time until an answer begins", Read: resolver.Duration(&s.WorkTime, 0, time.Minute)},
		{Name: "pause", Default: "20ms", Allowed: "0s to 1m", Help: "time between events", Read: resolver.Duration(&s.EventInterval, 0, time.Minute)},
	}

	return command("server", "Run a server of the users' platform", t, func(c context.Context) error {
		x := standin.NewServer(s)
		l := registration{store: store, server: x, id: s.ID, address: a}
		l.publish(false)

		err := serve(c, a, x, func() { l.publish(true) })
		l.remove()

		return err
	})
}

// registration writes and removes a server's entry in the store.
type registration struct {
	store   netip.AddrPort
	server  *standin.Server
	id      string
	address netip.AddrPort
}

func (l registration) publish(draining bool) { l.put(l.server.Entry(l.address.String(), draining)) }
func (l registration) remove()               { l.put(nil) }

// put writes the entry; nil removes it. A failure is only logged, since the store may be
// unavailable in a test.
func (l registration) put(value []byte) {
	c, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()

	if err := standin.PutServer(c, l.store, l.id, value); err != nil {
		logrus.WithFields(logrus.Fields{"event": "listFailed", "id": l.id, "error": err}).Warn()
	}
}
