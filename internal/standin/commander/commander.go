// Package commander is the command line of the stand-ins.
package commander

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/internal/signaler"
	"github.com/auburntray/auburntray/internal/standin/engine"
	"github.com/auburntray/auburntray/internal/standin/platform"
	"github.com/auburntray/auburntray/internal/standin/service"
)

// ErrListen means that a stand-in can't listen on its address.
var ErrListen = errors.New("the stand-in can't listen")

const (
	stopTimeout   = time.Minute
	headerTimeout = 10 * time.Second
	roleTarget    = "target"
)

// New returns the command line of the stand-ins.
func New() *cobra.Command {
	c := &cobra.Command{
		Use:           "auburntray-standin",
		Short:         "Small stand-ins for what auburntray serves and is served by",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(newPlatform(), newEngine(), newService(), newStore(), newServer())

	return c
}

func newPlatform() *cobra.Command {
	var (
		s platform.Settings
		a netip.AddrPort
	)

	t := resolver.Table{
		{Name: "listen", Default: "127.0.0.1:8070", Allowed: "an IP number and a port", Help: "address of the log and the list", Read: resolver.Address(&a, false)},
		{Name: "retention", Default: "1h", Allowed: "1s to 1000h", Help: "how long records are kept", Read: resolver.Duration(&s.Retention, time.Second, 1000*time.Hour)},
		{Name: "list-lag", Default: "500ms", Allowed: "0s to 1m", Help: "lag of the list of instances", Read: resolver.Duration(&s.ListLag, 0, time.Minute)},
		{Name: "appends", Default: "300", Allowed: "1 to 100000", Help: "appends a second", Read: resolver.Float(&s.AppendsPerSecond, 1, 100000)},
	}

	return command("platform", "Run the platform's log and list", t, func(c context.Context) error {
		return serve(c, a, platform.New(s).Handler(), nil)
	})
}

// target are the settings of a stand-in that is in the platform's list.
type target struct {
	address  netip.AddrPort
	platform netip.AddrPort
	region   string
	centre   string
	name     string
}

func (t *target) table() resolver.Table {
	return resolver.Table{
		{Name: "listen", Default: "127.0.0.1:8100", Allowed: "an IP number and a port", Help: "address of the target", Read: resolver.Address(&t.address, false)},
		{Name: "platform", Default: "", Allowed: "an IP number and a port, or empty", Help: "platform whose list the target is in", Read: resolver.Address(&t.platform, true)},
		{Name: "region", Default: "region-1", Allowed: "1 to 63 bytes", Help: "region of the target", Read: resolver.Text(&t.region)},
		{Name: "data-centre", Default: "dc-1", Allowed: "1 to 63 bytes", Help: "data centre of the target", Read: resolver.Text(&t.centre)},
		{Name: "name", Default: "target", Allowed: "1 to 63 bytes", Help: "name of the target", Read: resolver.Text(&t.name)},
	}
}

// list enters the target into the platform's list, as the platform's own agent
// would. A failure is logged and nothing else: the list may be down.
func (t *target) list(incarnation uint64, leaving, gone bool) {
	if !t.platform.IsValid() {
		return
	}

	r, stop := recorder.New(t.platform, t.centre)
	defer stop()

	c, end := context.WithTimeout(context.Background(), time.Second)
	defer end()

	err := r.Register(c, recorder.Instance{
		Name: t.name, Address: t.address, Role: roleTarget, Region: t.region, DataCentre: t.centre,
		Incarnation: incarnation, Leaving: leaving, Gone: gone,
	})
	if err != nil {
		logrus.WithFields(logrus.Fields{"event": "listFailed", "name": t.name, "error": err}).Warn()
	}
}

func newEngine() *cobra.Command {
	var (
		t target
		s engine.Settings
	)

	l := append(t.table(), resolver.Table{
		{Name: "slots", Default: "8", Allowed: "1 to 10000", Help: "requests run at once", Read: resolver.Int(&s.Slots, 1, 10000)},
		{Name: "cache-tokens", Default: "200000", Allowed: "16 to 100000000", Help: "tokens in the prefix cache", Read: resolver.Int(&s.CacheTokens, 16, 100000000)},
		{Name: "prefill-rate", Default: "20000", Allowed: "0 to 10000000", Help: "prompt tokens a second", Read: resolver.Float(&s.PrefillTokensPerSecond, 0, 1e7)},
		{Name: "token-interval", Default: "10ms", Allowed: "0s to 1m", Help: "time between tokens", Read: resolver.Duration(&s.TokenInterval, 0, time.Minute)},
		{Name: "report-lag", Default: "500ms", Allowed: "0s to 1m", Help: "lag of the load report", Read: resolver.Duration(&s.ReportLag, 0, time.Minute)},
		{Name: "event-lag", Default: "1s", Allowed: "0s to 1m", Help: "lag of cache events", Read: resolver.Duration(&s.EventLag, 0, time.Minute)},
		{Name: "checks-fence", Default: "true", Allowed: "true or false", Help: "refuse orders with an old fencing number", Read: resolver.Bool(&s.ChecksFence)},
	}...)

	return command("engine", "Run a model engine", l, func(c context.Context) error {
		s.Name = t.name

		e, stop, err := engine.New(s)
		if err != nil {
			return err
		}
		defer stop()

		t.list(e.Incarnation(), false, false)
		err = serve(c, t.address, e.Handler(), func() {
			e.Leave()
			t.list(e.Incarnation(), true, false)
		})
		t.list(e.Incarnation(), true, true)

		return err
	})
}

func newService() *cobra.Command {
	var (
		t target
		s service.Settings
	)

	l := append(t.table(), resolver.Table{
		{Name: "latency", Default: "20ms", Allowed: "0s to 1m", Help: "time that a call takes", Read: resolver.Duration(&s.Latency, 0, time.Minute)},
	}...)

	return command("service", "Run a plain service", l, func(c context.Context) error {
		s.Name = t.name
		x := service.New(s)

		t.list(x.Incarnation(), false, false)
		err := serve(c, t.address, x.Handler(), func() {
			x.Leave()
			t.list(x.Incarnation(), true, false)
		})
		t.list(x.Incarnation(), true, true)

		return err
	})
}

func command(use, short string, t resolver.Table, f func(context.Context) error) *cobra.Command {
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := t.Read(c.Flags()); err != nil {
				return err
			}

			return f(c.Context())
		},
	}
	t.AddFlags(c.Flags())

	return c
}

// leaveNotice is how long a stopping target still takes what was on its way
// when it said that it leaves.
const leaveNotice = 3 * time.Second

// serve runs a handler until SIGTERM. Then it says that it leaves, if it can,
// waits for the routers to notice, and ends when the last request has.
func serve(c context.Context, a netip.AddrPort, h http.Handler, leave func()) error {
	y, end := signaler.New(func(s os.Signal, u signaler.Use) {
		logrus.WithFields(logrus.Fields{"event": "signalTaken", "signal": s, "use": u}).Info()
	})
	defer end()

	l, err := net.Listen("tcp", a.String()) //nolint:noctx // Closed by Shutdown.
	if err != nil {
		return errors.Mark(err, ErrListen)
	}

	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	d := make(chan error, 1)

	go func() { d <- s.Serve(l) }()

	logrus.WithFields(logrus.Fields{"event": "started", "listen": a}).Info()

	select {
	case err := <-d:
		return err
	case <-y.Stopping():
	case <-c.Done():
	}

	if leave != nil {
		leave()
		time.Sleep(leaveNotice)
	}

	x, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()

	return s.Shutdown(x)
}
