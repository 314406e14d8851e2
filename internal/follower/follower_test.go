package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/differ"
	"github.com/auburntray/auburntray/internal/follower"
	"github.com/auburntray/auburntray/internal/parser"
	"github.com/auburntray/auburntray/internal/recorder"
	"github.com/auburntray/auburntray/internal/reducer"
	"github.com/auburntray/auburntray/internal/standin/platform"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

func newLog(t *testing.T, retention time.Duration) (*platform.Platform, *recorder.Recorder) {
	t.Helper()
	logrus.SetLevel(logrus.FatalLevel)

	p := platform.New(platform.Settings{Retention: retention, AppendsPerSecond: 10000})
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.CloseClientConnections)

	r, stop := recorder.New(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), "dc")
	t.Cleanup(stop)

	return p, r
}

func publish(t *testing.T, r *recorder.Recorder, base uint64, weight float64) {
	t.Helper()

	b, err := json.Marshal(reducer.Record{ID: fmt.Sprintf("%d-%v", base, weight), Base: base, Change: &differ.Change{
		SetCustomers: map[string]parser.Customer{"c": {Weight: weight}},
	}})
	if err != nil {
		t.Fatal(err)
	}

	if _, err := r.Append(t.Context(), follower.Stream, [][]byte{b}); err != nil {
		t.Fatal(err)
	}
}

// start runs a follower, which writes checkpoints if writes is set. It counts
// how often the revision decreased.
func start(t *testing.T, r *recorder.Recorder, writes bool) (*follower.Follower, *atomic.Int64) {
	t.Helper()

	var reverts atomic.Int64

	last := uint64(0)
	f := follower.New(r, nil, func(x *follower.Config) {
		if x.State.Revision < last {
			reverts.Add(1)
		}

		last = x.State.Revision
	}, func() bool { return writes }, 300*time.Millisecond)

	c, stop := context.WithCancel(t.Context())
	d := make(chan struct{})

	go func() {
		defer close(d)
		f.Run(c)
	}()

	t.Cleanup(func() { stop(); <-d })

	return f, &reverts
}

// Guards against an outage of the log that drops or reverts the current configuration, or
// hides the changes made after it.
func TestOutageKeepsConfiguration(t *testing.T) {
	i := is.New(t)
	p, r := newLog(t, time.Hour)
	publish(t, r, 0, 1)

	f, reverts := start(t, r, false)
	waiter.Until(t, "the revision", func() bool { return f.Revision() == 1 })

	p.SetFaults(platform.Faults{Outage: true})
	time.Sleep(100 * time.Millisecond)
	i.Equal(f.Revision(), uint64(1))

	p.SetFaults(platform.Faults{})
	publish(t, r, 1, 2)
	waiter.Until(t, "the revision", func() bool { return f.Revision() == 2 })
	i.Equal(f.Config().State.Document.Customers["c"].Weight, 2.0)
	i.Equal(reverts.Load(), int64(0))
}

// Guards against an instance that remains without a configuration because it starts after the
// log dropped the changes: it must restore the checkpoint that another instance wrote.
func TestLateStartRestoresCheckpoint(t *testing.T) {
	i := is.New(t)
	_, r := newLog(t, 2*time.Second)
	publish(t, r, 0, 1)

	f, _ := start(t, r, true)
	waiter.Until(t, "the revision", func() bool { return f.Revision() == 1 })

	publish(t, r, 1, 3)
	waiter.Until(t, "the revision", func() bool { return f.Revision() > 1 })
	waiter.Until(t, "the log to drop the changes", func() bool {
		b, err := r.Read(t.Context(), follower.Stream, 0, 0)

		return err == nil && b.Oldest >= f.Revision()
	})

	g, _ := start(t, r, false)
	waiter.Until(t, "the revision", func() bool { return g.Revision() == f.Revision() })
	i.Equal(g.Config().State.Document.Customers["c"].Weight, 3.0)
}

// Guards against an odd record of another writer that ends a router, or hides the changes after it.
func TestOddRecordsHideNoChanges(t *testing.T) {
	const target = `{"id":"x","base":1,"change":{"setTargets":{"t":{"address":%s,"kind":"engine","region":"r","dataCentre":"d","capacity":%s}}}}`

	for name, record := range map[string]string{
		"deeply nested":             strings.Repeat("[", 100_000),
		"deeply nested, closed":     strings.Repeat(`{"change":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		"not UTF-8":                 "\xff\xfe",
		"NUL":                       "\x00",
		"empty":                     "",
		"null":                      "null",
		"array":                     "[]",
		"base beyond float64":       `{"base":1e400,"change":{}}`,
		"base of 2^64-1":            `{"base":18446744073709551615,"change":{}}`,
		"base of 2^64":              `{"base":18446744073709551616,"change":{}}`,
		"checkpoint of 2^64-1":      `{"checkpoint":{"revision":18446744073709551615,"document":{}},"next":18446744073709551615}`,
		"checkpoint of 2^64-1, own": `{"checkpoint":{"revision":18446744073709551615,"document":{}}}`,
		"checkpoint of era 2^63":    `{"checkpoint":{"revision":1,"era":9223372036854775808,"document":{}},"next":1}`,
		"time of another type":      `{"time":5}`,
		"port too large":            fmt.Sprintf(target, `"10.0.0.1:65536"`, "8"),
		"negative port":             fmt.Sprintf(target, `"10.0.0.1:-1"`, "8"),
		"capacity of 2^62":          fmt.Sprintf(target, `"10.0.0.1:80"`, "4611686018427387904"),
		"capacity beyond float64":   fmt.Sprintf(target, `"10.0.0.1:80"`, "1e400"),
		"negative capacity":         fmt.Sprintf(target, `"10.0.0.1:80"`, "-1"),
		"capacity of zero":          fmt.Sprintf(target, `"10.0.0.1:80"`, "0"),
		"weight beyond float64":     `{"id":"x","base":1,"change":{"setCustomers":{"c":{"weight":1e400}}}}`,
		"negative weight":           `{"id":"x","base":1,"change":{"setCustomers":{"c":{"weight":-1}}}}`,
		"load factor of 1e300":      `{"id":"x","base":1,"change":{"limits":{"maxLoadFactor":1e300}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			_, r := newLog(t, time.Hour)
			publish(t, r, 0, 1)

			f, reverts := start(t, r, false)
			waiter.Until(t, "the revision", func() bool { return f.Revision() == 1 })

			_, err := r.Append(t.Context(), follower.Stream, [][]byte{[]byte(record)})
			i.NoErr(err)
			publish(t, r, 1, 2)
			waiter.Until(t, "the revision", func() bool { return f.Revision() == 3 })
			i.Equal(f.Config().State.Document.Customers["c"].Weight, 2.0)
			i.Equal(len(f.Config().State.Document.Targets), 0)
			i.Equal(reverts.Load(), int64(0))

			// A router that starts now reads the same.
			g, _ := start(t, r, true)
			waiter.Until(t, "the revision", func() bool { return g.Revision() == 3 })
		})
	}
}
