package bencher

import (
	"time"
)

// flight is a request that runs, or waits, until a time.
type flight struct {
	ends    time.Duration
	request *request
}

type flights []flight

func (f flights) Len() int           { return len(f) }
func (f flights) Less(a, b int) bool { return f[a].ends < f[b].ends }
func (f flights) Swap(a, b int)      { f[a], f[b] = f[b], f[a] }

// Push is part of heap.Interface.
func (f *flights) Push(x any) {
	v, _ := x.(flight)
	*f = append(*f, v)
}

// Pop is part of heap.Interface.
func (f *flights) Pop() any {
	o := *f
	v := o[len(o)-1]
	*f = o[:len(o)-1]

	return v
}
