package engine

import (
	"container/heap"
	"context"
	"sync"
)

// batch is the engine's limited set of slots. When all are in use, requests wait in
// order of priority, then of arrival.
type batch struct {
	mu      sync.Mutex
	free    int
	slots   int
	waiting queue
	lastSeq int
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	seq      int
	ready    chan struct{}
	canceled bool
}

type queue []*waiter

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	if q[a].priority != q[b].priority {
		return q[a].priority > q[b].priority
	}

	return q[a].seq < q[b].seq
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w, _ := x.(*waiter)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	o := *q
	w := o[len(o)-1]
	*q = o[:len(o)-1]

	return w
}

func newBatch(slots int) *batch {
	return &batch{free: slots, slots: slots}
}

// acquire acquires a slot, and waits for one if none is free. It fails when the context
// ends.
func (b *batch) acquire(c context.Context, priority int) error {
	b.mu.Lock()

	if b.free > 0 {
		b.free--
		b.mu.Unlock()

		return nil
	}

	b.lastSeq++
	w := &waiter{priority: priority, seq: b.lastSeq, ready: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()

	select {
	case <-w.ready:
		return nil
	case <-c.Done():
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	select {
	case <-w.ready:
		b.passSlot()
	default:
		w.canceled = true
	}

	return c.Err()
}

func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.passSlot()
}

// passSlot passes a released slot to the first waiter that wasn't cancelled, or marks the
// slot free.
func (b *batch) passSlot() {
	for b.waiting.Len() > 0 {
		w, _ := heap.Pop(&b.waiting).(*waiter)
		if !w.canceled {
			close(w.ready)

			return
		}
	}

	b.free++
}

// load returns the number of requests that run or wait.
func (b *batch) load() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.slots - b.free + b.waiting.Len()
}
