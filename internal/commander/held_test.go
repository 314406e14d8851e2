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

// alone is an instance without others.
type alone struct{}

func (alone) Live() []gossiper.Member { return nil }
func (alone) Self() gossiper.Member   { return gossiper.Member{ID: 1} }

// held starts an instance at which a call is held back and another is suspected, and returns
// its address.
func held(t *testing.T) netip.AddrPort {
	t.Helper()
	logrus.SetLevel(logrus.PanicLevel)

	m, stop, err := messenger.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, &net.Dialer{}, nil)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(stop)

	w := replicator.New(m, alone{}, nil, quarantiner.DefaultSettings())
	w.Register(m)
	m.Serve()

	for i := range 3 {
		w.RecordCrash(digester.Digest(0xab), discoverer.Name(i))
		time.Sleep(time.Millisecond)
	}

	w.RecordCrash(digester.Digest(0xcd), 1)
	w.RecordCrash(digester.Digest(0xcd), 2)
	w.RecordCrash(digester.Digest(0xef), 1) // One end is nothing to show.

	return m.Address()
}

// An accountant complains that one note is refused again and again. The operator sees which calls
// are held back, and after how many ends of targets, and releases them.
func TestHeld(t *testing.T) {
	const (
		first  = "digest=00000000000000ab standing=held ends=3 last=0s came=0s triedIn=1m0s\n"
		second = "digest=00000000000000cd standing=suspected ends=2 last=0s came=0s\n"
	)

	for name, x := range map[string]struct {
		arguments []string
		output    string
		err       error
		// left is what is shown afterwards.
		left string
	}{
		"shown":             {nil, first + second, nil, first + second},
		"one released":      {[]string{"--release", "00000000000000ab"}, "digest=00000000000000ab released\n", nil, second},
		"two released":      {[]string{"--release", "00000000000000ab,00000000000000cd"}, "digest=00000000000000ab released\ndigest=00000000000000cd released\n", nil, ""},
		"all released":      {[]string{"--release-all"}, "digest=00000000000000ab released\n", nil, second},
		"one that is not":   {[]string{"--release", "0000000000000001"}, "", ErrNotDone, first + second},
		"no digest":         {[]string{"--release", "ab"}, "", ErrUsage, first + second},
		"nobody is there":   {[]string{"--peer", "127.0.0.1:1"}, "", messenger.ErrUnreachable, first + second},
		"no proper address": {[]string{"--peer", "here"}, "", errAny, first + second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := held(t).String()
			o, err := execute(t, append([]string{"held", "--peer", a}, x.arguments...)...)
			is.Equal(err == nil, x.err == nil)

			if x.err != nil && !errors.Is(x.err, errAny) {
				is.True(errors.Is(err, x.err))
			}

			is.Equal(o, x.output)

			l, err := execute(t, "held", "--peer", a)
			is.NoErr(err)
			is.Equal(l, x.left)
		})
	}
}

// errAny is any error.
var errAny = errors.New("any")

// execute runs a command line and returns what it printed.
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
