// Package driver is a load generator: it sends a bounded load of multi-turn chats
// and of non-repeatable bookings to a running fleet and validates every answer.
package driver

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// ErrAddress means that no address or no customer is given, or that an address is
// not a loopback address.
var ErrAddress = errors.New("load is sent to loopback addresses only")

// Settings configures the load. No call starts after Duration; Run then waits for
// the calls in flight.
type Settings struct {
	Addresses []netip.AddrPort
	Duration  time.Duration
	// Rate is the number of calls started per second.
	Rate int
	// Chats is the number of concurrent multi-turn chats.
	Chats     int
	Customers []string
	Model     string
	// Tokens is the maximum number of tokens requested for an answer.
	Tokens int
	// BookingFraction is the fraction of the calls that are bookings, from 0 to 1.
	BookingFraction float64
	// DuplicateFraction is the fraction of the bookings that are sent twice concurrently,
	// with one idempotency key, through different routers.
	DuplicateFraction float64
	Deadline          time.Duration
	Seed              uint64
	// Progress receives a progress line per second; nil disables it.
	Progress io.Writer
}

// Driver sends the load. It runs only once.
type Driver struct {
	settings Settings
	client   *http.Client
	result   *Result
	inFlight *inFlight

	mu     sync.Mutex
	random *rand.Rand
	chats  []*chat
	next   int
	// unready holds the routers that failed the last readiness check.
	unready map[netip.AddrPort]bool
}

const (
	maxIdleConnections = 256
	dialTimeout        = time.Second
)

// New returns a Driver. It fails with ErrAddress if the addresses or customers are
// invalid.
func New(s Settings) (*Driver, error) {
	if len(s.Addresses) == 0 || len(s.Customers) == 0 {
		return nil, errors.Mark(errors.New("no address or no customer"), ErrAddress)
	}

	for _, a := range s.Addresses {
		if !a.Addr().IsLoopback() {
			return nil, errors.Mark(errors.Newf("%s", a), ErrAddress)
		}
	}

	d := &Driver{
		settings: s,
		result:   newResult(),
		inFlight: newInFlight(),
		unready:  make(map[netip.AddrPort]bool),
		random:   rand.New(rand.NewPCG(s.Seed, 0)), //nolint:gosec // Reproducible load.
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
		}},
	}

	for i := range s.Chats {
		d.chats = append(d.chats, newChat(i, s))
	}

	return d, nil
}

// Run sends the load and returns the result. When c ends, calls in flight are
// cancelled.
func (d *Driver) Run(c context.Context) *Result {
	x, stop := context.WithTimeout(c, d.settings.Duration)
	defer stop()

	var g sync.WaitGroup

	g.Go(func() { d.monitor(x) })
	g.Go(func() { d.pollReadiness(x) })

	l := rate.NewLimiter(rate.Limit(d.settings.Rate), 1)

	for l.Wait(x) == nil {
		g.Go(func() { d.sendNext(c) })
	}

	<-x.Done()
	g.Wait()
	d.client.CloseIdleConnections()
	d.result.finish(d.inFlight)

	return d.result
}

// sendNext sends one booking or chat turn, including its retries.
func (d *Driver) sendNext(c context.Context) {
	if d.chance(d.settings.BookingFraction) {
		d.sendBooking(c)

		return
	}

	if h := d.acquireChat(); h != nil {
		d.sendTurn(c, h)
		d.releaseChat(h)
	}
}

func (d *Driver) chance(p float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.random.Float64() < p
}

func (d *Driver) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.random.IntN(n)
}

// acquireChat removes and returns a random chat that has no call in progress. It
// returns nil if there is none.
func (d *Driver) acquireChat() *chat {
	d.mu.Lock()
	defer d.mu.Unlock()

	if len(d.chats) == 0 {
		return nil
	}

	i := d.random.IntN(len(d.chats))
	h := d.chats[i]
	d.chats[i] = d.chats[len(d.chats)-1]
	d.chats = d.chats[:len(d.chats)-1]

	return h
}

func (d *Driver) releaseChat(h *chat) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.chats = append(d.chats, h)
}

// nextAddress returns the address of the next ready router in round-robin order, as
// a load balancer would. If no router is ready, it returns the next one regardless.
func (d *Driver) nextAddress() netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()

	l := d.settings.Addresses

	for range l {
		d.next++

		if a := l[d.next%len(l)]; !d.unready[a] {
			return a
		}
	}

	return l[d.next%len(l)]
}

// pollReadiness checks the readiness of all routers periodically, as the platform's
// load balancer does, until the context ends.
func (d *Driver) pollReadiness(c context.Context) {
	const pollInterval = 200 * time.Millisecond

	t := time.NewTicker(pollInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			for _, a := range d.settings.Addresses {
				d.checkReady(c, a)
			}
		case <-c.Done():
			return
		}
	}
}

func (d *Driver) checkReady(c context.Context, a netip.AddrPort) {
	q, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+a.String()+"/readyz", nil)
	if err != nil {
		return
	}

	r, err := d.client.Do(q)
	if err == nil {
		_ = r.Body.Close()
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.unready[a] = err != nil || r.StatusCode != http.StatusOK
}

// monitor samples the load skew and writes progress lines until the context ends.
func (d *Driver) monitor(c context.Context) {
	const sampleInterval = 100 * time.Millisecond

	t := time.NewTicker(sampleInterval)
	defer t.Stop()

	n := 0

	for {
		select {
		case <-t.C:
			d.inFlight.sample()

			n++

			if w := d.settings.Progress; w != nil && n%10 == 0 {
				_, _ = fmt.Fprintln(w, d.result.progressLine())
			}
		case <-c.Done():
			return
		}
	}
}
