package acceptor

import (
	"math"
	"syscall"

	"github.com/auburntray/auburntray/internal/shedder"
)

// Descriptors is the number of descriptors that a process may have open. Its methods divide them among the listeners.
type Descriptors int

const (
	// defaultDescriptors applies if the limit of the process can't be read.
	defaultDescriptors = 1024

	// Connections at the addresses other than the callers' may use these parts of the descriptors, and need no more than a few. From each
	// other instance there may be one for messages.
	peersDivisor     = 4
	delegatesDivisor = 16
	checksDivisor    = 16
	maxChecks        = 64
	metricsDivisor   = 32
	maxMetrics       = 16
	minConnections   = 2

	// spareDivisor is the part that is left to files and to connections to other instances and the store.
	spareDivisor = 8
	// connectionsDivisor is the part of the memory for calls that callers' connections may take.
	connectionsDivisor = 2
)

// ProcessDescriptors returns the limit of the process, or most if that is lower; zero stands for no such bound.
func ProcessDescriptors(most int) Descriptors {
	n := defaultDescriptors

	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err == nil {
		n = int(min(l.Cur, math.MaxInt32))
	}

	if most > 0 {
		n = min(n, most)
	}

	return Descriptors(n)
}

// Peers returns how many connections for messages of other instances may be open.
func (d Descriptors) Peers() int { return max(int(d)/peersDivisor, minConnections) }

// Delegates returns how many connections for calls of other instances may be open.
func (d Descriptors) Delegates() int { return max(int(d)/delegatesDivisor, minConnections) }

// Checks returns how many connections for readiness checks may be open.
func (d Descriptors) Checks() int { return max(min(int(d)/checksDivisor, maxChecks), minConnections) }

// Metrics returns how many connections for metrics may be open.
func (d Descriptors) Metrics() int {
	return max(min(int(d)/metricsDivisor, maxMetrics), minConnections)
}

// Callers returns how many connections of callers may be open, given the number of connections at the other addresses and the memory for
// calls, in bytes. A call may need a second connection, to its target.
func (d Descriptors) Callers(others int, memory int64) int {
	n := max((int(d)-int(d)/spareDivisor-others)/2, 1)
	m := max(memory/connectionsDivisor/connectionBytes, 1)

	return int(min(int64(min(shedder.Bound(int(d)), n)), m))
}
