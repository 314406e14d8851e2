// Package relayer decides which requesters of a long answer an instance serves itself, and which it
// redirects to instances that already have the answer.
//
// It exists for the case that all instances of a data centre wait at one instance for the same change:
// sending every copy over the link of that instance takes longer than the change may take. Each instance
// that was served serves some of the others.
package relayer

import (
	"net/netip"
	"slices"
	"time"
)

// LongBytes is the length in bytes from which an answer counts as long: a narrow-bandwidth link needs over
// ten milliseconds for it.
const LongBytes = 16 << 10

// Settings configures a Relayer.
type Settings struct {
	// Rate is the bandwidth of the instance's link in bytes a second.
	Rate float64
	// MaxBacklog is how long the answers already sent may still occupy the link when another requester is served.
	MaxBacklog time.Duration
}

// Request is a request for a long answer.
type Request struct {
	// Next is the offset up to which the answer reaches, and Bytes its length.
	Next  int64
	Bytes int
	// To is the address of the requester; one with an invalid address is never a destination of redirects. Centre is
	// its data centre, and Far is set if that is another one than that of this instance.
	To     netip.AddrPort
	Centre string
	Far    bool
	// Must is set if the requester is served in any case, since other instances wait for the data that it receives.
	Must bool
	// List is set if the requester has just started and needs the complete list. An older list will do.
	List bool
}

// Relayer decides for the requesters of one stream. It is not safe for concurrent use.
type Relayer struct {
	settings Settings
	// next is the offset up to which the instances in served have the stream, and served and listed are the instances
	// that were sent the newest records and the complete list, by data centre.
	next           int64
	served, listed map[string][]netip.AddrPort
	// redirected are the requesters of the complete list that were redirected.
	redirected map[netip.AddrPort]bool
	redirects  int
	// linkFree is when the link has carried all answers sent so far.
	linkFree time.Time
}

// maxListed bounds the instances of a data centre to which requesters of the complete list are redirected, and
// maxRedirected the remembered requesters.
const (
	maxListed     = 16
	maxRedirected = 1024
)

// New returns a Relayer that has served no requester.
func New(s Settings) *Relayer {
	r := &Relayer{settings: s}
	r.Forget()

	return r
}

// Forget forgets which instances have the stream, because a new era of it has begun. The link remains occupied.
func (r *Relayer) Forget() {
	r.next, r.redirects = 0, 0
	r.served, r.listed = make(map[string][]netip.AddrPort), make(map[string][]netip.AddrPort)
	r.redirected = make(map[netip.AddrPort]bool)
}

// ServeOrRedirect reports whether a requester is to be served here. If the result is false, the returned address is that
// of an instance of its data centre that has the answer.
//
// A requester of this data centre is redirected while the link is occupied. Of another data centre one is served, and
// the others are redirected to it: hundreds of instances that start at once read through a few.
func (r *Relayer) ServeOrRedirect(now time.Time, q Request) (netip.AddrPort, bool) {
	if r.next != q.Next && !q.List {
		r.next, r.served = q.Next, make(map[string][]netip.AddrPort)
	}

	if r.linkFree.Before(now) {
		r.linkFree = now
	}

	l := r.served[q.Centre]
	if q.List {
		l = r.listed[q.Centre]
	}

	again := slices.Contains(l, q.To) || q.List && r.redirected[q.To]
	if !q.Must && !again && len(l) > 0 && (q.Far || r.linkFree.Sub(now) >= r.settings.MaxBacklog) {
		r.redirects++
		r.noteRedirected(q)

		return l[r.redirects%len(l)], false
	}

	delete(r.redirected, q.To)

	if q.To.IsValid() && !slices.Contains(l, q.To) {
		r.noteServed(q, append(l, q.To))
	}

	r.linkFree = r.linkFree.Add(time.Duration(float64(q.Bytes) / r.settings.Rate * float64(time.Second)))

	return netip.AddrPort{}, true
}

// noteRedirected remembers a requester of the complete list. If it comes back, it is served: the instance that it was
// redirected to may have failed.
func (r *Relayer) noteRedirected(q Request) {
	if !q.List {
		return
	}

	if len(r.redirected) >= maxRedirected {
		clear(r.redirected)
	}

	r.redirected[q.To] = true
}

// noteServed sets the instances of the requester's data centre that have its answer.
func (r *Relayer) noteServed(q Request, l []netip.AddrPort) {
	if q.List {
		r.listed[q.Centre] = l[max(0, len(l)-maxListed):]
	} else {
		r.served[q.Centre] = l
	}
}
