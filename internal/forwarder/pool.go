package forwarder

import (
	"sync"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/verifier"
)

const (
	// idleTimeout is how long an idle connection is retained. Targets close connections that are
	// idle for several seconds, and a call sent at that moment is lost.
	idleTimeout = 2 * time.Second
	// idlePerTarget bounds the idle connections to a target. Each takes two buffers of 4 KiB and
	// two goroutines.
	idlePerTarget = 32
)

// connPool reuses connections to targets, separately for each process. It is safe for concurrent
// use.
//
// A target that restarts under its ID may have the same address, and the old connections need not
// have been closed: after a crash of its machine the first sign is that a call on one of them gets
// no answer. A new process therefore never reuses connections of the previous one.
type connPool struct {
	dial dial

	mu         sync.Mutex
	transports map[discoverer.Key]*verifier.Verifier
}

func newConnPool(d dial) *connPool {
	return &connPool{dial: d, transports: make(map[discoverer.Key]*verifier.Verifier)}
}

// transport returns the transport with the pooled connections to a target's process. A call whose
// target was selected just before its process was pruned creates the transport again. The
// connections of that transport are closed after idleTimeout, as are those to an earlier address of
// a process.
func (k *connPool) transport(t *discoverer.Target) *verifier.Verifier {
	k.mu.Lock()
	defer k.mu.Unlock()

	r, ok := k.transports[t.Key()]
	if !ok {
		r = newReused(k.dial)
		k.transports[t.Key()] = r
	}

	return r
}

// closeIdle closes the idle connections to targets. They may have fallen silent for good while new ones are
// established.
func (k *connPool) closeIdle(l []*discoverer.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()

	for _, t := range l {
		if r, ok := k.transports[t.Key()]; ok {
			r.CloseIdleConnections()
		}
	}
}

// prune closes the connections to processes that are not in the registry: idle ones now, those in
// use once their calls are done.
func (k *connPool) prune(r *discoverer.Registry) {
	k.mu.Lock()
	defer k.mu.Unlock()

	for p, t := range k.transports {
		if _, ok := r.Processes[p]; !ok {
			t.CloseIdleConnections() // Those in use are closed as they become idle.
			delete(k.transports, p)
		}
	}
}
