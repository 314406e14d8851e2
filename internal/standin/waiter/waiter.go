// Package waiter waits in tests for what other goroutines and processes bring about.
package waiter

import (
	"testing"
	"time"
)

const (
	// most is how long a state may take to come on a machine full of other work.
	most = 30 * time.Second
	// tries is how often a state is looked at before it is given up, however long that
	// takes. A process that stood still for as long as most allows has looked once only.
	tries = 600
	// pause is the time between two looks.
	pause = time.Millisecond
)

// Until waits until f returns true. It fails the test when that does not come in 30
// seconds and 600 looks, with the words for what was waited for. It must be called on
// the test's own goroutine.
func Until(t testing.TB, what string, f func() bool) { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	b := time.Now()

	for n := 0; !f(); n++ {
		if time.Since(b) > most && n >= tries {
			t.Fatalf("%s did not come in %v", what, time.Since(b).Round(time.Second))
		}

		time.Sleep(pause)
	}
}
