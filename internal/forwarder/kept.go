package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/enroller"
)

const (
	// idleTimeout is how long a connection is kept. Targets close theirs after
	// some seconds, and a call that meets the close is lost.
	idleTimeout = 2 * time.Second
	// idlePerTarget bounds the connections that are kept to a target. One takes two
	// buffers of 4 KiB and two goroutines.
	idlePerTarget = 32
)

// kept keeps connections to targets, those of each process apart. It is safe for concurrent
// use.
//
// A target that starts again under its ID may have its address again, and no end of the old
// connections need have come through: after a crash of its machine the first sign is that a
// call on one of them gets no answer. A process has none of those of the one before.
type kept struct {
	dial dial

	mu         sync.Mutex
	transports map[enroller.Key]*http.Transport
}

func newKept(d dial) *kept {
	return &kept{dial: d, transports: make(map[enroller.Key]*http.Transport)}
}

// to returns the transport with the connections that are kept to a target's process. A call
// whose target was chosen just before its process was forgotten begins a transport anew; what
// is kept by that ends after idleTimeout, as do connections to an address that a process has
// moved from.
func (k *kept) to(t *enroller.Target) *http.Transport {
	k.mu.Lock()
	defer k.mu.Unlock()

	r, ok := k.transports[t.Key()]
	if !ok {
		r = &http.Transport{
			DialContext: k.dial, DisableCompression: true, IdleConnTimeout: idleTimeout,
			MaxIdleConnsPerHost: idlePerTarget, ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer,
		}
		k.transports[t.Key()] = r
	}

	return r
}

// forget closes the connections to processes that are not on a roster: the idle ones now,
// those that calls use when these are done.
func (k *kept) forget(r *enroller.Roster) {
	k.mu.Lock()
	defer k.mu.Unlock()

	for p, t := range k.transports {
		if _, ok := r.Processes[p]; !ok {
			t.CloseIdleConnections() // The transport closes the others as they become idle.
			delete(k.transports, p)
		}
	}
}
