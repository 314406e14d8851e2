package gatekeeper

import (
	"net/netip"
	"time"

	"github.com/auburntray/auburntray/internal/budgeter"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/forwarder"
	"github.com/auburntray/auburntray/internal/throttler"
	"github.com/auburntray/auburntray/internal/warner"
	"github.com/auburntray/auburntray/internal/watcher"
)

// Settings are those of one instance.
type Settings struct {
	Name       string
	DataCentre string
	// Callers is where calls come in, Ready where the balancer asks whether to
	// send any.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	// Peers is where other instances call.
	Peers  netip.AddrPort
	Region string
	// Regions are the regions of data centres, by name.
	Regions map[string]string
	// MostLoad is the multiple of the mean load of its group that a target may have; zero stands for
	// twice.
	MostLoad float64
	// Within is the time within which a change of the configuration or of the targets must be in force
	// at all instances; zero stands for DefaultWithin. The waits of reads follow from it.
	Within time.Duration
	// Link is what the instance's link carries, in bytes a second; zero stands for DefaultLink.
	Link float64
	// Metrics is where counts are served; zero serves them to nobody.
	Metrics netip.AddrPort

	Tunables
}

// DefaultWithin is the time within which changes are in force where nobody says. withinLeast and
// withinMost bound it: reads take their time, and callers of an older configuration do not wait.
const (
	DefaultWithin = 2 * time.Second
	withinLeast   = time.Second
	withinMost    = 4 * time.Second
)

// DefaultLink is what a link carries where nobody says, in bytes a second: 10 Mbit/s.
const DefaultLink = 1.25e6

func (s Settings) link() float64 {
	if s.Link == 0 {
		return DefaultLink
	}

	return s.Link
}

func (s Settings) within() time.Duration {
	if s.Within == 0 {
		return DefaultWithin
	}

	return min(max(s.Within, withinLeast), withinMost)
}

// Tunables are the settings that may change while an instance runs.
type Tunables struct {
	// Seeds are where a few of the other instances may be found.
	Seeds []netip.AddrPort
	// Stop is how long a planned stop may take.
	Stop time.Duration
	// Retries bounds the repeats of all instances together.
	Retries budgeter.Settings
	// Cold bounds the calls of all instances at targets that are cold.
	Cold throttler.Settings
}

// World is what surrounds a gateway: where its catalog and targets come from, and
// how callers and targets speak.
type World struct {
	Dialect forwarder.Dialect
	// Config is the stream with the configuration, under ConfigKey.
	Config       watcher.Source
	ConfigKey    string
	DecodeConfig func([]byte) (cataloger.Document, error)
	// DecodeEvacuation returns the data centre that a record of Config evacuates, and false when
	// it is about none; no value means that the evacuation is over. The error says what of the
	// record can't be read.
	DecodeEvacuation func(key string, b []byte) (string, bool, error)
	// Targets is the stream with an entry for each target. The error of an entry that names one all
	// the same is marked watcher.ErrDoubt.
	Targets      watcher.Source
	DecodeTarget func(key string, b []byte) (enroller.Target, error)
	// Held keeps the calls that are held back; nil keeps them nowhere.
	Held warner.Shelf
	// ReadyPath is where the balancer asks.
	ReadyPath string
}
