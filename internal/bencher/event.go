package bencher

import (
	"time"
)

// event is the completion of a request, or its next attempt to get a slot.
// A request without a target is waiting.
type event struct {
	at      time.Duration
	request *request
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(a, b int) bool { return q[a].at < q[b].at }
func (q eventQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	v, _ := x.(event)
	*q = append(*q, v)
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	o := *q
	v := o[len(o)-1]
	*q = o[:len(o)-1]

	return v
}
