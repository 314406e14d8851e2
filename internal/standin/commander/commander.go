// Package commander implements the command line of the stand-ins, which simulate the
// systems around the routers in tests and trials.
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

// ErrListen means that a stand-in cannot listen on its address.
var ErrListen = errors.New("stand-in cannot listen on its address")

const (
	stopTimeout   = time.Minute
	headerTimeout = 10 * time.Second
	roleTarget    = "target"
)

// New returns the command line of the stand-ins.
func New() *cobra.Command {
	c := &cobra.Command{
		Use:           "auburntray-standin",
		Short:         "Stand-ins for the targets and the platform of auburntray, for tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(newPlatformCommand(), newEngineCommand(), newServiceCommand(), newStoreCommand(), newServerCommand())

	return c
}

func newPlatformCommand() *cobra.Command {
	var (
		s platform.Settings
		a netip.AddrPort
	)

	t := resolver.Table{
		{Name: "listen", Default: "127.0.0.1:8070", Allowed: "an IP number and a port", Help: "address of the log service and the list of instances", Read: resolver.Address(&a, false)},
		{Name: "retention", Default: "1h", Allowed: "1s to 1000h", Help: "retention of records", Read: resolver.Duration(&s.Retention, time.Second, 1000*time.Hour)},
		{Name: "list-lag", Default: "500ms", Allowed: "0s to 1m", Help: "delay before a change of the list of instances is visible", Read: resolver.Duration(&s.ListLag, 0, time.Minute)},
		{Name: "appends", Default: "300", Allowed: "1 to 100000", Help: "limit of appends per second", Read: resolver.Float(&s.AppendsPerSecond, 1, 100000)},
	}

	return command("platform", "Run the platform's log service and list of instances", t, func(c context.Context) error {
		return serve(c, a, platform.New(s).Handler(), nil)
	})
}

// target holds the settings of a stand-in that registers in the platform's list of
// instances.
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
		{Name: "platform", Default: "", Allowed: "an IP number and a port, or empty", Help: "platform in whose list the target registers; empty means none", Read: resolver.Address(&t.platform, true)},
		{Name: "region", Default: "region-1", Allowed: "1 to 63 bytes", Help: "region of the target", Read: resolver.Text(&t.region)},
		{Name: "data-centre", Default: "dc-1", Allowed: "1 to 63 bytes", Help: "data centre of the target", Read: resolver.Text(&t.centre)},
		{Name: "name", Default: "target", Allowed: "1 to 63 bytes", Help: "name of the target", Read: resolver.Text(&t.name)},
	}
}

// register writes the target's entry to the platform's list of instances, as the
// platform's own agent would. A failure is only logged, since the platform may be
// unavailable in a test.
func (t *target) register(incarnation uint64, leaving, gone bool) {
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

func newEngineCommand() *cobra.Command {
	var (
		t target
		s engine.Settings
	)

	l := append(t.table(), resolver.Table{
		{Name: "slots", Default: "8", Allowed: "1 to 10000", Help: "requests run concurrently", Read: resolver.Int(&s.Slots, 1, 10000)},
		{Name: "cache-tokens", Default: "200000", Allowed: "16 to 100000000", Help: "tokens in the prefix cache", Read: resolver.Int(&s.CacheTokens, 16, 100000000)},
		{Name: "prefill-rate", Default: "20000", Allowed: "0 to 10000000", Help: "prompt tokens processed per second; 0 means no delay", Read: resolver.Float(&s.PrefillTokensPerSecond, 0, 1e7)},
		{Name: "token-interval", Default: "10ms", Allowed: "0s to 1m", Help: "time between tokens", Read: resolver.Duration(&s.TokenInterval, 0, time.Minute)},
		{Name: "report-lag", Default: "500ms", Allowed: "0s to 1m", Help: "interval between updates of the load report; 0s reports the current load", Read: resolver.Duration(&s.ReportLag, 0, time.Minute)},
		{Name: "event-lag", Default: "1s", Allowed: "0s to 1m", Help: "delay before cache events are visible", Read: resolver.Duration(&s.EventLag, 0, time.Minute)},
		{Name: "checks-fence", Default: "true", Allowed: "true or false", Help: "refuse commands with an old fencing number", Read: resolver.Bool(&s.ChecksFence)},
	}...)

	return command("engine", "Run a model engine", l, func(c context.Context) error {
		s.Name = t.name

		e, stop, err := engine.New(s)
		if err != nil {
			return err
		}
		defer stop()

		t.register(e.Incarnation(), false, false)
		err = serve(c, t.address, e.Handler(), func() {
			e.Leave()
			t.register(e.Incarnation(), true, false)
		})
		t.register(e.Incarnation(), true, true)

		return err
	})
}

func newServiceCommand() *cobra.Command {
	var (
		t target
		s service.Settings
	)

	l := append(t.table(), resolver.Table{
		{Name: "latency", Default: "20ms", Allowed: "0s to 1m", Help: "duration of a call", Read: resolver.Duration(&s.Latency, 0, time.Minute)},
	}...)

	return command("service", "Run a plain service", l, func(c context.Context) error {
		s.Name = t.name
		x := service.New(s)

		t.register(x.Incarnation(), false, false)
		err := serve(c, t.address, x.Handler(), func() {
			x.Leave()
			t.register(x.Incarnation(), true, false)
		})
		t.register(x.Incarnation(), true, true)

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

// leaveGrace is how long a target continues to accept requests after it announced that
// it is leaving, since routers may not have noticed yet.
const leaveGrace = 3 * time.Second

// serve serves HTTP until SIGTERM or until c ends. Then it calls leave, if not nil, and
// waits for leaveGrace; it returns when the last request has completed or after
// stopTimeout. It fails with ErrListen if it cannot listen.
func serve(c context.Context, a netip.AddrPort, h http.Handler, leave func()) error {
	y, end := signaler.New(func(s os.Signal, u signaler.Effect) {
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
		time.Sleep(leaveGrace)
	}

	x, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()

	return s.Shutdown(x)
}
