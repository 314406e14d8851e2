package gatekeeper

import (
	"net"
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/binder"
	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/replicator"
	"github.com/auburntray/auburntray/internal/throttler"
	"github.com/auburntray/auburntray/internal/watcher"
)

// Settings configures one instance.
type Settings struct {
	Name       string
	DataCentre string
	// Callers is the address at which calls are served, and Ready the address at which the balancer
	// checks readiness.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	// Peers is the address for messages from other instances.
	Peers netip.AddrPort
	// InternalPorts are the first and the last port that are free for other connections between instances, at the IP
	// address of Peers; zero means any.
	InternalPorts [2]uint16
	Region        string
	// Regions maps the names of data centres to their regions.
	Regions map[string]string
	// MaxFactor bounds the load of a target: it may be at most MaxFactor times the mean load of the
	// target's group. Zero means 2.
	MaxFactor float64
	// ApplyWithin is the time within which a change of the configuration or the targets must be in force
	// at all instances; zero means DefaultApplyWithin. The wait times of reads are derived from it.
	ApplyWithin time.Duration
	// LinkRate is the bandwidth of the instance's link, in bytes per second; zero means DefaultLinkRate.
	LinkRate float64
	// MaxDescriptors is the number of descriptors that the process may have open; zero means the limit of the process.
	MaxDescriptors int
	// StoreWrites is how many writes a second the store accepts from all instances together; zero means
	// binder.DefaultWritesPerSecond.
	StoreWrites float64
	// Metrics is the address at which metrics are served; zero disables them.
	Metrics netip.AddrPort

	Tunables
}

// DefaultApplyWithin is the default of Settings.ApplyWithin. The setting is clamped to the range from
// minWithin to maxWithin: reads take time, and callers must not be served by an outdated
// configuration for long.
const (
	DefaultApplyWithin = 2 * time.Second
	minWithin          = time.Second
	maxWithin          = 4 * time.Second
)

// DefaultLinkRate is the default bandwidth of a link in bytes per second, 10 Mbit/s.
const DefaultLinkRate = 1.25e6

func (s Settings) linkRate() float64 {
	if s.LinkRate == 0 {
		return DefaultLinkRate
	}

	return s.LinkRate
}

func (s Settings) applyWithin() time.Duration {
	if s.ApplyWithin == 0 {
		return DefaultApplyWithin
	}

	return min(max(s.ApplyWithin, minWithin), maxWithin)
}

// Tunables are the settings that may change while an instance runs.
type Tunables struct {
	// Seeds are the addresses of a few other instances, used to join them.
	Seeds []netip.AddrPort
	// StopTimeout is the time limit of a planned stop.
	StopTimeout time.Duration
	// Retries limits the retries of all instances together.
	Retries budgeter.Settings
	// Memory is the number of bytes that the process may use; zero sets no bound.
	Memory int64
	// Cold limits the calls of all instances to cold targets.
	Cold throttler.Settings
}

// Environment describes what a gateway depends on: the sources of its catalog and targets, and the
// protocol of callers and targets.
type Environment struct {
	Dialect forwarder.Dialect
	// Config is the stream that contains the configuration under ConfigKey.
	Config       watcher.Source
	ConfigKey    string
	DecodeConfig func([]byte) (cataloger.Document, error)
	// DecodeEvacuation returns the data centre that a record of Config evacuates, and false when the
	// record is not an evacuation; an empty value ends the evacuation. The error describes the part
	// of the record that can't be decoded.
	DecodeEvacuation func(key string, b []byte) (string, bool, error)
	// Targets is the stream with an entry for each target. If an invalid entry still names a target,
	// DecodeTarget marks its error with watcher.ErrPartial.
	Targets      watcher.Source
	DecodeTarget func(key string, b []byte) (discoverer.Target, error)
	// Quarantine stores the records of quarantined calls; nil stores none.
	Quarantine replicator.Store
	// Streams keeps the software versions that began streams; nil keeps none.
	Streams binder.Log
	// ReadyPath is the path of the readiness checks.
	ReadyPath string
	// Dialer connects to targets; nil means a net.Dialer.
	Dialer forwarder.Dialer
}

// dialer returns the dialer of connections to targets.
func (w Environment) dialer() forwarder.Dialer {
	if w.Dialer == nil {
		return &net.Dialer{}
	}

	return w.Dialer
}
