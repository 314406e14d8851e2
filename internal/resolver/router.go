package resolver

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

// Router holds the settings of a router.
type Router struct {
	Name       string
	Region     string
	DataCentre string
	// Listen is the address for callers, Peer the address for other routers.
	Listen netip.AddrPort
	Peer   netip.AddrPort
	// Debug is the address at which metrics are served; zero means that they are not.
	Debug    netip.AddrPort
	Platform netip.AddrPort
	// Seeds are peers to contact before the platform's list has been read.
	Seeds       []netip.AddrPort
	LogLevel    string
	MaxBody     int
	MaxHeader   int
	MaxInFlight int
	// Memory is the number of bytes that the process may use; zero sets no bound.
	Memory          int
	IdleTimeout     time.Duration
	Deadline        time.Duration
	MaxDeadline     time.Duration
	DrainNotice     time.Duration
	ClaimWindow     time.Duration
	CheckpointEvery time.Duration
	SlotTimeout     time.Duration
	PlacementBytes  int
	CallerCert      string
	CallerKey       string
	TargetCA        string
	PeerCert        string
	PeerKey         string
	PeerCA          string
	TargetTLS       bool
	TraceEndpoint   string
	TraceSample     float64
}

// Read reads the settings from flags and the environment and validates them, both each
// by itself and together. It fails with ErrSetting.
func (r *Router) Read(f *pflag.FlagSet) error {
	if err := r.Table().Read(f); err != nil {
		return err
	}

	if r.ClaimWindow <= r.MaxDeadline {
		return errors.Mark(errors.Newf("--claim-window is %q but must be more than --max-deadline, which is %q",
			r.ClaimWindow, r.MaxDeadline), ErrSetting)
	}

	if (r.CallerCert == "") != (r.CallerKey == "") {
		return errors.Mark(errors.New("--caller-cert and --caller-key must be given together"), ErrSetting)
	}

	if n := countSet(r.PeerCert, r.PeerKey, r.PeerCA); n != 0 && n != 3 {
		return errors.Mark(errors.New("--peer-cert, --peer-key and --peer-ca must be given together"), ErrSetting)
	}

	return nil
}

// countSet returns the number of texts that are not empty.
func countSet(l ...string) int {
	n := 0

	for _, x := range l {
		if x != "" {
			n++
		}
	}

	return n
}

// Table returns the table of a router's settings. Its readers store their values in r.
func (r *Router) Table() Table {
	return Table{
		{"name", "router", "1 to 63 bytes", "name of this instance in logs and the platform's list", Text(&r.Name)},
		{"region", "region-1", "1 to 63 bytes", "region of this instance", Text(&r.Region)},
		{"data-centre", "dc-1", "1 to 63 bytes", "data centre of this instance", Text(&r.DataCentre)},
		{"listen", "127.0.0.1:8080", "an IP number and a port", "address for callers", Address(&r.Listen, false)},
		{"peer", "127.0.0.1:8090", "an IP number and a port that other routers reach", "address for other routers", Address(&r.Peer, false)},
		{"debug", "", "an IP number and a port, or empty", "address for /debug/vars", Address(&r.Debug, true)},
		{"platform", "127.0.0.1:8070", "an IP number and a port", "address of the platform's log and list", Address(&r.Platform, false)},
		{"seeds", "", "addresses with commas between them, or empty", "peers to try first", Addresses(&r.Seeds)},
		{"log-level", "info", "debug, info, warning or error", "least level of logged events", OneOf(&r.LogLevel, "debug", "info", "warning", "error")},
		{"max-body", "8388608", "1024 to 134217728 bytes", "largest request body", Int(&r.MaxBody, 1<<10, 128<<20)},
		{"max-header", "65536", "1024 to 1048576 bytes", "largest request header", Int(&r.MaxHeader, 1<<10, 1<<20)},
		{"max-in-flight", "4096", "1 to 1000000", "requests in progress here before new ones are refused", Int(&r.MaxInFlight, 1, 1000000)},
		{"memory", "0", "0 to 1099511627776 bytes; 0 sets no bound", "memory that the process may use; requests beyond it are refused", Int(&r.Memory, 0, 1<<40)},
		{"idle-timeout", "90s", "1s to 1h", "how long an idle connection is kept", Duration(&r.IdleTimeout, time.Second, time.Hour)},
		{"deadline", "120s", "1s to 1h", "deadline of a request that names none", Duration(&r.Deadline, time.Second, time.Hour)},
		{"max-deadline", "600s", "1s to 1h", "longest deadline that a request may name", Duration(&r.MaxDeadline, time.Second, time.Hour)},
		{"drain-notice", "3s", "0s to 5m", "how long a planned stop waits for the balancer to notice", Duration(&r.DrainNotice, 0, 5*time.Minute)},
		{"claim-window", "30m", "1m to 24h, less than the log's retention", "how long an idempotency key is remembered", Duration(&r.ClaimWindow, time.Minute, 24*time.Hour)},
		{"checkpoint-every", "10m", "100ms to 24h, a small part of the log's retention", "how often the configuration in force is written to the log again", Duration(&r.CheckpointEvery, 100*time.Millisecond, 24*time.Hour)},
		{"ask-timeout", "50ms", "1ms to 5s", "how long a cell's home may take to grant a place", Duration(&r.SlotTimeout, time.Millisecond, 5*time.Second)},
		{"place-bytes", "33554432", "4096 to 1073741824 bytes", "memory for the places of one cell's chats", Int(&r.PlacementBytes, 4096, 1<<30)},
		{"caller-cert", "", "a PEM file, or empty for plain HTTP", "certificate shown to callers", File(&r.CallerCert)},
		{"caller-key", "", "a PEM file, or empty for plain HTTP", "key of that certificate", File(&r.CallerKey)},
		{"peer-cert", "", "a PEM file, or empty for plain TCP", "certificate shown to other routers, issued to \"auburntray\"", File(&r.PeerCert)},
		{"peer-key", "", "a PEM file, or empty for plain TCP", "key of that certificate", File(&r.PeerKey)},
		{"peer-ca", "", "a PEM file, or empty for plain TCP", "authorities of the other routers' certificates", File(&r.PeerCA)},
		{"target-tls", "false", "true or false", "speak TLS to targets", Bool(&r.TargetTLS)},
		{"target-ca", "", "a PEM file, or empty for the system's", "authorities of the targets' certificates", File(&r.TargetCA)},
		{"trace-endpoint", "", "a host and port that takes OTLP over HTTP, or empty", "where traces go", AnyText(&r.TraceEndpoint)},
		{"trace-sample", "0.01", "0 to 1", "part of the requests that are traced", Float(&r.TraceSample, 0, 1)},
	}
}
