package commander

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/messenger"
	"github.com/auburntray/auburntray/internal/quarantiner"
	"github.com/auburntray/auburntray/internal/replicator"
)

// soloInstance is the membership of a fleet of one instance.
type soloInstance struct{}

func (soloInstance) Live() []gossiper.Member      { return nil }
func (soloInstance) Self() gossiper.Member        { return gossiper.Member{ID: 1} }
func (soloInstance) Seeds() []netip.AddrPort      { return nil }
func (soloInstance) Neighbors() []gossiper.Member { return nil }

// startInstance starts an instance at which one call is quarantined and another is suspected, and
// returns its address.
func startInstance(t *testing.T) netip.AddrPort {
	t.Helper()

	a, _ := startInstanceWith(t, 0xab)

	return a
}

// startInstanceWith does the same with another quarantined subject, and returns that as well.
func startInstanceWith(t *testing.T, d digester.Digest) (netip.AddrPort, digester.Digest) {
	t.Helper()
	logrus.SetLevel(logrus.PanicLevel)

	m, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, &net.Dialer{}, nil)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(stop)

	w := replicator.New(m, soloInstance{}, nil, quarantiner.DefaultSettings())
	w.Register(m)
	m.Serve()

	for i := range 3 {
		w.RecordCrash([]digester.Digest{d}, discoverer.Name(i))
		time.Sleep(time.Millisecond)
	}

	w.RecordCrash([]digester.Digest{0xcd}, 11)
	w.RecordCrash([]digester.Digest{0xcd}, 12)
	w.RecordCrash([]digester.Digest{0xef}, 13) // A call with one crash is not shown.

	return m.Address(), d
}

// Guards against operators who cannot resolve a complaint that a certain call is refused repeatedly: the
// command shows the quarantined calls with the number of crashes, and releases them.
func TestQuarantine(t *testing.T) {
	const (
		first  = "digest=00000000000000ab kind=call standing=held ends=3 last=0s came=0s triedIn=1m0s\n"
		second = "digest=00000000000000cd kind=call standing=suspected ends=2 last=0s came=0s\n"
	)

	for name, x := range map[string]struct {
		arguments []string
		output    string
		err       error
		// remaining is the list of calls afterwards.
		remaining string
	}{
		"shown":                {nil, first + second, nil, first + second},
		"one released":         {[]string{"--release", "00000000000000ab"}, "digest=00000000000000ab released\n", nil, second},
		"two released":         {[]string{"--release", "00000000000000ab,00000000000000cd"}, "digest=00000000000000ab released\ndigest=00000000000000cd released\n", nil, ""},
		"all released":         {[]string{"--release-all"}, "digest=00000000000000ab released\n", nil, second},
		"unknown call":         {[]string{"--release", "0000000000000001"}, "", ErrNotDone, first + second},
		"invalid digest":       {[]string{"--release", "ab"}, "", ErrUsage, first + second},
		"unreachable instance": {[]string{"--peer", "127.0.0.1:1"}, "", messenger.ErrUnreachable, first + second},
		"invalid address":      {[]string{"--peer", "here"}, "", errAny, first + second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := startInstance(t).String()
			o, err := execute(t, append([]string{"held", "--peer", a}, x.arguments...)...)
			is.Equal(err == nil, x.err == nil)

			if x.err != nil && !errors.Is(x.err, errAny) {
				is.True(errors.Is(err, x.err))
			}

			is.Equal(o, x.output)

			l, err := execute(t, "held", "--peer", a)
			is.NoErr(err)
			is.Equal(l, x.remaining)
		})
	}
}

// Guards against operators who cannot release a part of prompts whose ID a customer names in a complaint.
func TestReleaseOfParts(t *testing.T) {
	i := is.New(t)
	a, d := startInstanceWith(t, digester.OfPart("5c1e07a2"))

	l, err := execute(t, "held", "--peer", a.String())
	i.NoErr(err)
	i.True(strings.Contains(l, "digest="+d.String()+" kind=part standing=held ends=3 "))

	o, err := execute(t, "held", "--peer", a.String(), "--release-parts", "5c1e07a2")
	i.NoErr(err)
	i.Equal(o, "digest="+d.String()+" released\n")

	l, err = execute(t, "held", "--peer", a.String())
	i.NoErr(err)
	i.True(!strings.Contains(l, d.String()))
}

// errAny stands for any error in the table.
var errAny = errors.New("any")

// execute runs a command line and returns its output.
func execute(t *testing.T, arguments ...string) (string, error) {
	t.Helper()

	x, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()

	var o bytes.Buffer

	c := New()
	c.SetArgs(arguments)
	c.SetOut(&o)

	err := c.ExecuteContext(x)

	return strings.TrimLeft(o.String(), " "), err
}
