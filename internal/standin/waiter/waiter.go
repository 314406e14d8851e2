// Package waiter waits in tests for a condition that other goroutines or processes cause.
package waiter

import (
	"testing"
	"time"
)

const (
	// maxWait is how long a condition may take to hold on a busy machine.
	maxWait = 30 * time.Second
	// minChecks is the minimum number of checks before Until fails, regardless of the time.
	// A process that stalled for maxWait may have checked only once.
	minChecks     = 600
	checkInterval = time.Millisecond
)

// Until waits until f returns true. It fails the test with a message that names what was
// expected if f still returns false after 30 seconds and 600 checks. It must be called on
// the test's own goroutine.
func Until(t testing.TB, what string, f func() bool) { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	b := time.Now()

	for n := 0; !f(); n++ {
		if time.Since(b) > maxWait && n >= minChecks {
			t.Fatalf("timed out after %v waiting for %s", time.Since(b).Round(time.Second), what)
		}

		time.Sleep(checkInterval)
	}
}
