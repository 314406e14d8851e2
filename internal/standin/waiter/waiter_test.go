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

// recorder is a testing.TB that records its failure message.
type recorder struct {
	testing.TB
	message string
}

func (*recorder) Helper() {}

func (f *recorder) Fatalf(s string, a ...any) {
	f.message = fmt.Sprintf(s, a...)

	runtime.Goexit()
}

// Guards against false failures on a busy machine: Until returns as soon as the condition
// holds, and fails only after both the time and the number of checks are exceeded.
func TestUntil(t *testing.T) {
	tests := map[string]struct {
		// holdsAfter is when the condition begins to hold; checkDuration is how long a check takes.
		holdsAfter, checkDuration time.Duration
		checks                    int
		message                   string
	}{
		"immediately":             {checks: 1},
		"soon":                    {holdsAfter: 3 * time.Millisecond, checks: 4},
		"at the last moment":      {holdsAfter: 30 * time.Second, checks: 30001},
		"never":                   {holdsAfter: time.Hour, checks: 30002, message: "timed out after 30s waiting for the state"},
		"never, with slow checks": {holdsAfter: time.Hour, checkDuration: 99 * time.Millisecond, checks: 601, message: "timed out after 1m0s waiting for the state"},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f := &recorder{TB: t}
				b := time.Now()
				n := 0

				go waiter.Until(f, "the state", func() bool {
					n++

					time.Sleep(x.checkDuration)

					return time.Since(b) >= x.holdsAfter
				})

				time.Sleep(2 * time.Minute)
				synctest.Wait()
				i.Equal(n, x.checks)
				i.Equal(f.message, x.message)
			})
		})
	}
}
