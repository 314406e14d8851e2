// Package leaser decides who holds the lease on a target.
//
// It folds the leases stream in the order of its offsets, so every reader comes
// to the same holder. Times are the log's own, so routers' clocks need not
// agree. The offset of the record that won a lease is its fencing number.
package leaser

import "time"

// Record asks for a lease.
type Record struct {
	Target   uint32        `json:"target"`
	Holder   uint64        `json:"holder"`
	Lifetime time.Duration `json:"lifetime"`
}

// Lease is a lease as it stands.
type Lease struct {
	Holder uint64
	// Fence is higher for each later lease on a target; zero is no lease.
	Fence uint64
	Ends  time.Time
}

// Leaser holds the leases. It is not safe for concurrent use.
type Leaser struct {
	leases map[uint32]Lease
	next   uint64
}

// New returns a Leaser without leases.
func New() *Leaser {
	return &Leaser{leases: make(map[uint32]Lease)}
}

// Fold takes the record at an offset, which the log appended at a time. It gives
// the lease if the target's last one has ended by then.
func (l *Leaser) Fold(offset uint64, at time.Time, r Record) {
	if offset < l.next {
		return
	}

	l.next = offset + 1

	if r.Lifetime <= 0 || at.Before(l.leases[r.Target].Ends) {
		return
	}

	l.leases[r.Target] = Lease{Holder: r.Holder, Fence: offset + 1, Ends: at.Add(r.Lifetime)}
}

// Get returns the lease on a target at a time by the log's clock; the zero Lease
// when there is none or it has ended.
func (l *Leaser) Get(now time.Time, target uint32) Lease {
	x := l.leases[target]
	if !now.Before(x.Ends) {
		return Lease{}
	}

	return x
}
