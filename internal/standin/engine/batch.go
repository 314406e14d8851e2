package engine

import (
	"container/heap"
	"context"
	"sync"
)

// batch is the engine's limited set of slots. When all are taken, requests
// wait by priority, then in the order in which they came.
type batch struct {
	mu      sync.Mutex
	free    int
	slots   int
	waiting queue
	number  int
}

type waiter struct {
	priority int
	number   int
	ready    chan struct{}
	gone     bool
}

type queue []*waiter

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	if q[a].priority != q[b].priority {
		return q[a].priority > q[b].priority
	}

	return q[a].number < q[b].number
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push is part of heap.Interface.
func (q *queue) Push(x any) {
	w, _ := x.(*waiter)
	*q = append(*q, w)
}

// Pop is part of heap.Interface.
func (q *queue) Pop() any {
	o := *q
	w := o[len(o)-1]
	*q = o[:len(o)-1]

	return w
}

func newBatch(slots int) *batch {
	return &batch{free: slots, slots: slots}
}

// enter takes a slot, waiting for one until the context ends.
func (b *batch) enter(c context.Context, priority int) error {
	b.mu.Lock()

	if b.free > 0 {
		b.free--
		b.mu.Unlock()

		return nil
	}

	b.number++
	w := &waiter{priority: priority, number: b.number, ready: make(chan struct{})}
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
		b.pass()
	default:
		w.gone = true
	}

	return c.Err()
}

// leave gives a slot back.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.pass()
}

// pass hands a free slot to the first that still waits.
func (b *batch) pass() {
	for b.waiting.Len() > 0 {
		w, _ := heap.Pop(&b.waiting).(*waiter)
		if !w.gone {
			close(w.ready)

			return
		}
	}

	b.free++
}

// load returns how many requests run and wait.
func (b *batch) load() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.slots - b.free + b.waiting.Len()
}
