package waiter_test

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/standin/waiter"
)

// failing is a test that notes how it failed.
type failing struct {
	testing.TB
	said string
}

func (*failing) Helper() {}

func (f *failing) Fatalf(s string, a ...any) {
	f.said = fmt.Sprintf(s, a...)

	runtime.Goexit()
}

// A test waits for a state on a busy machine. It goes on as soon as the state is there,
// and gives up only when it was patient both in time and in looks.
func TestUntil(t *testing.T) {
	tests := map[string]struct {
		// from is when the state is there, and slow how long a look at it takes.
		from, slow time.Duration
		looks      int
		said       string
	}{
		"at once":                   {looks: 1},
		"soon":                      {from: 3 * time.Millisecond, looks: 4},
		"at the last moment":        {from: 30 * time.Second, looks: 30001},
		"never":                     {from: time.Hour, looks: 30002, said: "the state did not come in 30s"},
		"never, and looks are slow": {from: time.Hour, slow: 99 * time.Millisecond, looks: 601, said: "the state did not come in 1m0s"},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f := &failing{TB: t}
				b := time.Now()
				n := 0

				go waiter.Until(f, "the state", func() bool {
					n++

					time.Sleep(x.slow)

					return time.Since(b) >= x.from
				})

				time.Sleep(2 * time.Minute)
				synctest.Wait()
				i.Equal(n, x.looks)
				i.Equal(f.said, x.said)
			})
		})
	}
}
