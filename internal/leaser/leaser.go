// Package leaser determines which router holds the lease on a target.
//
// It applies the records of the leases stream in offset order, so that all readers
// determine the same holder. It uses the log's append times, so the clocks of the routers
// need not agree. The fencing number of a lease is one more than the offset of the record
// that acquired it, with the era of the log in the highest bits: it also rises when the log
// assigns offsets again.
package leaser

import "time"

// Record is a request for a lease, as appended to the leases stream.
type Record struct {
	Target   uint32        `json:"target"`
	Holder   uint64        `json:"holder"`
	Lifetime time.Duration `json:"lifetime"`
}

// Lease is the current lease on a target.
type Lease struct {
	Holder uint64
	// Offset is that of the record that acquired the lease.
	Offset uint64
	// Fence is the fencing number, which rises with each later lease on a target; zero means no lease.
	Fence   uint64
	Expires time.Time
}

// Leaser tracks the latest lease of each target. It is not safe for concurrent use.
type Leaser struct {
	leases     map[uint32]Lease
	nextOffset uint64
	era        uint64
}

// eraShift is the position of the era in a fencing number: a stream has fewer records than 2^40 in an era.
const eraShift = 40

// New returns a Leaser without leases.
func New() *Leaser {
	return &Leaser{leases: make(map[uint32]Lease)}
}

// Apply applies the record at an offset with its append time. It grants the lease if the
// target's previous lease has expired by then. Records that were applied already are ignored,
// and so are those with a lifetime of zero or less.
func (l *Leaser) Apply(offset uint64, at time.Time, r Record) {
	if offset < l.nextOffset {
		return
	}

	l.nextOffset = offset + 1

	if r.Lifetime <= 0 || at.Before(l.leases[r.Target].Expires) {
		return
	}

	l.leases[r.Target] = Lease{Holder: r.Holder, Offset: offset, Fence: l.era<<eraShift | (offset + 1), Expires: at.Add(r.Lifetime)}
}

// Rewind forgets all leases: the log has come back from an older copy, in an era, and its records
// are applied again.
func (l *Leaser) Rewind(era uint64) {
	l.era, l.nextOffset = era, 0
	clear(l.leases)
}

// Get returns the lease on a target at a time by the log's clock. It returns the zero Lease
// when there is none or it has expired.
func (l *Leaser) Get(now time.Time, target uint32) Lease {
	x := l.leases[target]
	if !now.Before(x.Expires) {
		return Lease{}
	}

	return x
}
