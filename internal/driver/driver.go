// Package driver sends a bounded load of returning chats and of bookings that
// may not be repeated at a running fleet, and checks every answer.
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

// ErrAddress means that the load is aimed at an address that is not this
// machine's own.
var ErrAddress = errors.New("load goes to loopback addresses only")

// Settings says what load is sent. All of it ends after Duration and the
// answers to what was sent by then.
type Settings struct {
	Addresses []netip.AddrPort
	Duration  time.Duration
	// Rate is how many calls start a second.
	Rate int
	// Chats is how many chats return in turn.
	Chats     int
	Customers []string
	Model     string
	// Tokens is the longest answer asked for.
	Tokens int
	// BookingPart is the part of the calls that are bookings, from 0 to 1.
	BookingPart float64
	// RepeatPart is the part of the bookings that are sent twice at once, with
	// one key, through different routers.
	RepeatPart float64
	Deadline   time.Duration
	Seed       uint64
	// Progress takes a line a second; nil shows none.
	Progress io.Writer
}

// Driver sends the load. It is used once.
type Driver struct {
	settings Settings
	client   *http.Client
	result   *Result
	flights  *flights

	mu     sync.Mutex
	random *rand.Rand
	chats  []*chat
	next   int
	// unready are the routers that the balancer leaves out.
	unready map[netip.AddrPort]bool
}

const (
	connections = 256
	dialTimeout = time.Second
)

// New returns a Driver. It fails with ErrAddress.
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
		flights:  newFlights(),
		unready:  make(map[netip.AddrPort]bool),
		random:   rand.New(rand.NewPCG(s.Seed, 0)), //nolint:gosec // Reproducible load.
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: connections,
		}},
	}

	for i := range s.Chats {
		d.chats = append(d.chats, newChat(i, s))
	}

	return d, nil
}

// Run sends the load and returns what came of it.
func (d *Driver) Run(c context.Context) *Result {
	x, stop := context.WithTimeout(c, d.settings.Duration)
	defer stop()

	var g sync.WaitGroup

	g.Go(func() { d.watch(x) })
	g.Go(func() { d.balance(x) })

	l := rate.NewLimiter(rate.Limit(d.settings.Rate), 1)

	for l.Wait(x) == nil {
		g.Go(func() { d.one(c) })
	}

	<-x.Done()
	g.Wait()
	d.client.CloseIdleConnections()
	d.result.finish(d.flights)

	return d.result
}

// one sends one call and what it repeats.
func (d *Driver) one(c context.Context) {
	if d.chance(d.settings.BookingPart) {
		d.book(c)

		return
	}

	if h := d.takeChat(); h != nil {
		d.talk(c, h)
		d.returnChat(h)
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

// takeChat takes a random chat that has no call in progress, or none.
func (d *Driver) takeChat() *chat {
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

func (d *Driver) returnChat(h *chat) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.chats = append(d.chats, h)
}

// address returns the address of the next router that is ready, as a balancer
// that goes round would; when none is, of the next.
func (d *Driver) address() netip.AddrPort {
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

// balance asks the routers whether they are ready, as the platform's balancer
// does, until the context ends.
func (d *Driver) balance(c context.Context) {
	const askEvery = 200 * time.Millisecond

	t := time.NewTicker(askEvery)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			for _, a := range d.settings.Addresses {
				d.ask(c, a)
			}
		case <-c.Done():
			return
		}
	}
}

func (d *Driver) ask(c context.Context, a netip.AddrPort) {
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

// watch samples the skew and shows the progress until the context ends.
func (d *Driver) watch(c context.Context) {
	const sampleEvery = 100 * time.Millisecond

	t := time.NewTicker(sampleEvery)
	defer t.Stop()

	n := 0

	for {
		select {
		case <-t.C:
			d.flights.sample()

			n++

			if w := d.settings.Progress; w != nil && n%10 == 0 {
				_, _ = fmt.Fprintln(w, d.result.line())
			}
		case <-c.Done():
			return
		}
	}
}
