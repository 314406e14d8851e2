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

// Relayer decides for the requesters of one stream. It is not safe for concurrent use.
type Relayer struct {
	settings Settings
	// next is the offset up to which the instances in served have the stream.
	next      int64
	served    []netip.AddrPort
	redirects int
	// listed are the instances that were sent the complete list, by data centre, and sent those that were redirected
	// to one of them.
	listed map[string][]netip.AddrPort
	sent   map[netip.AddrPort]bool
	// linkFree is when the link has carried all answers sent so far.
	linkFree time.Time
}

// maxListed bounds the instances of a data centre to which requesters of the complete list are redirected, and maxSent
// the remembered requesters.
const (
	maxListed = 16
	maxSent   = 1024
)

// New returns a Relayer that has served no requester.
func New(s Settings) *Relayer {
	return &Relayer{settings: s, listed: make(map[string][]netip.AddrPort), sent: make(map[netip.AddrPort]bool)}
}

// Forget forgets which instances have the stream, because a new era of it has begun. The link remains occupied.
func (r *Relayer) Forget() {
	r.next, r.served, r.redirects = 0, nil, 0
	clear(r.listed)
}

// ServeOrRedirect reports whether the requester at address to is to be served here. The answer has the given
// length in bytes and reaches up to the offset next. If the result is false, the returned address is that of
// an instance that has the answer. If must is set, the requester is always served, since other instances wait
// for the data that it receives.
//
// A requester with an invalid address is never a destination of redirects.
func (r *Relayer) ServeOrRedirect(now time.Time, next int64, bytes int, to netip.AddrPort, must bool) (netip.AddrPort, bool) {
	if r.next != next {
		r.next, r.served, r.redirects = next, nil, 0
	}

	if r.linkFree.Before(now) {
		r.linkFree = now
	}

	again := slices.Contains(r.served, to)
	if !must && !again && len(r.served) > 0 && r.linkFree.Sub(now) >= r.settings.MaxBacklog {
		r.redirects++

		return r.served[r.redirects%len(r.served)], false
	}

	if !again && to.IsValid() {
		r.served = append(r.served, to)
	}

	r.linkFree = r.linkFree.Add(time.Duration(float64(bytes) / r.settings.Rate * float64(time.Second)))

	return netip.AddrPort{}, true
}

// ServeOrRedirectList does the same for a requester of the complete list in a data centre, which differs from that of
// this instance if far is set. One that needs the list has just started, so an older list will do, and hundreds may
// start at once. In another data centre one is served, and the others are redirected to it. A requester that comes back
// is served: the instance that it was redirected to may have failed.
func (r *Relayer) ServeOrRedirectList(now time.Time, bytes int, to netip.AddrPort, centre string, far bool) (netip.AddrPort, bool) {
	if r.linkFree.Before(now) {
		r.linkFree = now
	}

	l := r.listed[centre]
	if len(l) > 0 && !r.sent[to] && (far || r.linkFree.Sub(now) >= r.settings.MaxBacklog) {
		if len(r.sent) >= maxSent {
			clear(r.sent)
		}

		r.sent[to] = true
		r.redirects++

		return l[r.redirects%len(l)], false
	}

	delete(r.sent, to)

	if to.IsValid() && !slices.Contains(l, to) {
		l = append(l, to)
		r.listed[centre] = l[max(0, len(l)-maxListed):]
	}

	r.linkFree = r.linkFree.Add(time.Duration(float64(bytes) / r.settings.Rate * float64(time.Second)))

	return netip.AddrPort{}, true
}
