package gatekeeper_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/gatekeeper"
	"github.com/auburntray/auburntray/internal/standin/disconnector"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

// linkedInstance is an instance with links of its own.
type linkedInstance struct {
	*fixture

	links *disconnector.Links
}

// addresses counts the addresses that ownAddress has returned.
var addresses atomic.Uint32

// ownAddress returns a loopback address that nothing else uses, unlike a free port of 127.0.0.1, which a connection may
// take before an instance listens on it.
func ownAddress(port uint16) netip.AddrPort {
	n := addresses.Add(1)

	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + os.Getpid()%128), byte(os.Getpid() / 128), byte(n)}), port)
}

// startLinked starts four instances in two data centres before six targets of two groups, and waits until they
// serve and know each other.
func startLinked(t *testing.T) []*linkedInstance {
	t.Helper()

	const instances = 4

	config, targets := &stream{}, &stream{}
	seed := ownAddress(7203)

	var o []*linkedInstance

	for i := range instances {
		l := disconnector.New()
		s := startWith(t, func(s *gatekeeper.Settings, w *gatekeeper.Environment) {
			s.Name, s.DataCentre = "front-"+strconv.Itoa(i), "dc"+strconv.Itoa(i/2)
			s.Seeds = []netip.AddrPort{seed}
			s.Callers, s.Ready, s.Peers = ownAddress(7201), ownAddress(7202), ownAddress(7203)
			w.Config, w.Targets, w.Dialer = config, targets, l

			if i == 0 {
				s.Peers = seed
			}
		})
		o = append(o, &linkedInstance{fixture: s, links: l})
	}

	for i := range 6 {
		x := target(t, serveEvents)
		x.Group, x.DataCentre, x.Slots = []string{"g", "h"}[i%2], "dc"+strconv.Itoa(i/3), 64
		targets.put(t, "t"+strconv.Itoa(i), x)
	}

	t.Cleanup(func() {
		var g sync.WaitGroup
		for _, x := range o {
			g.Go(func() { _ = x.app.Stop(context.Background()) })
		}

		g.Wait()
	})

	config.put(t, "config", linkedCatalog())

	for _, x := range o {
		waiter.Until(t, "status 200", status(t, x.callers+"/once/", http.StatusOK))
		waiter.Until(t, "status 200", status(t, x.callers+"/stream/", http.StatusOK))
	}

	time.Sleep(2 * time.Second) // Two rounds of gossip, by which all know all.

	return o
}

// serveEvents answers a call with one event.
func serveEvents(w http.ResponseWriter) {
	time.Sleep(2 * time.Millisecond)

	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
}

// linkedCatalog returns a catalog with a rule of each kind: once and again for one group, stream for another.
func linkedCatalog() cataloger.Document {
	d := catalog(1, []string{"k"}, "/once/", "/again/", "/stream/")
	d.Groups = append(d.Groups, cataloger.Group{Name: "h"})

	for i := range d.Rules {
		d.Rules[i].Latency, d.Rules[i].Attempts = 300*time.Millisecond, 2
	}

	d.Rules[1].Kind = cataloger.Idempotent
	d.Rules[2].Kind, d.Rules[2].Resumable, d.Rules[2].MaxEventGap = cataloger.Stream, true, 100*time.Millisecond
	d.Rules[2].Shares = []cataloger.Share{{Group: "h", Weight: 1}}

	return d
}

// tally counts first tries. Those that were not served are counted by their answers.
type tally struct {
	sent, served int
	failed       map[string]int
}

// firstTries sends calls of all kinds to an instance, on connections that are kept and on new ones, for the given
// time, and counts them. Calls follow each other at once, so that connections to targets are reused.
func firstTries(t *testing.T, x *linkedInstance, d time.Duration) tally {
	t.Helper()

	kept := &http.Transport{}
	defer kept.CloseIdleConnections()

	o := tally{failed: make(map[string]int)}

	for e, n := time.Now().Add(d), 0; time.Now().Before(e); n++ {
		r := kept
		if n%2 == 0 {
			r = &http.Transport{DisableKeepAlives: true}
		}

		p := []string{"/once/", "/again/", "/stream/"}[n%3]
		k, b, _ := getBy(t, r, x.callers+p)
		o.sent++

		if k == http.StatusOK {
			o.served++
		} else {
			o.failed[fmt.Sprintf("%s: %d %s", p, k, b)]++
		}

		time.Sleep(10 * time.Millisecond)
	}

	return o
}

// Guards against first tries that are refused at an instance which has lost its links to the targets, while other
// instances, which it can reach, serve the same calls.
func TestFirstTriesAtInstancesThatLostTheirLinks(t *testing.T) {
	const (
		// stable is the time from the loss of links from which first tries must be served.
		stable = 3 * time.Second
		// maxFailed is the largest fraction of them that may fail.
		maxFailed = 0.02
	)

	for name, x := range map[string]struct {
		loss disconnector.Loss
		lost []int
	}{
		"silent, one instance":                  {disconnector.Silent, []int{0}},
		"silent, all of a data centre":          {disconnector.Silent, []int{0, 1}},
		"silent, all but one":                   {disconnector.Silent, []int{0, 1, 2}},
		"reset, one instance":                   {disconnector.Reset, []int{1}},
		"reset, all of a data centre":           {disconnector.Reset, []int{2, 3}},
		"reset, all but one":                    {disconnector.Reset, []int{0, 2, 3}},
		"new connections, one instance":         {disconnector.NewRefused, []int{3}},
		"new connections, all of a data centre": {disconnector.NewRefused, []int{0, 1}},
		"new connections, all but one":          {disconnector.NewRefused, []int{1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			is := is.New(t)
			l := startLinked(t)

			for _, i := range x.lost {
				l[i].links.Lose(x.loss)
			}

			time.Sleep(stable)

			tallies := make([]tally, len(l))

			var g sync.WaitGroup
			for i, y := range l {
				g.Go(func() { tallies[i] = firstTries(t, y, time.Second) })
			}

			g.Wait()

			for i, y := range tallies {
				t.Logf("instance %d: %d of %d served; not served: %v", i, y.served, y.sent, y.failed)
				is.True(float64(y.sent-y.served) <= maxFailed*float64(y.sent))
			}

			for _, i := range x.lost {
				l[i].links.Lose(disconnector.None)
			}

			time.Sleep(stable)

			for _, y := range l {
				o := firstTries(t, y, time.Second/2)
				is.True(float64(o.sent-o.served) <= maxFailed*float64(o.sent)) // Served again by links of its own.
			}
		})
	}
}
